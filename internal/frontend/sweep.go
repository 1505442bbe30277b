package frontend

import "time"

// sweepInterval is the time between two looks for silent connections; it is short compared to commandTimeout.
const sweepInterval = 250 * time.Millisecond

// sweepConnections ends connections that are silent or send too slowly, and closes idle ones once a drain has
// lasted for drainDelay. It runs until no more connections are accepted and all have ended.
func (s *Server) sweepConnections(acceptEnded <-chan struct{}) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for accepting := true; accepting || s.OpenConnections() > 0; {
		select {
		case <-acceptEnded:
			acceptEnded = nil
			accepting = false
		case now := <-ticker.C:
			s.sweep(now)
		}
	}
}

// sweep takes one look at all connections.
func (s *Server) sweep(now time.Time) {
	if age, draining := s.drain.age(); draining && age > drainDelay {
		s.shutDownConnections()
		s.logOutlastingConnections(age)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.connections {
		if c.isCommandOverdue(now) {
			c.setReadDeadline(now) // its reader ends it, in endIfOverdue
		}
	}
}
