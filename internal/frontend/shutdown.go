package frontend

import (
	"context"
	"time"
)

// shutdownPollInterval is the interval at which Shutdown checks for connections to close.
const shutdownPollInterval = 10 * time.Millisecond

// Shutdown gracefully closes all connections, each once it has no pending command and its responses are written. It
// returns nil when Serve has returned and no connection is open. If ctx ends first, it returns the error of ctx, and
// connections that are still open continue to be served until they have no pending command. Until the caller closes the
// listener, Serve continues to accept connections, which are closed in the same way.
func (s *Server) Shutdown(ctx context.Context) error {
	ticker := time.NewTicker(shutdownPollInterval)
	defer ticker.Stop()
	for {
		s.beginShutdown()
		if !s.serving.Load() && s.OpenConnections() == 0 {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// beginShutdown marks the server as shutting down and shuts down its connections. Shutdown calls it repeatedly for
// connections accepted meanwhile.
func (s *Server) beginShutdown() {
	s.shuttingDown.Store(true)
	s.shutDownConnections()
}

// shutDownConnections shuts down the connections without pending commands, and begins a graceful close of the others.
// It has no effect if the drain has ended meanwhile.
func (s *Server) shutDownConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closesIdleConnections() {
		return
	}
	now := time.Now()
	for c := range s.connections {
		c.startClosing(now)
		c.continueClosing(now)
	}
}
