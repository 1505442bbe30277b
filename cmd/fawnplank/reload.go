package main

import (
	"reflect"
	"strings"

	"github.com/sirupsen/logrus"

	"fawnplank/internal/config"
	"fawnplank/internal/logging"
)

// reloadResult is a configuration that was read again, or why it could not be.
type reloadResult struct {
	updated *config.Config
	err     error
}

// reloader reads the configuration in a goroutine of its own, one at a time: a read that waits for the disk
// must not hold up a shutdown. Its methods are called by one goroutine.
type reloader struct {
	read      func() (*config.Config, error)
	results   chan reloadResult // one for each read
	reading   bool
	readAgain bool // requested while reading
}

func newReloader(read func() (*config.Config, error)) *reloader {
	return &reloader{read: read, results: make(chan reloadResult, 1)}
}

// request starts a read, at once or after the one under way, which may have missed the latest change.
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

// finishApply is called once the result of a read is applied. It starts the read that was requested meanwhile.
func (r *reloader) finishApply() {
	r.reading = false
	if r.readAgain {
		r.readAgain = false
		r.request()
	}
}

// applyReload applies a configuration that was read again as a whole. If it is faulty, nothing changes.
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
	}).Info("configuration reloaded")
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

// restartKeys returns the keys of what differs and takes effect at a start only, in the order of the file.
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

// readUpdatedConfiguration reads the configuration again. The ids of its classes and plans are consistent
// with those in force.
//
// It logs that the operator file has changed, since most of that file takes effect only at a start. The exception
// is limits.answer_within: the class that limit commands use is made from the file as it is now, so that its
// latency objective and deadline change, while the time limit of each check stays as it was at the start.
func (g *gateway) readUpdatedConfiguration() (*config.Config, error) {
	updated, operator, err := g.loadConfiguration(g.replica.overlay())
	if err != nil {
		return nil, err
	}
	if !reflect.DeepEqual(operator, g.operator) {
		logging.For(configComponent).Warn("operator file changes need a restart")
		if _, limitsOn := g.configuration.CheckOnlyClass(); limitsOn && operator.LimitCommands.Listen == "" {
			updated.AddCheckOnlyClass(g.operator) // the limits address continues to be served
		}
	}
	updated.KeepIDs(g.configuration)
	return updated, nil
}

// mergeReloadable returns the current configuration with every part of the updated one that takes effect
// without a restart, and with the known endpoints.
func mergeReloadable(current, updated *config.Config) *config.Config {
	merged := *current
	merged.Discovery = updated.Discovery
	merged.Counter = updated.Counter
	merged.KnownEndpoints = updated.KnownEndpoints // read at a start only; merged so that a change gives no warning
	merged.Settings = updated.Settings
	merged.Classes = updated.Classes
	merged.Plans = updated.Plans
	merged.Zones = updated.Zones
	merged.MaxUnits = updated.MaxUnits
	return &merged
}
