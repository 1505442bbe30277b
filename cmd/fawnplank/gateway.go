package main

import (
	"context"
	"net"
	"os"
	"slices"
	"sync/atomic"

	"fawnplank/internal/backend"
	"fawnplank/internal/config"
	"fawnplank/internal/counter"
	"fawnplank/internal/discovery"
	"fawnplank/internal/dispatch"
	"fawnplank/internal/frontend"
	"fawnplank/internal/metrics"
	"fawnplank/internal/sharedids"
	"fawnplank/internal/tlsconfig"
)

// gatewayOptions configures newGateway.
type gatewayOptions struct {
	ConfigFile   string // path; if empty, GW_CONFIG names the file
	OperatorFile string // path; empty for none
	LogLevel     string // if empty, the operator file's level applies
	LogFormat    string // if empty, the operator file's format applies
	Replica      replicaFlags
	TLS          tlsconfig.Files // certificate files of the replica
	// Reloads delivers SIGHUP, which triggers a reload. Terminations delivers the signals that shut the gateway down.
	// The channels are separate so that reloads cannot fill the buffer for terminations. The caller subscribes to the
	// signals before newGateway, because a SIGHUP would otherwise end the process.
	Reloads, Terminations <-chan os.Signal
}

// gateway holds all parts of a serving process. newGateway constructs the parts, Run serves, and Close calls the
// closers.
//
// A reload replaces configuration on the goroutine of Run. After the call of Run, no other goroutine reads that field,
// except the goroutine of a reload that reads the files, which has finished before applyReload runs.
type gateway struct {
	options        gatewayOptions
	configuration  *config.Config
	operator       *config.OperatorSettings
	resourceLimits resourceLimits // from the configuration at the start

	dispatcher   *dispatch.Dispatcher
	metrics      *metrics.Registry
	pool         *backend.Pool
	counter      *counter.Client
	discovery    *discovery.Client
	zone         *endpointZone
	listener     net.Listener
	sharedIDs    *sharedids.Table // nil if request ids are not shared
	replica      *replica
	accounts     *accounts
	limitService *limitService
	server       *frontend.Server
	ready        atomic.Bool // true while the gateway is listening and not shutting down
	// lateConfirmation is closed when the store's state is confirmed. It is nil without a store, and if the state was
	// confirmed before the gateway read it.
	lateConfirmation <-chan struct{}

	// closers stop the started parts and are stored in the order of the starts. Close calls them in reverse order:
	//
	//	zone.Close                  stops the name server, unless a shutdown has stopped it, and notifications of changes
	//	sharedIDs.Close             removes the table of request ids, unless another process uses it
	//	listener.Close              closes the clients' listener, unless a shutdown has closed it
	//	warmStart.Close             saves the warm-start state, if the operator file names a file for it
	//	discovery.Close, counter.Close, pool.Close, dispatcher.Stop
	//	replica.Close               does nothing without a store
	//	accounts.StopNotifications  stops notifications of changed keys, but not the billing service
	//
	// Only beginShutdown stops the remaining parts, before Run returns: first the clients' connections, then
	// limitService, then the billing service. The server of the management address runs until the process ends.
	closers []func()
}

// newGateway reads the configuration, constructs all parts, and starts those that Run does not start. The order of the
// steps matters. The state of the store is confirmed before any part reads it, and before the listener opens, so that
// no client waits on a connection meanwhile. The endpoint list is loaded before the listener opens, so that backends
// are available to the first request. The accounts are started before the first request is received, so that either
// every request is billed or none is.
func newGateway(ctx context.Context, options gatewayOptions) (*gateway, error) {
	g := &gateway{options: options}
	steps := []func(context.Context) error{
		g.load,
		g.openReplica,
		g.awaitStore,
		g.loadStoredRows,
		g.startDispatcher,
		g.loadEndpoints,
		g.startWarmStart,
		g.listen,
		g.openSharedIDs,
		g.startZone,
		g.startAccounts,
		g.startLimits,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			g.Close()
			return nil, err
		}
	}
	g.newServer()
	return g, nil
}

// addClosers makes Close call the functions, in reverse order.
func (g *gateway) addClosers(closers ...func()) { g.closers = append(g.closers, closers...) }

// Close calls the closers in reverse order. It is called once, after Run has returned or if newGateway fails.
func (g *gateway) Close() {
	for _, closer := range slices.Backward(g.closers) {
		closer()
	}
	g.closers = nil
}
