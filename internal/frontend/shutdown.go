package frontend

import "time"

// drainDelay is how long a draining server continues to serve its connections before it closes them as they
// become idle. The load balancer sends PING ten times a second and stops opening connections 0.2 s after an
// error, which it has received by then. All connections are closed before 4 s, when the load balancer would
// count one that is still open as lost.
const drainDelay = time.Second

// Drain begins a drain: from now on PING is answered with an error, and after drainDelay connections are
// closed between requests. A further call has no effect: drainDelay counts from the first.
func (s *Server) Drain() { s.drainingSinceNanos.CompareAndSwap(0, time.Now().UnixNano()) }

// Resume ends a drain: PING is answered with PONG again, and connections that are not closed yet stay open.
func (s *Server) Resume() {
	if s.drainingSinceNanos.Swap(0) == 0 || s.closing.Load() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.connections {
		c.draining.Store(false)
	}
}

// Draining reports whether a drain is under way.
func (s *Server) Draining() bool { return s.drainingSinceNanos.Load() != 0 }

// Close ends the connections that have nothing pending; the others end after their responses. Close does not
// wait, and may be called again for connections that were accepted meanwhile.
func (s *Server) Close() {
	s.closing.Store(true)
	s.closeConnections()
}

func (s *Server) closeConnections() {
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
