package frontend

import (
	"net"
	"time"

	"fawnplank/internal/retryaccept"
)

// accept adds connections until the listener is closed or its deadline has passed.
func (s *Server) accept(listener *retryaccept.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		s.addConnection(conn)
	}
}

// AcceptFailing reports whether the last accept failed, so that connections may be waiting on the listener.
func (s *Server) AcceptFailing() bool {
	listener := s.listener.Load()
	return listener != nil && listener.Failing()
}

// addConnection starts to serve a connection. If there are too many, it first waits until the connection that
// would be missed least can be closed.
func (s *Server) addConnection(accepted net.Conn) {
	c, err := newConnection(s, accepted.(*net.TCPConn))
	if err != nil { // the connection has ended already
		_ = accepted.Close() // nothing was read or written that could be lost
		return
	}
	s.register(c)
	go c.readLoop()
}

// register adds a connection, once there is capacity for it.
func (s *Server) register(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.makeCapacity()
	s.connections[c] = struct{}{}
	s.accepted.Add(1)
	if s.endsConnections() {
		c.startEnding(time.Now())
	}
}

// makeCapacity evicts idle connections until there is capacity for one more. If all are busy, it waits. The
// caller holds mu.
func (s *Server) makeCapacity() {
	for s.countValidated() >= s.evictionThreshold && s.evictIdle(validatedConnections) {
	}
	for len(s.connections) >= s.maxConnections {
		s.capacityWanted.Store(true) // before looking: connections that become idle from here on signal it
		if !s.evictIdle(allConnections) {
			s.capacityFreed.Wait()
		}
	}
	s.capacityWanted.Store(false)
}

// signalCapacity wakes an accept that waits for capacity, since a connection may have become idle. Without
// it, if all connections are busy when a new one arrives and then become idle for good, nobody would look at
// them again.
func (s *Server) signalCapacity() {
	if !s.capacityWanted.Load() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.capacityFreed.Signal()
}

// removeConnection forgets a connection that has ended.
func (s *Server) removeConnection(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.connections, c)
	s.capacityFreed.Signal()
}
