package load

import (
	"bufio"
	"context"
	"errors"
	"net"
	"time"
)

// connectTimeout bounds the wait for a new connection, because an instance that hangs may not complete the handshake.
const connectTimeout = 500 * time.Millisecond

var errTooManyConnections = errors.New("load: all connections that the scenario allows are in use")

// connection is a connection to an instance.
type connection struct {
	net.Conn
	reader *bufio.Reader
	reused bool // the connection has served an earlier request
}

// acquire returns a connection to an instance: the most recently used idle connection, or a new one if no connection
// is idle or mustBeNew is set.
func (g *Generator) acquire(instance int, mustBeNew bool) (*connection, error) {
	g.mu.Lock()
	if count := len(g.idle[instance]); count > 0 && !mustBeNew {
		conn := g.idle[instance][count-1]
		g.idle[instance] = g.idle[instance][:count-1]
		g.mu.Unlock()
		return conn, nil
	}
	if g.openConnections >= g.scenario.Load.MaxConnections {
		g.mu.Unlock()
		return nil, errTooManyConnections
	}
	g.openConnections++
	g.mu.Unlock()
	return g.dial(instance)
}

// dial opens a connection that acquire has already counted.
func (g *Generator) dial(instance int) (*connection, error) {
	dialer := net.Dialer{Timeout: connectTimeout}
	conn, err := dialer.DialContext(context.Background(), "tcp", g.addresses[instance])
	if err != nil {
		g.decrementConnections()
		return nil, err
	}
	return &connection{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

func (g *Generator) decrementConnections() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.openConnections--
}

// discard closes a connection that cannot be reused.
func (g *Generator) discard(conn *connection) {
	_ = conn.Close() // fails if the instance has closed the connection first
	g.decrementConnections()
}

// release puts a connection into the idle list of its instance.
func (g *Generator) release(instance int, conn *connection) {
	conn.reused = true
	g.mu.Lock()
	defer g.mu.Unlock()
	g.idle[instance] = append(g.idle[instance], conn)
}

func (g *Generator) closeIdle() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, idleConnections := range g.idle {
		for _, conn := range idleConnections {
			_ = conn.Close() // fails if the instance has closed the connection first
		}
	}
}
