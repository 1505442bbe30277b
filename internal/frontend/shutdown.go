package frontend

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"fawnplank/internal/logging"
)

// drainDelay is how long a draining server continues to serve its connections before it closes them as they
// become idle. The load balancer sends PING ten times a second and stops opening connections 0.2 s after an
// error, which it has received by then. All connections are closed before 4 s, when the load balancer would
// count one that is still open as lost.
const drainDelay = time.Second

// drainRejectDelay is how long a draining server accepts requests. After it, a client that still comes is
// rejected at once: a load balancer that has missed the drain must not fill the instance with requests that
// would be open when it counts connections with a request from the last 2 s as lost, at 4 s.
const drainRejectDelay = 1800 * time.Millisecond

// forcedCloseDelay is how long a connection that is to end, and has no request open, may take to end by itself.
// A client that reads nothing, or sends invalid commands without end, would otherwise keep it open.
const forcedCloseDelay = 1500 * time.Millisecond

// shutdownInterval is the time between two looks of Shutdown for connections to close.
const shutdownInterval = 10 * time.Millisecond

// Drain begins a drain: from now on PING is answered with an error, and after drainDelay connections are
// closed between requests. A further call has no effect: drainDelay counts from the first.
func (s *Server) Drain() {
	if s.drain.start() {
		s.noteDrainStart()
		logging.For(logComponent).WithField("connections", s.Connections()).Info("draining")
	}
}

// noteDrainStart keeps the counts for the log entry at the end of the drain.
func (s *Server) noteDrainStart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.atDrain = s.Stats()
}

// Resume ends a drain: PING is answered with PONG again, and connections that are not closed yet stay open.
func (s *Server) Resume() {
	if !s.drain.stop() || s.closing.Load() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logDrainEnd()
	for c := range s.connections {
		c.stopEnding()
	}
}

// logDrainEnd logs what came during the drain: a load balancer that heeds it opens few connections. The caller
// holds mu.
func (s *Server) logDrainEnd() {
	stats := s.Stats()
	logging.For(logComponent).WithFields(logrus.Fields{
		"connections":       len(s.connections),
		"accepted":          stats.Accepted - s.atDrain.Accepted,
		"received":          stats.Received - s.atDrain.Received,
		"rejected_pings":    stats.RejectedPings - s.atDrain.RejectedPings,
		"rejected_requests": stats.RejectedRequests - s.atDrain.RejectedRequests,
		"closed_by_force":   stats.ClosedByForce - s.atDrain.ClosedByForce,
	}).Info("drain ended")
}

// Draining reports whether a drain is under way.
func (s *Server) Draining() bool {
	_, draining := s.drain.age()
	return draining
}

// endsConnections reports whether connections are to end once they are idle.
func (s *Server) endsConnections() bool {
	age, draining := s.drain.age()
	return s.closing.Load() || draining && age > drainDelay
}

// rejectsRequests reports whether a drain has lasted so long that requests are rejected.
func (s *Server) rejectsRequests() bool {
	age, draining := s.drain.age()
	return draining && age > drainRejectDelay
}

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

// shutDownConnections shuts down the connections that have nothing pending, and lets the others end after
// their responses. It does nothing if a drain has been called off meanwhile.
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
