package main

import (
	"net"
	"time"

	"fawnplank/internal/frontend"
	"fawnplank/internal/logging"
	"fawnplank/policy"
)

const (
	// arrivalGrace is how long connections are accepted after the signal: new ones may still come up to 0.4 s
	// later.
	arrivalGrace = 450 * time.Millisecond
	// acceptGrace is how long a connection that the kernel has accepted by then may wait to be accepted here.
	acceptGrace = 20 * time.Millisecond
	// listenerGrace is the time from the start of acceptGrace to closing the listener. It is longer, so that the
	// last connection accepted is with the server by then.
	listenerGrace = 30 * time.Millisecond
	// drainPoll is the time between two looks at the open connections.
	drainPoll = 10 * time.Millisecond
)

// beginShutdown starts the shutdown, and returns a channel that is closed when all requests are answered, or
// their time is up, and all usage is reported.
func (g *gateway) beginShutdown() <-chan struct{} {
	g.ready.Store(false)
	// The process that replaces this one may use the journal from now on. Close waits for it.
	go g.zone.CloseServer()
	// The settings as they are now: a SIGHUP behind the SIGTERM replaces them on Run's goroutine.
	settings := g.configuration.Settings
	done := make(chan struct{})
	go func() {
		defer close(done)
		drainClients(g.server, g.listener, settings)
		g.limits.Close()
		g.accounts.CloseService() // with the usage of all that was answered
	}()
	return done
}

// drainClients serves on while new connections may still come; then it ends connections between requests, and
// returns once all requests are answered, or the longest deadline is over.
func drainClients(server *frontend.Server, listener net.Listener, settings policy.Settings) {
	logging.For("frontend").Info("stopping")
	time.Sleep(arrivalGrace)
	// The kernel has accepted what waits on the listener: it is served before the listener closes.
	if tcp, ok := listener.(*net.TCPListener); ok {
		_ = tcp.SetDeadline(time.Now().Add(acceptGrace)) // fails on a closed listener, which accepts no more anyway
	}
	time.Sleep(listenerGrace)
	_ = listener.Close() // the process ends next
	deadline := time.Now().Add(longestDeadline(settings))
	for ; time.Now().Before(deadline); time.Sleep(drainPoll) {
		server.Close()
		if !server.Serving() && server.Connections() == 0 {
			break
		}
	}
	logging.For("frontend").Info("stopped")
}

func longestDeadline(settings policy.Settings) time.Duration {
	var longest int64
	for _, class := range settings.Classes {
		longest = max(longest, class.Deadline)
	}
	return time.Duration(longest)
}
