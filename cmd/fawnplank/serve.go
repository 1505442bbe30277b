package main

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"strings"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"fawnplank/internal/admin"
	"fawnplank/internal/backend"
	"fawnplank/internal/config"
	"fawnplank/internal/counter"
	"fawnplank/internal/discovery"
	"fawnplank/internal/dispatch"
	"fawnplank/internal/frontend"
	"fawnplank/internal/logging"
	"fawnplank/internal/membudget"
	"fawnplank/internal/metrics"
	"fawnplank/internal/tlsconfig"
)

const (
	// ownDescriptors is reserved for the program itself, the listener, discovery, and the counter's connections,
	// both old and new.
	ownDescriptors = 48
	// largeValueDivisor yields, from the memory limit, how much the large values of clients may hold at most;
	// those of backends may hold the same again. Data that waits for memory is not read in the meantime. Given
	// the three quarters that the collector keeps to, this leaves a third for everything else.
	largeValueDivisor = 6
	// collectorPercent makes the collector start at 2 MB and take a millisecond for the little memory in use. A
	// larger percentage would let the heap grow for minutes before the first collection, which looks like a leak
	// and holds memory that nothing needs.
	collectorPercent = 50
)

// gatewayOptions configures newGateway.
type gatewayOptions struct {
	ConfigFile   string // if empty, the one that GW_CONFIG names
	OperatorFile string // if empty, none
	LogLevel     string // if empty, the operator file's level applies
	LogFormat    string // if empty, the operator file's format applies
	Replica      replicaFlags
	TLS          tlsconfig.Files // of the replica
	// Reloads delivers SIGHUP, which triggers a reload, and Terminations the signals that shut the gateway down.
	// They are apart so that reloads cannot fill the queue of the other. Both are subscribed before newGateway,
	// because a SIGHUP would otherwise end the process.
	Reloads, Terminations <-chan os.Signal
}

// gateway holds all parts of a serving process. newGateway constructs them, Run serves, and Close releases
// them.
//
// A reload replaces configuration on Run's goroutine; once Run is called, no other goroutine reads that field.
type gateway struct {
	options       gatewayOptions
	configuration *config.Config
	operator      *config.Operator

	dispatcher *dispatch.Dispatcher
	metrics    *metrics.Registry
	pool       *backend.Pool
	counter    *counter.Client
	discovery  *discovery.Client
	zone       *endpointZone
	listener   net.Listener
	replica    *replica
	accounts   *accounts
	limits     *limits
	server     *frontend.Server
	ready      atomic.Bool // true while the gateway is listening and not shutting down

	closers []func() // releases what was started, in the order of the starts
}

// newGateway reads the configuration, constructs all parts, and starts those that Run does not start. The
// order of the steps is part of the behavior. The endpoint list is known before the listener opens, so that
// the first request finds backends. The accounts are ready before the first request is received, so that
// either every request is billed or none is.
func newGateway(ctx context.Context, options gatewayOptions) (*gateway, error) {
	g := &gateway{options: options}
	steps := []func() error{
		g.load,
		g.startDispatcher,
		g.loadEndpoints,
		g.importWarmStart,
		func() error { return g.listen(ctx) },
		g.openReplica,
		g.startZone,
		g.startAccounts,
		func() error { return g.startLimits(ctx) },
	}
	for _, step := range steps {
		if err := step(); err != nil {
			g.Close()
			return nil, err
		}
	}
	g.newServer()
	return g, nil
}

// Close releases everything that was started, in reverse order. It is called once, after Run.
func (g *gateway) Close() {
	for n := len(g.closers) - 1; n >= 0; n-- {
		g.closers[n]()
	}
	g.closers = nil
}

// load reads the configuration, and sets up the log and the runtime accordingly.
func (g *gateway) load() (err error) {
	g.configuration, g.operator, err = g.loadConfiguration(config.Overlay{})
	if err != nil {
		return err
	}
	err = logging.Setup(logging.Options{
		Output:   os.Stderr,
		Level:    cmp.Or(g.options.LogLevel, g.operator.Log.Level),
		Format:   cmp.Or(g.options.LogFormat, g.operator.Log.Format),
		Instance: g.configuration.Name,
	})
	if err != nil {
		return err
	}
	g.logConfiguration()
	// Everything runs on one core; more threads would only alternate on it.
	runtime.GOMAXPROCS(1)
	// The collector stays below the memory limit, with a quarter left for memory that it does not see.
	debug.SetMemoryLimit(g.configuration.MemoryBytes * 3 / 4)
	debug.SetGCPercent(collectorPercent)
	return nil
}

// logConfiguration logs what an operator may not expect of the configuration.
func (g *gateway) logConfiguration() {
	if unknown := g.configuration.UnknownKeys; len(unknown) > 0 {
		logging.For("config").WithField("keys", strings.Join(unknown, ", ")).Warn("unknown keys ignored")
	}
	if g.configuration.ManagementAddress == "" {
		logging.For("config").Info("no management address: drain calls cannot arrive")
	}
}

func (g *gateway) loadConfiguration(overlay config.Overlay) (*config.Config, *config.Operator, error) {
	return loadConfiguration(g.options.ConfigFile, g.options.OperatorFile, overlay)
}

// managementCalls returns how many calls at the management address may be open at once.
func (g *gateway) managementCalls() int {
	if g.configuration.ManagementAddress == "" {
		return 0
	}
	return admin.CallLimit(g.configuration.MaxSockets)
}

// maxConnections returns how many descriptors clients may use. Backends may use the same number again, so
// that neither side starves the other.
func (g *gateway) maxConnections() int {
	return (g.configuration.MaxSockets - ownDescriptors - g.managementCalls()) / 2
}

// newLargeValueBudget returns a budget that bounds the memory of large values. Clients and backends have one
// each, because a large command holds its memory until its response is written, and that response must not
// wait for the same budget.
func (g *gateway) newLargeValueBudget() *membudget.Budget {
	return membudget.New(g.configuration.MemoryBytes / largeValueDivisor)
}

// startDispatcher constructs the clients of the backends, the counter and discovery, and starts the
// dispatcher on them.
func (g *gateway) startDispatcher() error {
	g.dispatcher = dispatch.New()
	g.metrics = metrics.New(classNames(g.configuration))
	g.pool = backend.New(backend.Options{
		MaxConnections:    g.maxConnections(),
		ConnectTimeout:    g.configuration.ConnectTimeout,
		IdleTimeout:       g.configuration.IdleTimeout,
		Budget:            g.newLargeValueBudget(),
		Metrics:           g.metrics,
		HandleHealthCheck: g.dispatcher.HandleHealthCheck,
	})
	g.counter = counter.New(counter.Options{
		Address:        g.configuration.Counter,
		ConnectTimeout: g.configuration.ConnectTimeout,
		Format:         counterFormat(g.operator),
	}, g.dispatcher)
	metrics.AddGauges(g.metrics, g.counter, counterClientGauges)
	metrics.AddGauges(g.metrics, g.dispatcher, quotaGauges)
	g.zone = newEndpointZone(g.operator.DNS)
	discoveryOptions := discovery.Options{
		Subscriber:  g.dispatcher,
		AddressBook: g.pool,
		Config:      g.configuration,
		Metrics:     g.metrics,
	}
	if g.zone.Enabled() {
		discoveryOptions.Refresh = g.zone.PublishSnapshot
	}
	g.discovery = discovery.New(discoveryOptions)
	g.dispatcher.Start(dispatch.Config{
		Seed:            g.configuration.Seed,
		Settings:        g.configuration.Settings,
		Counter:         g.counter,
		HealthChecker:   g.pool,
		EndpointWatcher: g.discovery,
	})
	// Close runs these after everything started later, in reverse: the clients of the network first, while the
	// dispatcher still takes what their ends report.
	g.closers = append(g.closers, g.dispatcher.Stop, g.pool.Close, g.counter.Close, g.discovery.Close)
	return nil
}

func counterFormat(operator *config.Operator) counter.Format {
	if operator.Counter.Protocol == "resp" {
		return counter.RESP
	}
	return counter.Text
}

// loadEndpoints loads the endpoint list of the configuration and watches discovery, unless the list comes
// from a zone. An outdated list must not be used alongside the zone's.
func (g *gateway) loadEndpoints() error {
	if g.zone.Enabled() {
		return nil
	}
	if err := g.discovery.LoadSnapshot(g.configuration.KnownEndpoints); err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	if !g.configuration.Settings.PollEndpoints {
		g.discovery.WatchEndpoints()
	}
	return nil
}

func (g *gateway) importWarmStart() error {
	if g.operator.WarmStart.File != "" {
		g.closers = append(g.closers, newWarmStart(g.operator.WarmStart, g.dispatcher).Close)
	}
	return nil
}

func (g *gateway) listen(ctx context.Context) (err error) {
	if g.listener, err = listen(ctx, g.configuration); err != nil {
		return fmt.Errorf("configuration: listen: %w", err)
	}
	g.closers = append(g.closers, func() {
		_ = g.listener.Close() // a shutdown has closed it already
	})
	return nil
}

func (g *gateway) openReplica() (err error) {
	g.accounts = newAccounts()
	g.replica, err = openReplica(replicaOptions{
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
	g.closers = append(g.closers, g.accounts.Close, g.replica.Close)
	g.replica.registerMetrics(g.metrics)
	return nil
}

func (g *gateway) startZone() error {
	if err := g.zone.Start(g.discovery, g.replica, g.metrics); err != nil {
		return fmt.Errorf("operator file: dns: %w", err)
	}
	g.closers = append(g.closers, g.zone.Close)
	return nil
}

func (g *gateway) startAccounts() error {
	if err := g.accounts.Start(g.replica, g.configuration, g.operator, g.metrics); err != nil {
		return fmt.Errorf("operator file: billing: %w", err)
	}
	return nil
}

func (g *gateway) startLimits(ctx context.Context) (err error) {
	g.limits, err = serveLimits(ctx, limitsOptions{
		Dispatcher:    g.dispatcher,
		Metrics:       g.metrics,
		Configuration: g.configuration,
		Operator:      g.operator,
		Accounts:      g.accounts.service,
	})
	if err != nil {
		return fmt.Errorf("operator file: limits.listen: %w", err)
	}
	return nil
}

func (g *gateway) newServer() {
	options := frontend.Options{
		Dispatcher:     g.dispatcher,
		Pool:           g.pool,
		Config:         g.configuration,
		MaxConnections: g.maxConnections(),
		Metrics:        g.metrics,
		Budget:         g.newLargeValueBudget(),
	}
	if g.accounts.service != nil { // a nil service stored in the interface would not compare as nil
		options.Usage = g.accounts.service
	}
	g.server = frontend.New(options)
	metrics.AddGauges(g.metrics, g.server, frontendGauges)
}

// Run serves clients and the management address until a signal, or the end of ctx, has shut the gateway down.
// It is called once.
func (g *gateway) Run(ctx context.Context) error {
	if err := g.serveManagement(ctx); err != nil {
		return err
	}
	served := make(chan error, 1)
	go func() { served <- g.server.Serve(g.listener) }()
	g.ready.Store(true)
	logging.For("frontend").WithFields(logrus.Fields{
		"number":        g.configuration.Settings.InstanceIndex,
		"instances":     g.configuration.Settings.Instances,
		logging.Address: g.configuration.Listen,
	}).Info("listening")
	return g.handleEvents(ctx, served)
}

// handleEvents handles signals, edits, and the end of the server, one at a time; further events wait. It
// returns nil once a shutdown is complete, and the listener's error if the server ends without a shutdown.
func (g *gateway) handleEvents(ctx context.Context, served <-chan error) error {
	var shutdownDone <-chan struct{} // nil until a shutdown begins
	reload := newReloader(g.readUpdatedConfiguration)
	canceled := ctx.Done()
	for {
		select {
		case err := <-served:
			if shutdownDone == nil {
				return err
			}
			served = nil
		case <-shutdownDone:
			return nil
		case <-g.replica.Edits(): // a plan or class was edited in the store, which is handled like SIGHUP
			reload.request()
		case <-g.options.Reloads:
			reload.request()
		case result := <-reload.results:
			g.applyReload(result)
			reload.applied()
		case <-canceled:
			canceled = nil
			if shutdownDone == nil {
				shutdownDone = g.beginShutdown()
			}
		case <-g.options.Terminations:
			if shutdownDone == nil {
				shutdownDone = g.beginShutdown()
			}
		}
	}
}
