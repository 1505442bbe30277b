package frontend

import (
	"net"
	"time"

	"fawnplank/internal/retryaccept"
)

const (
	// acceptGrace is how long a connection that the kernel has accepted may wait to be accepted here once
	// accepting ends.
	acceptGrace = 20 * time.Millisecond
	// listenerGrace is the time from the start of acceptGrace until the listener is closed. It is longer than
	// acceptGrace, so that the server already has the last accepted connection when the listener closes.
	listenerGrace = 30 * time.Millisecond
	// maxAcceptExtensions is how often acceptGrace is granted again while accepts fail, so that connections
	// that the kernel has accepted are not lost to an outage of a tenth of a second.
	maxAcceptExtensions = 4
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

// AcceptBacklog ends accepting: it returns once the connections are accepted that wait on the listener, after
// listenerGrace, or after up to 1 + maxAcceptExtensions times that while accepts fail. It guards against resetting
// connections that the kernel has accepted already, whose clients may have sent a request: they are served before the
// listener is closed.
func (s *Server) AcceptBacklog(listener net.Listener) {
	bounded, hasDeadline := listener.(interface{ SetDeadline(at time.Time) error })
	for range 1 + maxAcceptExtensions {
		if hasDeadline {
			_ = bounded.SetDeadline(time.Now().Add(acceptGrace)) // fails on a closed listener, which accepts no more
		}
		time.Sleep(listenerGrace)
		if !s.acceptFailing() {
			return
		}
	}
}

// acceptFailing reports whether the last accept failed, so that connections may be waiting on the listener.
func (s *Server) acceptFailing() bool {
	listener := s.listener.Load()
	return listener != nil && listener.Failing()
}

// addConnection starts to serve a connection. If there are too many, it first waits until an idle one can be closed.
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
