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

// accounts manages the tenants' accounts in the store, if the operator file enables them. It owns the billing
// service. KeysChanged and UpdateSettings are safe for concurrent use.
type accounts struct {
	service  *billingservice.Service // nil if billing is off; Start sets it before anything that reads it runs
	settings atomic.Pointer[billing.Settings]
	changes  *notifier

	mu          sync.Mutex
	enabled     bool
	changedKeys []string // account keys whose change has not been passed to the service yet
}

func newAccounts() *accounts { return &accounts{changes: newNotifier()} }

// accountsOptions configures accounts.Start.
type accountsOptions struct {
	Replica          *replica // if nil, billing must be off
	Configuration    *config.Config
	OperatorSettings *config.OperatorSettings
	Metrics          *metrics.Registry
}

// errBillingNeedsStore completes a sentence that begins with the section of the operator file.
var errBillingNeedsStore = errors.New("is on, and needs the replicated store (--store)")

// Start starts the billing service on the replica. It does nothing if the operator file leaves billing off. It
// returns errBillingNeedsStore if billing is on without a replica.
func (a *accounts) Start(options accountsOptions) error {
	if !options.OperatorSettings.Billing.Enabled {
		return nil
	}
	if options.Replica == nil {
		return errBillingNeedsStore
	}
	a.UpdateSettings(options.Configuration, options.OperatorSettings)
	a.mu.Lock()
	a.enabled = true // set before the service reads the accounts, so that the service misses no later change
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

// newExportSink returns what receives the records of usage, or nil if nothing does.
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

// UpdateSettings applies the plans of a configuration.
func (a *accounts) UpdateSettings(configuration *config.Config, operator *config.OperatorSettings) {
	settings := operator.Billing.Settings()
	settings.Plans = map[string]billing.Quota{}
	for name, id := range configuration.Plans {
		plan := configuration.Settings.Plans[id]
		settings.Plans[name] = billing.Quota{Rate: plan.Rate, Burst: plan.Burst}
	}
	a.settings.Store(&settings)
}

// KeysChanged records the account keys among keys, which have changed in the store, and notifies the service.
// It does not block.
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

// CloseService reports all recorded usage and stops the billing service. It needs the replica, so it is called
// before the replica has stopped. It may be called more than once.
func (a *accounts) CloseService() { a.service.Close() }

// StopNotifications stops the notification of changes. It does not stop the service. It is called once, after the
// replica has stopped, which sends the changes.
func (a *accounts) StopNotifications() { a.changes.Close() }
