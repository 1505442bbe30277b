package main

import (
	"reflect"
	"strings"

	"github.com/sirupsen/logrus"

	"fawnplank/internal/config"
	"fawnplank/internal/logging"
)

// reloadResult is the result of reading the configuration again: the configuration or an error.
type reloadResult struct {
	updated *config.Config
	err     error
}

// reloader reads the configuration in a separate goroutine, so that a read that waits for the disk does not delay a
// shutdown. At most one read runs at a time. Its methods must be called from one goroutine.
type reloader struct {
	read      func() (*config.Config, error)
	results   chan reloadResult // receives one result per read
	reading   bool
	readAgain bool // another read was requested while one is running
}

func newReloader(read func() (*config.Config, error)) *reloader {
	return &reloader{read: read, results: make(chan reloadResult, 1)}
}

// request starts a read. If a read is already running, the new read starts after it, because the running read may have
// missed the latest change.
func (r *reloader) request() {
	if r.reading {
		r.readAgain = true
		return
	}
	r.reading = true
	go func() {
		updated, err := r.read()
		r.results <- reloadResult{updated, err}
	}()
}

// finishApply is called after the result of a read has been applied. It starts a read if one was requested meanwhile.
func (r *reloader) finishApply() {
	r.reading = false
	if r.readAgain {
		r.readAgain = false
		r.request()
	}
}

// applyReload applies all reloadable parts of the new configuration. If the configuration is faulty, it changes
// nothing.
func (g *gateway) applyReload(result reloadResult) {
	if result.err != nil {
		logging.For(configComponent).WithError(result.err).Error("configuration not reloaded")
		g.metrics.ConfigRejected()
		return
	}
	updated := result.updated
	merged := mergeReloadable(g.configuration, updated)
	g.counter.SetAddress(merged.Counter)
	g.discovery.Reconfigure(merged.Discovery, merged.Settings)
	logging.For(configComponent).WithFields(logrus.Fields{
		"discovery": merged.Discovery,
		"counter":   merged.Counter,
		"classes":   len(merged.Classes),
	}).WithFields(g.replica.logFields()).Info("configuration reloaded")
	if keys := restartKeys(g.configuration, updated); len(keys) > 0 {
		logging.For(configComponent).WithField("keys", strings.Join(keys, ", ")).
			Warn("configuration changes need a restart")
	}
	g.metrics.ConfigReloaded()
	g.dispatcher.UpdateSettings(merged.Settings)
	g.server.UpdateSettings(merged)
	g.limitService.UpdateSettings(limitSettings(merged, g.operator))
	g.zone.Reload()
	g.accounts.UpdateSettings(merged, g.operator)
	g.metrics.SetClasses(classNames(merged))
	g.configuration = merged
}

// restartKeys returns the keys of settings that differ and take effect only after a restart, in a fixed order.
func restartKeys(current, updated *config.Config) []string {
	var keys []string
	for _, setting := range []struct {
		key     string
		differs bool
	}{
		{"name", current.InstanceName != updated.InstanceName},
		{"listen", current.Listen != updated.Listen},
		{"mgmt", current.ManagementAddress != updated.ManagementAddress},
		{"seed", current.Seed != updated.Seed},
		{"limits.memory_mb", current.MemoryLimitBytes != updated.MemoryLimitBytes},
		{"limits.sockets", current.MaxSockets != updated.MaxSockets},
		{"conn-idle-ms", current.IdleTimeout != updated.IdleTimeout},
		{"connect-timeout-ms", current.ConnectTimeout != updated.ConnectTimeout},
	} {
		if setting.differs {
			keys = append(keys, setting.key)
		}
	}
	return keys
}

// readUpdatedConfiguration reads the configuration again. Classes and plans keep the ids that they have in the current
// configuration.
//
// It logs a warning if the operator file has changed, because most of that file takes effect only after a restart. The
// exception is limits.answer_within: the class of limit commands is constructed from the new file, so that its latency
// objective and deadline change, while the timeout of each check keeps its value from the start.
func (g *gateway) readUpdatedConfiguration() (*config.Config, error) {
	updated, operator, err := g.loadConfigurationWithStore()
	if err != nil {
		return nil, err
	}
	if !reflect.DeepEqual(operator, g.operator) {
		logging.For(configComponent).Warn("operator file changes need a restart")
		if _, limitsOn := g.configuration.CheckOnlyClass(); limitsOn && operator.LimitCommands.Listen == "" {
			updated.AddCheckOnlyClass(g.operator) // the limits address is still served
		}
	}
	updated.KeepIDs(g.configuration)
	return updated, nil
}

// mergeReloadable returns the current configuration with all parts of the updated configuration that take effect
// without a restart, and with the known endpoints.
func mergeReloadable(current, updated *config.Config) *config.Config {
	merged := *current
	merged.Discovery = updated.Discovery
	merged.Counter = updated.Counter
	merged.KnownEndpoints = updated.KnownEndpoints // used only at a start; merged without a warning
	merged.Settings = updated.Settings
	merged.Classes = updated.Classes
	merged.Plans = updated.Plans
	merged.Zones = updated.Zones
	merged.MaxUnits = updated.MaxUnits
	return &merged
}
