package frontend

import (
	"time"

	"github.com/sirupsen/logrus"

	"fawnplank/internal/logging"
)

// drainDelay is how long a draining server continues to serve its connections before it closes them as they
// become idle. The load balancer sends PING ten times a second and stops opening connections 0.2 s after an
// error, which it has received by then.
//
// The operators' rule for a drain: when it is 4 s old, the load balancer counts a connection as lost that is idle or
// has a request from the last 2 s. Connections end from drainDelay on as they become idle; one without an open request
// is closed by force forcedCloseDelay after its end began. The last request is taken at drainRejectDelay. A connection
// with an open request is never closed by force: it may still be open at 4 s, until the deadline of that request.
const drainDelay = time.Second

// Drain begins a drain: from now on PING is answered with an error, and after drainDelay connections are
// closed between requests. A further call has no effect: drainDelay counts from the first.
func (s *Server) Drain() {
	if s.drain.start() {
		s.noteDrainStart()
		logging.For(logComponent).WithField("connections", s.OpenConnections()).Info("draining")
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
		"accepted":          stats.AcceptedConnections - s.atDrain.AcceptedConnections,
		"received":          stats.ReceivedRequests - s.atDrain.ReceivedRequests,
		"rejected_pings":    stats.RejectedPings - s.atDrain.RejectedPings,
		"rejected_requests": stats.RejectedRequests - s.atDrain.RejectedRequests,
		"closed_by_force":   stats.ForcedCloses - s.atDrain.ForcedCloses,
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
