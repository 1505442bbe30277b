package frontend

import (
	"time"

	"github.com/sirupsen/logrus"

	"fawnplank/internal/logging"
)

// drainDelay is how long a draining server continues to serve its connections before it closes them as they become
// idle. It leaves the load balancer time to stop opening connections: the load balancer sends PING ten times a second,
// and opens no more connections from 0.2 s after an error response to PING.
//
// The operators' rule for a drain is: 4 s after the start of the drain, the load balancer counts each open connection
// as lost that is idle or on which it sent a request within the last 2 s. From drainDelay on, connections are therefore
// closed as they become idle, and a connection without an open request is closed by force forcedCloseDelay after its
// graceful close began. The last request is accepted at drainRejectDelay. A connection with an open request is never
// closed by force: it may still be open after 4 s, until the deadline of that request.
const drainDelay = time.Second

// Drain begins a drain: from now on PING is answered with an error, and after drainDelay connections are
// closed between requests. Calling Drain again during a drain has no effect: drainDelay counts from the first call.
func (s *Server) Drain() {
	if s.drain.start() {
		s.recordDrainStart()
		logging.For(logComponent).WithField("connections", s.OpenConnections()).Info("draining")
	}
}

// recordDrainStart stores the current counts for the log entry at the end of the drain.
func (s *Server) recordDrainStart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.statsAtDrainStart = s.Stats()
}

// Resume ends a drain: PING is answered with PONG again, and connections that are not closed yet stay open. It has no
// effect without a drain, and keeps no connection open during a shutdown.
func (s *Server) Resume() {
	if !s.drain.stop() || s.shuttingDown.Load() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logDrainEnd()
	for c := range s.connections {
		c.cancelClosing()
	}
}

// logDrainEnd logs what arrived during the drain: few connections, if the load balancer reacted to the drain. The
// caller holds mu.
func (s *Server) logDrainEnd() {
	stats := s.Stats()
	logging.For(logComponent).WithFields(logrus.Fields{
		"connections":       len(s.connections),
		"accepted":          stats.AcceptedConnections - s.statsAtDrainStart.AcceptedConnections,
		"received":          stats.ReceivedRequests - s.statsAtDrainStart.ReceivedRequests,
		"rejected_pings":    stats.RejectedPings - s.statsAtDrainStart.RejectedPings,
		"rejected_requests": stats.RejectedRequests - s.statsAtDrainStart.RejectedRequests,
		"closed_by_force":   stats.ForcedCloses - s.statsAtDrainStart.ForcedCloses,
	}).Info("drain ended")
}

// Draining reports whether a drain is in progress.
func (s *Server) Draining() bool {
	_, draining := s.drain.age()
	return draining
}

// closesIdleConnections reports whether connections are closed once they are idle.
func (s *Server) closesIdleConnections() bool {
	age, draining := s.drain.age()
	return s.shuttingDown.Load() || draining && age > drainDelay
}
