package load

import (
	"bufio"
	"context"
	"errors"
	"net"
	"time"
)

// connectTimeout bounds the wait for a connection: an instance that hangs may leave the connect unanswered.
const connectTimeout = 500 * time.Millisecond

var errTooManyConnections = errors.New("load: no connection is left")

// connection is a connection to an instance.
type connection struct {
	net.Conn
	reader *bufio.Reader
	reused bool // it was idle before this request
}

// acquire returns a connection to an instance: the idle one used most recently, or a new one if none is idle
// or if mustBeNew is set.
func (g *Generator) acquire(instance int, mustBeNew bool) (*connection, error) {
	g.mu.Lock()
	if count := len(g.idle[instance]); count > 0 && !mustBeNew {
		conn := g.idle[instance][count-1]
		g.idle[instance] = g.idle[instance][:count-1]
		g.mu.Unlock()
		return conn, nil
	}
	if g.connections >= g.scenario.Load.MaxConnections {
		g.mu.Unlock()
		return nil, errTooManyConnections
	}
	g.connections++
	g.mu.Unlock()
	return g.dial(instance)
}

// dial opens a connection that acquire has already counted.
func (g *Generator) dial(instance int) (*connection, error) {
	dialer := net.Dialer{Timeout: connectTimeout}
	conn, err := dialer.DialContext(context.Background(), "tcp", g.addresses[instance])
	if err != nil {
		g.uncount()
		return nil, err
	}
	return &connection{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

func (g *Generator) uncount() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.connections--
}

// discard closes a connection that is no longer of use.
func (g *Generator) discard(conn *connection) {
	_ = conn.Close() // the instance may have ended it
	g.uncount()
}

// release makes a connection idle.
func (g *Generator) release(instance int, conn *connection) {
	conn.reused = true
	g.mu.Lock()
	defer g.mu.Unlock()
	g.idle[instance] = append(g.idle[instance], conn)
}

func (g *Generator) closeIdle() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, connections := range g.idle {
		for _, conn := range connections {
			_ = conn.Close() // the instance may have ended it
		}
	}
}
