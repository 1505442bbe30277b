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

// Start starts the billing service on the replica. It does nothing if the operator file leaves billing off.
func (a *accounts) Start(replica *replica, configuration *config.Config, operator *config.Operator,
	registry *metrics.Registry) error {
	if !operator.Billing.Enabled {
		return nil
	}
	if replica == nil {
		return errors.New("is on, and needs the replicated store (--store)")
	}
	a.UpdateSettings(configuration, operator)
	a.mu.Lock()
	a.enabled = true // set before the service reads the accounts, so that the service misses no later change
	a.mu.Unlock()
	options := billingservice.Options{
		Replica:        replica.Store,
		Instance:       configuration.Name,
		Settings:       func() billing.Settings { return *a.settings.Load() },
		ReportInterval: time.Duration(operator.Billing.ReportInterval),
	}
	if operator.Billing.ExportFolder != "" {
		options.Sink = billingservice.Folder(operator.Billing.ExportFolder)
	} else if operator.Billing.ExportURL != "" {
		options.Sink = billingservice.NewReceiver(operator.Billing.ExportURL)
	}
	a.service = billingservice.Start(options)
	a.changes.Start(func() { a.service.KeysChanged(a.takeChangedKeys()) })
	metrics.AddGauges(registry, a.service, billingGauges)
	return nil
}

// UpdateSettings applies the plans of a configuration.
func (a *accounts) UpdateSettings(configuration *config.Config, operator *config.Operator) {
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

// CloseService reports all recorded usage and stops the billing service. It may be called more than once.
func (a *accounts) CloseService() { a.service.Close() }

// Close stops the notification of changes. It is called once, after the replica has stopped.
func (a *accounts) Close() { a.changes.Close() }
