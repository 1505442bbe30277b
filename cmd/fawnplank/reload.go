package main

import (
	"reflect"

	"github.com/sirupsen/logrus"

	"fawnplank/internal/config"
	"fawnplank/internal/logging"
)

// reload reads the configuration again and applies it as a whole. If the configuration is faulty, nothing
// changes.
func (g *gateway) reload() {
	updated, err := g.readUpdatedConfiguration()
	if err != nil {
		logging.For("config").WithError(err).Error("configuration not reloaded")
		g.metrics.ConfigRejected()
		return
	}
	merged := mergeReloadable(g.configuration, updated)
	g.counter.SetAddress(merged.Counter)
	g.discovery.SetAddress(merged.Discovery, merged.Settings)
	logging.For("config").WithFields(logrus.Fields{
		"discovery": merged.Discovery,
		"counter":   merged.Counter,
		"classes":   len(merged.Classes),
	}).Info("configuration reloaded")
	if !reflect.DeepEqual(merged, updated) {
		logging.For("config").WithField("keys", "listen, mgmt, limits, seed").
			Warn("configuration changes need a restart")
	}
	g.metrics.ConfigReloaded()
	g.dispatcher.UpdateSettings(merged.Settings)
	g.server.UpdateSettings(merged)
	g.limits.UpdateSettings(limitSettings(merged, g.operator))
	g.zone.Reload()
	g.accounts.UpdateSettings(merged, g.operator)
	g.metrics.SetClasses(classNames(merged))
	g.configuration = merged
}

// readUpdatedConfiguration reads the configuration again. The ids of its classes and plans are consistent
// with those in force. Changes of the operator file take effect only at a start; it logs that there are some.
func (g *gateway) readUpdatedConfiguration() (*config.Config, error) {
	updated, operator, err := g.loadConfiguration(g.replica.overlay())
	if err != nil {
		return nil, err
	}
	if !reflect.DeepEqual(operator, g.operator) {
		logging.For("config").Warn("operator file changes need a restart")
		if _, limitsOn := g.configuration.LimitClass(); limitsOn && operator.Limits.Listen == "" {
			updated.AddLimitClass(g.operator) // the limits address continues to be served
		}
	}
	updated.KeepIDs(g.configuration)
	return updated, nil
}

// mergeReloadable returns the current configuration with every part of the updated one that takes effect
// without a restart.
func mergeReloadable(current, updated *config.Config) *config.Config {
	merged := *current
	merged.Discovery = updated.Discovery
	merged.Counter = updated.Counter
	merged.KnownEndpoints = updated.KnownEndpoints
	merged.Settings = updated.Settings
	merged.Classes = updated.Classes
	merged.Plans = updated.Plans
	merged.Zones = updated.Zones
	merged.MaxUnits = updated.MaxUnits
	return &merged
}
