package frontend

import (
	"context"
	"time"
)

// shutdownInterval is the time between two looks of Shutdown for connections to close.
const shutdownInterval = 10 * time.Millisecond

// Shutdown ends all connections, each once it has nothing pending and its responses are written. It returns
// nil when Serve has returned and no connection is open, or the error of ctx if that ends first; connections
// that are open then continue to be served until they have nothing pending. Serve accepts connections, which
// end likewise, until the caller closes the listener.
func (s *Server) Shutdown(ctx context.Context) error {
	ticker := time.NewTicker(shutdownInterval)
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

// beginShutdown marks the server as closing and shuts down its connections. Shutdown repeats it for
// connections accepted meanwhile.
func (s *Server) beginShutdown() {
	s.closing.Store(true)
	s.shutDownConnections()
}

// shutDownConnections shuts down the connections that have nothing pending, and lets the others end after
// their responses. It does nothing if a drain has ended meanwhile.
func (s *Server) shutDownConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.endsConnections() {
		return
	}
	now := time.Now()
	for c := range s.connections {
		c.startEnding(now)
		c.continueEnding(now)
	}
}
