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
	"fawnplank/internal/tlsconfig"
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

// gateway holds all parts of a serving process. newGateway constructs them, Run serves, and Close releases what
// closers lists.
//
// A reload replaces configuration on Run's goroutine. Once Run is called, no other goroutine reads that field,
// except the reload's reader, which applyReload waits for.
type gateway struct {
	options        gatewayOptions
	configuration  *config.Config
	operator       *config.OperatorSettings
	resourceLimits resourceLimits // of the configuration at the start

	dispatcher   *dispatch.Dispatcher
	metrics      *metrics.Registry
	pool         *backend.Pool
	counter      *counter.Client
	discovery    *discovery.Client
	zone         *endpointZone
	listener     net.Listener
	replica      *replica
	accounts     *accounts
	limitService *limitService
	server       *frontend.Server
	ready        atomic.Bool // true while the gateway is listening and not shutting down

	// closers releases what was started, in the order of the starts. Close calls them in reverse:
	//
	//	zone.Close                  the name server, unless a shutdown has stopped it; changes of the zone
	//	replica.Close               does nothing without a store
	//	accounts.StopNotifications  of changed keys; the billing service is not part of it
	//	listener.Close              of the clients, unless a shutdown has closed it
	//	warmStart.Close             saves the state, if there is a file for it
	//	discovery.Close, counter.Close, pool.Close, dispatcher.Stop
	//
	// The rest is stopped only by beginShutdown: the clients' connections, limits and accounts.CloseService, in this
	// order, before Run returns. The server of the management address runs until the process ends.
	closers []func()
}

// newGateway reads the configuration, constructs all parts, and starts those that Run does not start. The
// order of the steps is part of the behavior. The endpoint list is known before the listener opens, so that
// the first request finds backends. The accounts are ready before the first request is received, so that
// either every request is billed or none is.
func newGateway(ctx context.Context, options gatewayOptions) (*gateway, error) {
	g := &gateway{options: options}
	steps := []func(context.Context) error{
		g.load,
		g.startDispatcher,
		g.loadEndpoints,
		g.startWarmStart,
		g.listen,
		g.openReplica,
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

// addClosers makes Close call the functions, the last one first.
func (g *gateway) addClosers(closers ...func()) { g.closers = append(g.closers, closers...) }

// Close calls the closers in reverse order. It is called once, after Run or where newGateway fails.
func (g *gateway) Close() {
	for _, closer := range slices.Backward(g.closers) {
		closer()
	}
	g.closers = nil
}
