package frontend

import (
	"net"
	"time"

	"fawnplank/internal/retryaccept"
)

const (
	// backlogAcceptTimeout is how long AcceptBacklog lets the server accept connections from the listener's backlog
	// in one round.
	backlogAcceptTimeout = 20 * time.Millisecond
	// backlogRoundDuration is the duration of one round of AcceptBacklog. It is longer than backlogAcceptTimeout, so
	// that the server has registered the last accepted connection before the listener is closed.
	backlogRoundDuration = 30 * time.Millisecond
	// maxExtraBacklogRounds limits the further rounds while accepts fail, so that connections in the backlog are not
	// lost when accepts fail for a tenth of a second.
	maxExtraBacklogRounds = 4
)

// acceptConnections accepts and starts to serve connections until the listener is closed or its deadline has passed.
func (s *Server) acceptConnections(listener *retryaccept.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		s.addConnection(conn, listener.EarliestArrival())
	}
}

// AcceptBacklog prepares the listener for its close: it sets a deadline after which Serve accepts no more connections,
// and waits until Serve has accepted those in the listener's backlog. That takes backlogRoundDuration, or up to
// 1 + maxExtraBacklogRounds times as long while accepts fail. Without the wait, closing the listener would reset
// connections that the kernel has already established and whose clients may have sent a request.
func (s *Server) AcceptBacklog(listener net.Listener) {
	deadlineSetter, supportsDeadline := listener.(interface{ SetDeadline(at time.Time) error })
	for range 1 + maxExtraBacklogRounds {
		if supportsDeadline {
			_ = deadlineSetter.SetDeadline(time.Now().Add(backlogAcceptTimeout)) // fails only on a closed listener
		}
		time.Sleep(backlogRoundDuration)
		if !s.acceptFailing() {
			return
		}
	}
}

// acceptFailing reports whether the last accept failed, so that connections may remain in the listener's backlog.
func (s *Server) acceptFailing() bool {
	listener := s.listener.Load()
	return listener != nil && listener.Failing()
}

// addConnection starts to serve an accepted connection, which arrived at the given time or later. If too many
// connections are open, it first waits until an idle one can be closed.
func (s *Server) addConnection(accepted net.Conn, arrivedAfter time.Time) {
	c, err := newConnection(s, accepted.(*net.TCPConn), arrivedAfter)
	if err != nil { // the connection has ended already
		_ = accepted.Close() // nothing was read or written that could be lost
		return
	}
	s.register(c)
	go c.readLoop()
}

// register adds a connection once there is capacity for it.
func (s *Server) register(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.makeConnectionCapacity()
	c.startServing(time.Now())
	s.connections[c] = struct{}{}
	s.acceptedConnections.Add(1)
	if s.closesIdleConnections() {
		c.startClosing(time.Now())
	}
}
