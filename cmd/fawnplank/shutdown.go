package main

import (
	"context"
	"net"
	"time"

	"fawnplank/internal/frontend"
	"fawnplank/internal/logging"
	"fawnplank/policy"
)

const (
	// lateConnectionGrace is how long connections are accepted after the signal. New connections may arrive until 0.4 s
	// after it.
	lateConnectionGrace = 450 * time.Millisecond
	// lastRequestGrace is how long after the listener is closed the first request of the last accepted connection may
	// still be read.
	lastRequestGrace = 200 * time.Millisecond
)

// beginShutdown starts the shutdown. It returns a channel that is closed after all requests are answered or have
// exceeded their deadlines, and all usage is reported.
func (g *gateway) beginShutdown() <-chan struct{} {
	g.ready.Store(false)
	// The process that replaces this one may use the zone's journal as soon as the name server is closed.
	// endpointZone.Close waits for CloseServer.
	go g.zone.CloseServer()
	// Copy the current settings, because a reload after the signal replaces them on the goroutine of Run.
	settings := g.configuration.Settings
	done := make(chan struct{})
	go func() {
		defer close(done)
		stopClients(g.server, g.listener, settings)
		g.limitService.Close()
		g.accounts.CloseService() // also reports the usage of all answered requests
	}()
	return done
}

// stopClients continues to serve while new connections may arrive. It then closes connections that have no request in
// flight, and returns after all requests are answered or the longest deadline has passed. A drain, which
// managedGateway.Drain starts, is different: the gateway continues to run.
func stopClients(server *frontend.Server, listener net.Listener, settings policy.Settings) {
	logging.For(frontendComponent).WithField("connections", server.OpenConnections()).Info("stopping")
	time.Sleep(lateConnectionGrace)
	server.AcceptBacklog(listener)
	_ = listener.Close() // an error has no effect because the process is about to end
	ctx, cancel := context.WithTimeout(context.Background(), longestDeadline(settings)+lastRequestGrace)
	defer cancel()
	_ = server.Shutdown(ctx) // an error means that the deadlines of all requests have passed
	logging.For(frontendComponent).WithField("connections", server.OpenConnections()).Info("stopped")
}

func longestDeadline(settings policy.Settings) time.Duration {
	var longest time.Duration
	for _, class := range settings.Classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}
