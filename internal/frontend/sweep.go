package frontend

import "time"

// sweepInterval is how often the server looks for silent connections; it is short compared to commandTimeout.
const sweepInterval = 250 * time.Millisecond

// sweepConnections ends connections that are silent or send too slowly, and closes idle ones once a drain has
// lasted for drainDelay. It runs until no more connections are accepted and all have ended.
func (s *Server) sweepConnections(acceptEnded <-chan struct{}) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for accepting := true; accepting || s.Connections() > 0; {
		select {
		case <-acceptEnded:
			acceptEnded = nil
			accepting = false
		case now := <-ticker.C:
			s.sweep(now)
		}
	}
}

func (s *Server) sweep(now time.Time) {
	if age, draining := s.drain.age(); draining && age > drainDelay {
		s.shutDownConnections()
		s.logHeldConnections(age)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.connections {
		if c.commandOverdue(now) {
			c.setReadDeadline(now) // its reader rejects it
		}
	}
}
