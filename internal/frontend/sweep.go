package frontend

import "time"

// sweepInterval is the interval between two sweeps of the connections. It is short compared to commandTimeout.
const sweepInterval = 250 * time.Millisecond

// sweepConnections closes connections whose clients are silent or send too slowly, and idle connections once a drain
// has lasted for drainDelay. It runs until no more connections are accepted and all of them have ended.
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

// sweep checks all connections once.
func (s *Server) sweep(now time.Time) {
	if age, draining := s.drain.age(); draining && age > drainDelay {
		s.shutDownConnections()
		s.logUndrainedConnections(age)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.connections {
		if c.isCommandOverdue(now) {
			c.setReadDeadline(now) // interrupts the read; the reader then calls closeIfOverdue
		}
	}
}
