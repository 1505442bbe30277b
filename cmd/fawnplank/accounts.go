package main

import (
	"errors"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"fawnplank/internal/billing"
	"fawnplank/internal/billingservice"
	"fawnplank/internal/config"
	"fawnplank/internal/metrics"
)

// accounts runs the billing service, which keeps the tenants' accounts in the store, if the operator file enables
// billing. KeysChanged and UpdateSettings are safe for concurrent use.
type accounts struct {
	service  *billingservice.Service // nil if billing is off; set by Start, before its readers run
	settings atomic.Pointer[billing.Settings]
	changes  *notifier

	mu          sync.Mutex
	enabled     bool
	changedKeys []string // changed keys of the billing service that have not been passed to it yet
}

func newAccounts() *accounts { return &accounts{changes: newNotifier()} }

// accountsOptions configures accounts.Start.
type accountsOptions struct {
	Replica          *replica // nil without a store; billing must then be off
	Configuration    *config.Config
	OperatorSettings *config.OperatorSettings
	Metrics          *metrics.Registry
}

// errBillingNeedsStore is returned if billing is enabled without a store. The caller adds the name of the section of
// the operator file, "billing", in front of the text.
var errBillingNeedsStore = errors.New("is enabled, but requires the replicated store (--store)")

// Start starts the billing service on the replica. It does nothing if the operator file does not enable billing. It
// returns errBillingNeedsStore if billing is enabled and there is no replica.
func (a *accounts) Start(options accountsOptions) error {
	if !options.OperatorSettings.Billing.Enabled {
		return nil
	}
	if options.Replica == nil {
		return errBillingNeedsStore
	}
	a.UpdateSettings(options.Configuration, options.OperatorSettings)
	a.mu.Lock()
	a.enabled = true // set before the service reads the accounts, so that no later change is missed
	a.mu.Unlock()
	a.service = billingservice.Start(billingservice.Options{
		Replica:        options.Replica.Store,
		Instance:       options.Configuration.InstanceName,
		Settings:       func() billing.Settings { return *a.settings.Load() },
		ReportInterval: time.Duration(options.OperatorSettings.Billing.ReportInterval),
		Sink:           newExportSink(options.OperatorSettings.Billing),
	})
	a.changes.Start(func() { a.service.KeysChanged(a.takeChangedKeys()) })
	metrics.AddGauges(options.Metrics, a.service, billingGauges)
	return nil
}

// newExportSink returns the receiver of exported usage records, or nil if the operator file names none.
func newExportSink(settings config.Billing) billingservice.Sink {
	switch {
	case settings.ExportFolder != "":
		return billingservice.FolderSink(settings.ExportFolder)
	case settings.ExportURL != "":
		return billingservice.NewHTTPSink(settings.ExportURL)
	default:
		return nil
	}
}

// UpdateSettings applies the plans of the configuration and the billing settings of the operator file.
func (a *accounts) UpdateSettings(configuration *config.Config, operator *config.OperatorSettings) {
	settings := operator.Billing.Settings()
	settings.Plans = map[string]billing.Quota{}
	for name, id := range configuration.Plans {
		plan := configuration.Settings.Plans[id]
		settings.Plans[name] = billing.Quota{Rate: plan.Rate, Burst: plan.Burst}
	}
	a.settings.Store(&settings)
}

// KeysChanged is called with the keys that have changed in the store. It records those with the prefix of the billing
// service and notifies the service. It does not block.
func (a *accounts) KeysChanged(keys []string) {
	a.mu.Lock()
	for _, key := range keys {
		if a.enabled && strings.HasPrefix(key, billingservice.KeyPrefix) {
			a.changedKeys = append(a.changedKeys, key)
		}
	}
	a.mu.Unlock()
	a.changes.Notify()
}

func (a *accounts) takeChangedKeys() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	keys := a.changedKeys
	a.changedKeys = nil
	return keys
}

// CloseService reports all recorded usage and stops the billing service. It must be called before the replica is
// closed, because it writes to the replica. It may be called more than once.
func (a *accounts) CloseService() { a.service.Close() }

// StopNotifications stops the notification of changed keys but not the service. It must be called once, after the
// replica is closed, because the replica calls KeysChanged until then.
func (a *accounts) StopNotifications() { a.changes.Close() }
