package main

import (
	"context"
	"fmt"

	"fawnplank/internal/backend"
	"fawnplank/internal/config"
	"fawnplank/internal/counter"
	"fawnplank/internal/discovery"
	"fawnplank/internal/dispatch"
	"fawnplank/internal/frontend"
	"fawnplank/internal/logging"
	"fawnplank/internal/metrics"
	"fawnplank/internal/sharedids"
)

// startDispatcher constructs the clients of the backends, the counter and discovery, and starts the dispatcher, which
// uses these clients.
func (g *gateway) startDispatcher(context.Context) error {
	g.dispatcher = dispatch.New()
	g.pool = g.newPool()
	g.counter = g.newCounter()
	g.discovery = g.newDiscovery()
	metrics.AddGauges(g.metrics, g.counter, counterClientGauges)
	metrics.AddGauges(g.metrics, g.dispatcher, quotaGauges)
	g.dispatcher.Start(dispatch.Config{
		Seed:            g.configuration.Seed,
		Settings:        g.configuration.Settings,
		Counter:         g.counter,
		HealthChecker:   g.pool,
		EndpointWatcher: g.discovery,
	})
	// Close stops everything that is started later first, and then these in reverse order: the network clients stop
	// before the dispatcher, because they report results to it while they stop.
	g.addClosers(g.dispatcher.Stop, g.pool.Close, g.counter.Close, g.discovery.Close)
	return nil
}

func (g *gateway) newPool() *backend.Pool {
	return backend.New(backend.Options{
		MaxConnections:    g.resourceLimits.maxBackendConnections(),
		ConnectTimeout:    g.configuration.ConnectTimeout,
		IdleTimeout:       g.configuration.IdleTimeout,
		Budget:            g.resourceLimits.newResponseBudget(),
		Metrics:           g.metrics,
		HandleHealthCheck: g.dispatcher.HandleHealthCheck,
	})
}

func (g *gateway) newCounter() *counter.Client {
	return counter.New(counter.Options{
		Address:        g.configuration.Counter,
		ConnectTimeout: g.configuration.ConnectTimeout,
		Format:         counterFormat(g.operator.Counter),
	}, g.dispatcher)
}

// counterFormat returns the wire format for the counter protocol that the operator file names.
func counterFormat(settings config.Counter) counter.Format {
	if settings.Protocol == config.CounterProtocolRESP {
		return counter.RESP
	}
	return counter.Text
}

func (g *gateway) newDiscovery() *discovery.Client {
	options := discovery.Options{
		Subscriber:  g.dispatcher,
		AddressBook: g.pool,
		Config:      g.configuration,
		Metrics:     g.metrics,
	}
	if g.zone.Enabled() {
		options.Refresh = g.zone.PublishSnapshot
	}
	return discovery.New(options)
}

// loadEndpoints loads the endpoint list of the configuration and watches discovery, unless the list comes from a DNS
// zone. The list of the configuration may be outdated and must not be combined with that of the zone.
func (g *gateway) loadEndpoints(context.Context) error {
	if g.zone.Enabled() {
		return nil
	}
	if err := g.discovery.PublishCached(g.configuration.KnownEndpoints); err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	if !g.configuration.Settings.PollEndpoints {
		g.discovery.WatchEndpoints()
	}
	return nil
}

// startWarmStart imports the warm-start state and starts saving it, if the operator file names a file for it.
func (g *gateway) startWarmStart(context.Context) error {
	if g.operator.WarmStart.File != "" {
		g.addClosers(newWarmStart(g.operator.WarmStart, g.dispatcher).Close)
	}
	return nil
}

// listen opens the listener for clients. Run accepts the connections.
func (g *gateway) listen(ctx context.Context) error {
	listener, err := listen(ctx, g.configuration)
	if err != nil {
		return fmt.Errorf("configuration: listen: %w", err)
	}
	g.listener = listener
	g.addClosers(func() {
		_ = listener.Close() // a shutdown may have closed it already
	})
	return nil
}

// openReplica starts the replica of the store, if the flags describe one, and connects the zone and the accounts to its
// notifications of changes.
func (g *gateway) openReplica(context.Context) error {
	replica, err := openReplica(replicaOptions{
		Flags: g.options.Replica,
		TLS:   g.options.TLS,
		CheckOverlay: func(overlay config.Overlay) error {
			_, _, err := g.loadConfiguration(overlay)
			return err
		},
		ZoneChanged: g.zone.NotifyChanged,
		KeysChanged: g.accounts.KeysChanged,
	})
	if err != nil {
		return err
	}
	g.replica = replica
	g.addClosers(g.accounts.StopNotifications, g.replica.Close)
	g.replica.registerMetrics(g.metrics)
	return nil
}

func (g *gateway) startZone(context.Context) error {
	if err := g.zone.Start(g.discovery, g.replica, g.metrics); err != nil {
		return fmt.Errorf("operator file: dns: %w", err)
	}
	g.addClosers(g.zone.Close)
	return nil
}

func (g *gateway) startAccounts(context.Context) error {
	err := g.accounts.Start(accountsOptions{
		Replica:          g.replica,
		Configuration:    g.configuration,
		OperatorSettings: g.operator,
		Metrics:          g.metrics,
	})
	if err != nil {
		return fmt.Errorf("operator file: billing: %w", err)
	}
	return nil
}

// startLimits starts the server of limit commands, if the operator file names an address for it.
func (g *gateway) startLimits(ctx context.Context) error {
	limitService, err := serveLimits(ctx, limitServiceOptions{
		Dispatcher:       g.dispatcher,
		Metrics:          g.metrics,
		Configuration:    g.configuration,
		OperatorSettings: g.operator,
		Accounts:         g.accounts.service,
	})
	if err != nil {
		return fmt.Errorf("operator file: limits.listen: %w", err)
	}
	g.limitService = limitService
	return nil
}

// openSharedIDs opens the table of request ids that this process shares with the other one of an upgrade. Without it
// the gateway serves as it does beside no other process.
func (g *gateway) openSharedIDs(context.Context) error {
	ids := g.resourceLimits.maxUsedRequestIDs()
	table, err := sharedids.Open(g.configuration.TemporaryFolder, g.listener.Addr().String(), ids)
	if err != nil {
		logging.For(frontendComponent).WithError(err).Warn("request ids not shared")
		return nil
	}
	g.sharedIDs = table
	g.addClosers(func() {
		if err := table.Close(); err != nil {
			logging.For(frontendComponent).WithError(err).Warn("table of request ids not removed")
		}
	})
	return nil
}

// newServer constructs the server for clients. Run starts it.
func (g *gateway) newServer() {
	options := frontend.Options{
		Dispatcher:     g.dispatcher,
		Pool:           g.pool,
		Config:         g.configuration,
		MaxConnections: g.resourceLimits.maxClientConnections(),
		MaxUsedIDs:     g.resourceLimits.maxUsedRequestIDs(),
		SharedIDs:      g.sharedIDs,
		Metrics:        g.metrics,
		Budget:         g.resourceLimits.newCommandBudget(),
	}
	if g.accounts.service != nil { // an interface that holds a nil pointer is not equal to nil
		options.Usage = g.accounts.service
	}
	g.server = frontend.New(options)
	metrics.AddGauges(g.metrics, g.server, frontendGauges)
}
