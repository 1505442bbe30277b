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
	fresh := g.reloadConfiguration()
	if fresh == nil {
		g.metrics.ConfigRejected()
		return
	}
	g.metrics.ConfigReloaded()
	g.dispatcher.UpdateSettings(fresh.Settings)
	g.server.UpdateSettings(fresh)
	g.limits.UpdateSettings(limitSettings(fresh, g.operator))
	g.zone.Reload()
	g.accounts.UpdateSettings(fresh, g.operator)
	g.metrics.SetClasses(classNames(fresh))
	g.configuration = fresh
}

// reloadConfiguration reads the configuration again and switches the counter and discovery to the addresses
// that it names. It returns the configuration to continue with, in which the ids of classes and plans are
// consistent with those in force. It returns nil if the new configuration is faulty.
func (g *gateway) reloadConfiguration() *config.Config {
	fresh, operator, err := g.loadConfiguration(g.replica.overlay())
	if err != nil {
		logging.For("config").WithError(err).Error("configuration not reloaded")
		return nil
	}
	if !reflect.DeepEqual(operator, g.operator) {
		logging.For("config").Warn("operator file changes need a restart")
		if _, limitsOn := g.configuration.LimitClass(); limitsOn && operator.Limits.Listen == "" {
			fresh.AddLimitClass(g.operator) // the limits address continues to be served
		}
	}
	fresh.KeepIDs(g.configuration)
	g.counter.SetAddress(fresh.Counter)
	g.discovery.SetAddress(fresh.Discovery, fresh.Settings)
	logging.For("config").WithFields(logrus.Fields{
		"discovery": fresh.Discovery,
		"counter":   fresh.Counter,
		"classes":   len(fresh.Classes),
	}).Info("configuration reloaded")
	merged := mergeReloadable(g.configuration, fresh)
	if !reflect.DeepEqual(merged, fresh) {
		logging.For("config").WithField("keys", "listen, mgmt, limits, seed").
			Warn("configuration changes need a restart")
	}
	return merged
}

// mergeReloadable returns the current configuration with every part of the fresh one that takes effect
// without a restart.
func mergeReloadable(current, fresh *config.Config) *config.Config {
	merged := *current
	merged.Discovery = fresh.Discovery
	merged.Counter = fresh.Counter
	merged.KnownEndpoints = fresh.KnownEndpoints
	merged.Settings = fresh.Settings
	merged.Classes = fresh.Classes
	merged.Plans = fresh.Plans
	merged.Zones = fresh.Zones
	merged.MaxUnits = fresh.MaxUnits
	return &merged
}
