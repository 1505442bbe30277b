package frontend

import (
	"errors"
	"net"
	"os"
	"time"

	"fawnplank/internal/logging"
)

// acceptRetryDelay is the pause after an accept that failed: out of descriptors, some are freed soon.
const acceptRetryDelay = 10 * time.Millisecond

// accept adds connections until the listener is closed or its deadline has passed.
func (s *Server) accept(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			return nil
		}
		if err != nil {
			logging.For(logComponent).WithError(err).Warn("accept failed")
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.addConnection(conn)
	}
}

// addConnection starts to serve a connection. Where there are too many, it waits until the one that is missed
// the least could be closed.
func (s *Server) addConnection(accepted net.Conn) {
	c, err := newConnection(s, accepted.(*net.TCPConn))
	if err != nil { // it has ended already
		_ = accepted.Close() // nothing was read or written that could be lost
		return
	}
	s.mu.Lock()
	s.makeCapacity()
	s.connections[c] = struct{}{}
	s.mu.Unlock()
	go c.readLoop()
}

// makeCapacity evicts idle connections until there is capacity for one more, and waits where all are busy.
// The caller holds mu.
func (s *Server) makeCapacity() {
	for s.countValidated() >= s.evictionThreshold && s.evictIdle(validatedConnections) {
	}
	for len(s.connections) >= s.maxConnections {
		s.capacityWanted.Store(true) // before looking: what becomes idle from here on signals it
		if !s.evictIdle(allConnections) {
			s.capacityFreed.Wait()
		}
	}
	s.capacityWanted.Store(false)
}

// signalCapacity wakes an accept that waits for capacity: a connection may have become idle. Guards against
// connections that all were busy when one more came, and then became idle for good: nobody looked at them
// again.
func (s *Server) signalCapacity() {
	if s.capacityWanted.Load() {
		s.mu.Lock()
		s.capacityFreed.Signal()
		s.mu.Unlock()
	}
}

// removeConnection forgets a connection that has ended.
func (s *Server) removeConnection(c *connection) {
	s.mu.Lock()
	delete(s.connections, c)
	s.capacityFreed.Signal()
	s.mu.Unlock()
}
