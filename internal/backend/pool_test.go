package backend

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"fawnplank/internal/dispatch"
	"fawnplank/internal/testutil"
	"fawnplank/policy"
)

// startBackend starts a backend that sends reply after it has received something, or nothing if reply is empty. conns
// receives the connections that the backend accepts.
func startBackend(t *testing.T, reply string) (address string, conns chan net.Conn) {
	t.Helper()
	conns = make(chan net.Conn, 10)
	address = testutil.ServeConnections(t, func(conn net.Conn) {
		conns <- conn
		if reply == "" {
			return
		}
		// The pool under test detects a failure of these calls.
		_, _ = conn.Read(make([]byte, 100))
		_, _ = conn.Write([]byte(reply))
	})
	return address, conns
}

// newPool returns a pool of at most ten connections, whose backends close idle connections after 10 s.
func newPool() *Pool {
	return New(Options{
		MaxConnections: 10,
		ConnectTimeout: 200 * time.Millisecond,
		IdleTimeout:    10 * time.Second,
	})
}

// mustAcquire acquires an idle connection to a backend, or dials a new one.
func mustAcquire(t *testing.T, p *Pool, backend policy.BackendID) *conn {
	t.Helper()
	c, target, err := p.acquire(backend)
	if err == nil && c == nil {
		c, err = p.dial(target)
	}
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// makeIdle makes a connection idle, as after an answered attempt, and sets lastUsed so that it is usable at once.
func makeIdle(p *Pool, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.makeIdle()
	c.lastUsed = c.lastUsed.Add(-minIdle)
}

// idleConn adds an idle connection to a backend to a pool, as after an answered attempt.
func idleConn(t *testing.T, p *Pool, backend policy.BackendID) *conn {
	t.Helper()
	c := mustAcquire(t, p, backend)
	makeIdle(p, c)
	return c
}

// setLastUsed sets when a connection became idle.
func setLastUsed(p *Pool, c *conn, at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.lastUsed = at
}

// stateOf returns a connection's state. The caller does not hold the pool's lock.
func stateOf(p *Pool, c *conn) connState {
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.state
}

// TestPool_ConnectionIsNotReusedBeforeMinIdle guards against a wrong response: a connection was used again immediately
// after a response, and a second response some milliseconds later was taken for that to the next attempt.
func TestPool_ConnectionIsNotReusedBeforeMinIdle(t *testing.T) {
	p := newPool()
	address, conns := startBackend(t, "")
	p.SetAddress(1, address)
	c := idleConn(t, p, 1)
	setLastUsed(p, c, time.Now())
	if reacquired, _, err := p.acquire(1); reacquired != nil || err != nil {
		t.Errorf("reused before minIdle: %t, error %v", reacquired != nil, err)
	}
	if _, err := (<-conns).Write([]byte("*1\r\n$3\r\nold\r\n")); err != nil {
		t.Fatal(err)
	}
	testutil.Eventually(t, "the late response closes the connection", func() bool {
		return stateOf(p, c).isClosed()
	})

	// Of two idle connections, the pool chooses the one that has been idle for minIdle, although the other was used
	// more recently.
	older, younger := mustAcquire(t, p, 1), mustAcquire(t, p, 1)
	if older == younger {
		t.Fatal("the same connection was acquired twice")
	}
	makeIdle(p, older)
	makeIdle(p, younger)
	setLastUsed(p, younger, time.Now())
	if reacquired, _, err := p.acquire(1); reacquired != older || err != nil {
		t.Errorf("did not acquire the older connection; acquired the younger: %t, error %v", reacquired == younger, err)
	}
}

func TestPool_IdleConnectionsAreBounded(t *testing.T) {
	const timeout = 200 * time.Millisecond
	p := New(Options{MaxConnections: 2, ConnectTimeout: timeout, IdleTimeout: timeout})
	firstAddress, conns := startBackend(t, "")
	secondAddress, _ := startBackend(t, "")
	p.SetAddress(1, firstAddress)
	p.SetAddress(2, secondAddress)
	first := idleConn(t, p, 1)
	if idleConn(t, p, 1) != first {
		t.Error("the idle connection was not reused")
	}
	second := idleConn(t, p, 2)
	setLastUsed(p, second, second.lastUsed.Add(time.Millisecond))
	p.SetAddress(3, secondAddress)
	third := idleConn(t, p, 3) // the pool closes the first connection, which has been idle longest
	if !first.state.isClosed() || second.state.isClosed() || third.state.isClosed() || p.connections != 2 {
		t.Errorf("states: %v, %v, %v; %d connections open, want only the first closed",
			first.state, second.state, third.state, p.connections)
	}
	time.Sleep(110 * time.Millisecond) // more than half of the idle timeout
	if reacquired := idleConn(t, p, 2); reacquired == second || !second.state.isClosed() {
		t.Error("a connection was reused after more than half of the idle timeout")
	}
	p.SetAddress(2, firstAddress) // the backend moves to another address
	p.RemoveBackend(3)
	if !third.state.isClosed() || len(p.endpoints[2].idle) != 0 {
		t.Error("connections to a backend that moved or was removed are still open")
	}
	for range 2 {
		if c, _, err := p.acquire(1); err != nil || c != nil { // two slots are free for new connections
			t.Errorf("acquired %v, error %v; want a slot for a new connection", c, err)
		}
	}
	if _, _, err := p.acquire(1); !errors.Is(err, errConnectionLimit) {
		t.Errorf("connection beyond the limit: %v, want errConnectionLimit", err)
	}
	<-conns
}

// TestPool_BackendWithSeveralAddresses checks that a backend with an address that refuses connections and one that
// accepts them is handled as one backend: the first dial succeeds, later ones try the accepting address first, and an
// idle connection is kept while the addresses stay the same.
func TestPool_BackendWithSeveralAddresses(t *testing.T) {
	accepting, conns := startBackend(t, "")
	refusing := testutil.FreeAddress(t)
	p := New(Options{MaxConnections: 4, ConnectTimeout: 500 * time.Millisecond, IdleTimeout: time.Second})
	addresses := []netip.AddrPort{netip.MustParseAddrPort(refusing), netip.MustParseAddrPort(accepting)}
	p.SetAddresses(1, addresses)
	c := idleConn(t, p, 1)
	if got := c.socket.RemoteAddr().String(); got != accepting {
		t.Fatal(got)
	}
	defer runtime.KeepAlive(<-conns) // a collected connection would be closed, and the pool would drop c
	if first := p.endpoints[1].addresses[0]; first != addresses[1] || len(p.endpoints[1].addresses) != 2 {
		t.Errorf("%v is the first of the addresses %v, want the accepting one", first, p.endpoints[1].addresses)
	}
	p.SetAddresses(1, addresses) // unchanged, so the idle connection is kept
	if reacquired, _, err := p.acquire(1); err != nil || reacquired != c {
		t.Error("the idle connection was not reused: ", err)
	}
	select {
	case <-conns:
		t.Error("a second connection was opened to the backend")
	case <-time.After(50 * time.Millisecond):
	}
	p.SetAddresses(1, addresses[:1]) // the accepting address is gone
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.connections != 1 || p.endpoints[1].addresses[0] != addresses[0] {
		t.Error("the old addresses are still in use")
	}
}

// readPing reads a ping from the next accepted connection and returns the connection.
func readPing(t *testing.T, conns chan net.Conn) net.Conn {
	t.Helper()
	conn := <-conns
	if _, err := io.ReadFull(conn, make([]byte, len(ping))); err != nil {
		t.Fatal(err)
	}
	return conn
}

// TestPool_CloseEndsIdleConnections checks that Close waits until the readers of idle connections have ended.
func TestPool_CloseEndsIdleConnections(t *testing.T) {
	p := newPool()
	address, _ := startBackend(t, "")
	p.SetAddress(1, address)
	var idle []*conn
	for range 10 {
		idle = append(idle, mustAcquire(t, p, 1))
	}
	for _, c := range idle {
		makeIdle(p, c)
	}
	p.Close()
	for n, c := range idle {
		select {
		case <-c.readerDone:
		default:
			t.Errorf("the reader of connection %d is still running", n)
		}
	}
	if p.connections != 0 {
		t.Errorf("%d connections are still open", p.connections)
	}
}

// TestPool_CloseKeepsAttemptsInFlight checks that Close cancels health checks, which then have no outcome, but does not
// end an attempt in flight. The connection of that attempt ends with its response.
func TestPool_CloseKeepsAttemptsInFlight(t *testing.T) {
	p, outcome := newHealthCheckPool(10, time.Minute) // no health check times out
	address, conns := startBackend(t, "")
	p.SetAddress(1, address)
	request := submitRequest(t)
	p.Send(request.NextStep().Attempt, fixedCommand(ping))
	remote := readPing(t, conns)
	p.CheckHealth(1)
	readPing(t, conns)
	p.Close()
	p.SetAddress(1, address)
	p.CheckHealth(1)
	if _, _, err := p.acquire(1); !errors.Is(err, errNoAddress) || len(outcome) > 0 {
		t.Errorf("after Close: acquire returned %v, %d health checks had an outcome", err, len(outcome))
	}
	if _, err := remote.Write([]byte("*1\r\n$2\r\nok\r\n")); err != nil {
		t.Fatal(err)
	}
	if step := request.NextStep(); step.Action != dispatch.Respond {
		t.Errorf("the attempt in flight ended with step %+v, want its response", step)
	}
	testutil.Eventually(t, "all connections are closed", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.connections == 0
	})
	p.Close()
}

// TestPool_CloseCancelsDials checks that Close cancels dials in progress and that a closed pool dials no connection.
func TestPool_CloseCancelsDials(t *testing.T) {
	p := newPool()
	address, _ := startBackend(t, "")
	twoAddresses := []netip.AddrPort{netip.MustParseAddrPort(address), netip.MustParseAddrPort(address)}
	p.cancel() // the first step of Close
	for _, target := range []*endpoint{{key: address}, {addresses: twoAddresses}} {
		if _, err := p.connect(target); !errors.Is(err, context.Canceled) {
			t.Errorf("%+v: %v", target, err)
		}
	}
	p.Close()
	if _, err := p.connect(&endpoint{key: address}); !errors.Is(err, net.ErrClosed) {
		t.Errorf("dial after Close: %v, want net.ErrClosed", err)
	}
}
