package counter

import (
	"slices"
	"time"
)

const (
	// maxConnections is the maximum number of open connections to one address. The service accepts 32 connections
	// from an instance, and after a change of the service's address, old and new connections are open at the same
	// time for a while.
	maxConnections = 16
	// answerTimeout is the maximum time that the oldest call of a connection may be unanswered before the connection
	// is closed: a service that has moved never answers on the old connections. The timeout is many times the
	// response time of an overloaded service.
	answerTimeout = time.Second
)

// pickConnection returns the first connection without outstanding calls, so that a slow answer does not delay
// the answers for other keys. If there is none, it returns a new connection or, once maxConnections are open,
// the one with the fewest outstanding calls. The caller holds the lock.
func (c *Client) pickConnection() *connection {
	var leastBusy *connection
	for _, conn := range c.connections {
		if len(conn.calls) == 0 {
			return conn
		}
		if leastBusy == nil || len(conn.calls) < len(leastBusy.calls) {
			leastBusy = conn
		}
	}
	if len(c.connections) >= maxConnections {
		return leastBusy
	}
	conn := &connection{client: c, address: c.address}
	c.connections = append(c.connections, conn)
	c.running.Go(conn.run)
	return conn
}

// replaceConnections makes further calls use connections to the given address, and returns the old connections
// that have no outstanding calls.
func (c *Client) replaceConnections(address string) (idle []*connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if address == c.address {
		return nil
	}
	c.address = address
	for _, conn := range c.connections {
		conn.addressChanged = true
		if len(conn.calls) == 0 {
			idle = append(idle, conn)
		}
	}
	c.oldConnections = append(c.oldConnections, c.connections...)
	c.connections = nil
	for _, q := range c.queues {
		q.connection = nil
	}
	return idle
}

// timedOutConnections returns the connections that have timed out. The caller holds the lock.
func (c *Client) timedOutConnections() []*connection {
	var timedOut []*connection
	for _, connections := range [][]*connection{c.connections, c.oldConnections} {
		for _, conn := range connections {
			if conn.hasTimedOut() {
				timedOut = append(timedOut, conn)
			}
		}
	}
	return timedOut
}

// hasTimedOut reports whether the connection's oldest call has been unanswered for longer than answerTimeout. The
// caller holds the client's lock.
func (conn *connection) hasTimedOut() bool {
	return len(conn.calls) > 0 && time.Since(conn.calls[0].addedAt) > answerTimeout
}

// removeConnection removes a closed connection from the client. It returns the connection's calls, whose results must
// still be delivered: those that may have been written, and those that have not. The caller holds the lock.
func (c *Client) removeConnection(closed *connection) (written, unwritten []*call) {
	isClosed := func(conn *connection) bool { return conn == closed }
	c.connections = slices.DeleteFunc(c.connections, isClosed)
	c.oldConnections = slices.DeleteFunc(c.oldConnections, isClosed)
	for _, q := range c.queues { // including queues whose last result has not been delivered yet
		if q.connection == closed {
			q.connection = nil
		}
	}
	firstUnwritten := len(closed.calls) - closed.unwrittenCalls
	return closed.calls[:firstUnwritten], closed.calls[firstUnwritten:]
}
