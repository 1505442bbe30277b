package frontend

import (
	"context"
	"time"

	"fawnplank/internal/logging"
)

// drainDelay is how long a draining server continues to serve its connections before it closes them as they
// become idle. The load balancer sends PING ten times a second and stops opening connections 0.2 s after an
// error, which it has received by then. All connections are closed before 4 s, when the load balancer would
// count one that is still open as lost.
const drainDelay = time.Second

// shutdownInterval is the time between two looks of Shutdown for connections to close.
const shutdownInterval = 10 * time.Millisecond

// Drain begins a drain: from now on PING is answered with an error, and after drainDelay connections are
// closed between requests. A further call has no effect: drainDelay counts from the first.
func (s *Server) Drain() {
	if s.drainingSinceNanos.CompareAndSwap(0, time.Now().UnixNano()) {
		logging.For(logComponent).WithField("connections", s.Connections()).Info("draining")
	}
}

// Resume ends a drain: PING is answered with PONG again, and connections that are not closed yet stay open.
func (s *Server) Resume() {
	if s.drainingSinceNanos.Swap(0) == 0 || s.closing.Load() {
		return
	}
	logging.For(logComponent).WithField("connections", s.Connections()).Info("drain ended")
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.connections {
		c.draining.Store(false)
		c.heldLogged.Store(false)
	}
}

// Draining reports whether a drain is under way.
func (s *Server) Draining() bool { return s.drainingSinceNanos.Load() != 0 }

// Shutdown ends all connections, each once it has nothing pending and its responses are written. It returns
// nil when Serve has returned and no connection is open, or the error of ctx if that ends first; connections
// that are open then continue to be served until they have nothing pending. Serve accepts connections, which
// end likewise, until the caller closes the listener.
func (s *Server) Shutdown(ctx context.Context) error {
	ticker := time.NewTicker(shutdownInterval)
	defer ticker.Stop()
	for {
		s.beginShutdown()
		if !s.serving.Load() && s.Connections() == 0 {
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

// shutDownConnections shuts down the connections that have nothing pending, and marks the others to be shut
// down after their responses.
func (s *Server) shutDownConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for c := range s.connections {
		c.draining.Store(true)
		// Input that has arrived, or is about to arrive on a new connection, is accepted and answered first.
		if c.isNew(now) {
			c.setReadDeadline(c.acceptedAt.Add(newConnectionGrace))
		} else if !c.conn.HasPendingBytes() {
			c.shutDownIfIdle()
		}
	}
}
