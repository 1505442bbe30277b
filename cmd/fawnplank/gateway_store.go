package main

import (
	"context"
	"errors"
	"time"

	"fawnplank/internal/config"
	"fawnplank/internal/logging"
)

// storeConfirmationTimeout is how long a start waits for the confirmation of the store's state. It covers three
// elections, and a gateway without a leader in reach is still ready within ten seconds.
const storeConfirmationTimeout = 4 * time.Second

// errTerminatedAtStart is returned by newGateway if a termination signal arrives before the gateway serves.
var errTerminatedAtStart = errors.New("terminated during the start")

// awaitStore waits until the store's state is confirmed, for at most storeConfirmationTimeout. Without a store it
// returns at once. Until the confirmation the replica has the state of its last snapshot, which may lack edits that
// this gateway had applied before it was restarted.
func (g *gateway) awaitStore(ctx context.Context) error {
	if g.replica == nil {
		return nil
	}
	timeout := time.NewTimer(storeConfirmationTimeout)
	defer timeout.Stop()
	select {
	case <-g.replica.Confirmed():
		return nil
	case <-timeout.C:
		return nil // loadStoredRows applies what is known
	case <-g.options.Terminations:
		return errTerminatedAtStart
	case <-ctx.Done():
		return ctx.Err()
	}
}

// loadStoredRows adds the plans and classes of the store to the configuration. If the store's state is not confirmed,
// or if the rows cannot be applied to the gateway's own files, every class is assumed to be non-idempotent until a
// reload has applied the confirmed rows.
func (g *gateway) loadStoredRows(context.Context) error {
	if g.replica == nil {
		return nil
	}
	if !g.replica.isConfirmed() {
		logging.For(storeComponent).WithFields(g.replica.logFields()).
			Warn("state not confirmed; no request is retried that may have run")
		g.lateConfirmation = g.replica.Confirmed()
	}
	configuration, _, err := g.loadConfigurationWithStore()
	if err != nil {
		logging.For(configComponent).WithError(err).
			Error("plans and classes of the store not applied; no request is retried that may have run")
		g.metrics.ConfigRejected()
		g.configuration.Settings = g.configuration.Settings.AssumeNonIdempotent()
		return nil
	}
	g.configuration = configuration
	g.metrics.SetClasses(classNames(configuration))
	return nil
}

// loadConfigurationWithStore reads the configuration, with the plans and classes of the store, and the operator file.
// While the store's state is not confirmed, every class of the result is assumed to be non-idempotent.
func (g *gateway) loadConfigurationWithStore() (*config.Config, *config.OperatorSettings, error) {
	confirmed := g.replica.isConfirmed() // before the rows are read, which are then at least as new
	configuration, operator, err := g.loadConfiguration(g.replica.overlay())
	if err != nil {
		return nil, nil, err
	}
	if !confirmed {
		configuration.Settings = configuration.Settings.AssumeNonIdempotent()
	}
	return configuration, operator, nil
}
