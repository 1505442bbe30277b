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
	// lateConnectionGrace is how long connections are accepted after the signal. New ones may still arrive up to 0.4 s
	// later.
	lateConnectionGrace = 450 * time.Millisecond
	// lastRequestGrace is how long after the listener is closed a request may still be read: the first one of a
	// connection that was accepted last.
	lastRequestGrace = 200 * time.Millisecond
)

// beginShutdown starts the shutdown. It returns a channel that is closed when all requests are answered, or
// their time is up, and all usage is reported.
func (g *gateway) beginShutdown() <-chan struct{} {
	g.ready.Store(false)
	// From now on the process that replaces this one may use the journal. Close waits for CloseServer.
	go g.zone.CloseServer()
	// Take the current settings, because a SIGHUP after the SIGTERM replaces them on Run's goroutine.
	settings := g.configuration.Settings
	done := make(chan struct{})
	go func() {
		defer close(done)
		stopClients(g.server, g.listener, settings)
		g.limitService.Close()
		g.accounts.CloseService() // reports the usage of every answered request too
	}()
	return done
}

// stopClients continues to serve while new connections may still arrive. It then ends connections between
// requests, and returns once all requests are answered or the longest deadline has passed. A drain is something
// else: managedGateway.Drain starts it, and the gateway goes on running.
func stopClients(server *frontend.Server, listener net.Listener, settings policy.Settings) {
	logging.For(frontendComponent).WithField("connections", server.OpenConnections()).Info("stopping")
	time.Sleep(lateConnectionGrace)
	server.AcceptBacklog(listener)
	_ = listener.Close() // the process ends next
	ctx, cancel := context.WithTimeout(context.Background(), longestDeadline(settings)+lastRequestGrace)
	defer cancel()
	_ = server.Shutdown(ctx) // fails if time is up for every request: then there is nothing left to wait for
	logging.For(frontendComponent).WithField("connections", server.OpenConnections()).Info("stopped")
}

func longestDeadline(settings policy.Settings) time.Duration {
	var longest time.Duration
	for _, class := range settings.Classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}
