package main

import (
	"cmp"
	"context"
	"os"
	"strings"

	"fawnplank/internal/config"
	"fawnplank/internal/logging"
	"fawnplank/internal/metrics"
)

// load reads the configuration, and sets up the log and the runtime accordingly. The store is not open yet, so the
// configuration lacks the plans and classes of the store, which loadStoredRows adds.
func (g *gateway) load(context.Context) error {
	configuration, operator, err := g.loadConfiguration(config.Overlay{})
	if err != nil {
		return err
	}
	g.configuration = configuration
	g.operator = operator
	if err := g.setUpLog(); err != nil {
		return err
	}
	g.logConfiguration()
	g.resourceLimits = newResourceLimits(configuration)
	g.resourceLimits.limitRuntime()
	g.newObservers()
	return nil
}

// newObservers constructs the parts that the replica of the store notifies or reports to. They are started later.
func (g *gateway) newObservers() {
	g.metrics = metrics.New(classNames(g.configuration))
	g.zone = newEndpointZone(g.operator.DNS)
	g.accounts = newAccounts()
}

// loadConfiguration reads the configuration, with the plans and classes of an overlay, and the operator file.
func (g *gateway) loadConfiguration(overlay config.Overlay) (*config.Config, *config.OperatorSettings, error) {
	return loadConfiguration(g.options.ConfigFile, g.options.OperatorFile, overlay)
}

// setUpLog configures the log. Flags take precedence over the operator file.
func (g *gateway) setUpLog() error {
	return logging.Setup(logging.Options{
		Output:   os.Stderr,
		Level:    cmp.Or(g.options.LogLevel, g.operator.Log.Level),
		Format:   cmp.Or(g.options.LogFormat, g.operator.Log.Format),
		Instance: g.configuration.InstanceName,
	})
}

// logConfiguration logs unknown keys, and the absence of a management address.
func (g *gateway) logConfiguration() {
	if unknown := g.configuration.UnknownKeys; len(unknown) > 0 {
		logging.For(configComponent).WithField("keys", strings.Join(unknown, ", ")).Warn("unknown keys ignored")
	}
	if g.configuration.ManagementAddress == "" {
		logging.For(configComponent).Info("no management address: drain calls cannot arrive")
	}
}
