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

// listen is a backend that answers nothing but, where pong is given, one command with that. It passes on the
// connections that it accepts.
func listen(t *testing.T, pong string) (address string, conns chan net.Conn) {
	t.Helper()
	conns = make(chan net.Conn, 10)
	address = testutil.ServeConnections(t, func(conn net.Conn) {
		conns <- conn
		if pong == "" {
			return
		}
		// What fails here is seen by the pool under test.
		_, _ = conn.Read(make([]byte, 100))
		_, _ = conn.Write([]byte(pong))
	})
	return address, conns
}

// newPool is a pool of at most ten connections, whose backends close idle ones after 10 s.
func newPool() *Pool {
	return New(Options{
		MaxConnections: 10,
		ConnectTimeout: 200 * time.Millisecond,
		IdleTimeout:    10 * time.Second,
	})
}

// mustAcquire acquires an idle connection to a backend, or dials one.
func mustAcquire(t *testing.T, p *Pool, b policy.BackendID) *conn {
	t.Helper()
	c, e, err := p.acquire(b)
	if err == nil && c == nil {
		c, err = p.dial(e)
	}
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// makeIdle puts a connection into the pool, as after an answered attempt, and long enough ago that it may be
// used.
func makeIdle(p *Pool, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.makeIdle()
	c.lastUsed = c.lastUsed.Add(-minIdle)
}

// idleConn gives a pool an idle connection to a backend, as after an answered attempt.
func idleConn(t *testing.T, p *Pool, b policy.BackendID) *conn {
	t.Helper()
	c := mustAcquire(t, p, b)
	makeIdle(p, c)
	return c
}

// setLastUsed sets when a connection became idle.
func setLastUsed(p *Pool, c *conn, at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.lastUsed = at
}

// stateOf is a connection's state, for a test that does not hold the pool's lock.
func stateOf(p *Pool, c *conn) connState {
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.state
}

// Failure: a connection was used again at once after an answer, and a second answer that came some
// milliseconds after the first was taken for the next attempt's.
func TestPool_ConnectionIdlesForALateSecondAnswer(t *testing.T) {
	p := newPool()
	address, conns := listen(t, "")
	p.SetAddress(1, address)
	c := idleConn(t, p, 1)
	setLastUsed(p, c, time.Now())
	if again, _, err := p.acquire(1); again != nil || err != nil {
		t.Errorf("used again at once: %t, %v", again != nil, err)
	}
	if _, err := (<-conns).Write([]byte("*1\r\n$3\r\nold\r\n")); err != nil {
		t.Fatal(err)
	}
	testutil.Eventually(t, "the late answer ends the connection", func() bool {
		return stateOf(p, c).isClosed()
	})

	// Of two idle connections the pool chooses the one that has been idle for long enough, though the other was
	// used last.
	older, younger := mustAcquire(t, p, 1), mustAcquire(t, p, 1)
	if older == younger {
		t.Fatal("one connection was acquired twice")
	}
	makeIdle(p, older)
	makeIdle(p, younger)
	setLastUsed(p, younger, time.Now())
	if again, _, err := p.acquire(1); again != older || err != nil {
		t.Errorf("not the older one; the one that has just been used: %t, %v", again == younger, err)
	}
}

func TestPool_IdleConnectionsAreBounded(t *testing.T) {
	const timeout = 200 * time.Millisecond
	p := New(Options{MaxConnections: 2, ConnectTimeout: timeout, IdleTimeout: timeout})
	one, conns := listen(t, "")
	two, _ := listen(t, "")
	p.SetAddress(1, one)
	p.SetAddress(2, two)
	first := idleConn(t, p, 1)
	if idleConn(t, p, 1) != first {
		t.Error("an idle connection is not used again")
	}
	second := idleConn(t, p, 2)
	setLastUsed(p, second, second.lastUsed.Add(time.Millisecond))
	p.SetAddress(3, two)
	third := idleConn(t, p, 3) // the oldest is closed for it
	if !first.state.isClosed() || second.state.isClosed() || third.state.isClosed() || p.connections != 2 {
		t.Errorf("states: %v, %v, %v; %d open", first.state, second.state, third.state, p.connections)
	}
	time.Sleep(110 * time.Millisecond) // half of the time after which backends close
	if again := idleConn(t, p, 2); again == second || !second.state.isClosed() {
		t.Error("a connection that has been idle for too long is used")
	}
	p.SetAddress(2, one) // at another address now
	p.RemoveBackend(3)
	if !third.state.isClosed() || len(p.endpoints[2].idle) != 0 {
		t.Error("connections to a backend that moved or is gone stay open")
	}
	for range 2 {
		if c, _, err := p.acquire(1); err != nil || c != nil { // two new ones may be opened
			t.Errorf("%v, %v", c, err)
		}
	}
	if _, _, err := p.acquire(1); !errors.Is(err, errConnectionLimit) {
		t.Errorf("beyond the limit: %v", err)
	}
	<-conns
}

// A backend with a hanging address and a good one is one backend: the first connection comes up well within
// the time, the next ones go to the good address at once, and no connection is left at any other.
func TestPool_OneBackendWithSeveralAddresses(t *testing.T) {
	good, conns := listen(t, "")
	refusing := testutil.FreeAddress(t)
	p := New(Options{MaxConnections: 4, ConnectTimeout: 500 * time.Millisecond, IdleTimeout: time.Second})
	addresses := []netip.AddrPort{netip.MustParseAddrPort(refusing), netip.MustParseAddrPort(good)}
	p.SetAddresses(1, addresses)
	c := idleConn(t, p, 1)
	if got := c.socket.RemoteAddr().String(); got != good {
		t.Fatal(got)
	}
	defer runtime.KeepAlive(<-conns) // a collected connection would be closed, and the pool would drop c
	if first := p.endpoints[1].addresses[0]; first != addresses[1] || len(p.endpoints[1].addresses) != 2 {
		t.Errorf("%v is first next time, in %v", first, p.endpoints[1].addresses)
	}
	p.SetAddresses(1, addresses) // the same again: its idle connection stays
	if again, _, err := p.acquire(1); err != nil || again != c {
		t.Error("another connection: ", err)
	}
	select {
	case <-conns:
		t.Error("a second connection to one backend")
	case <-time.After(50 * time.Millisecond):
	}
	p.SetAddresses(1, addresses[:1]) // elsewhere now
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.connections != 1 || p.endpoints[1].addresses[0] != addresses[0] {
		t.Error("the old addresses stand")
	}
}

// readPing returns the next connection, on which a ping has been written.
func readPing(t *testing.T, conns chan net.Conn) net.Conn {
	t.Helper()
	conn := <-conns
	if _, err := io.ReadFull(conn, make([]byte, len(ping))); err != nil {
		t.Fatal(err)
	}
	return conn
}

// Close returns once the readers of idle connections have ended.
func TestPool_CloseEndsIdleConnections(t *testing.T) {
	p := newPool()
	address, _ := listen(t, "")
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
		case <-c.readEnded:
		default:
			t.Errorf("the reader of connection %d runs on", n)
		}
	}
	if p.connections != 0 {
		t.Errorf("%d connections are open", p.connections)
	}
}

// Close ends health checks, which have no outcome then, and leaves the attempt in flight to its answer; its
// connection ends with it.
func TestPool_CloseLeavesAttemptsInFlight(t *testing.T) {
	p, outcome := newHealthCheckPool(10, time.Minute) // no health check ends by itself
	address, conns := listen(t, "")
	p.SetAddress(1, address)
	request := submit(t)
	p.Send(request.NextStep().Attempt, [][]byte{[]byte(ping)})
	remote := readPing(t, conns)
	p.CheckHealth(1)
	readPing(t, conns)
	p.Close()
	p.SetAddress(1, address)
	p.CheckHealth(1)
	if _, _, err := p.acquire(1); !errors.Is(err, errNoAddress) || len(outcome) > 0 {
		t.Errorf("after Close: %v, %d health checks", err, len(outcome))
	}
	if _, err := remote.Write([]byte("*1\r\n$2\r\nok\r\n")); err != nil {
		t.Fatal(err)
	}
	if step := request.NextStep(); step.Action != dispatch.Respond {
		t.Errorf("the attempt in flight ended as %+v", step)
	}
	testutil.Eventually(t, "all connections end", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.connections == 0
	})
	p.Close()
}

// A connection that is coming up when the pool is closed is not waited for, and none is opened after it.
func TestPool_CloseEndsDials(t *testing.T) {
	p := newPool()
	address, _ := listen(t, "")
	several := []netip.AddrPort{netip.MustParseAddrPort(address), netip.MustParseAddrPort(address)}
	p.cancel() // the first step of Close
	for _, e := range []*endpoint{{key: address}, {addresses: several}} {
		if _, err := p.connect(e); !errors.Is(err, context.Canceled) {
			t.Errorf("%+v: %v", e, err)
		}
	}
	p.Close()
	if _, err := p.connect(&endpoint{key: address}); !errors.Is(err, net.ErrClosed) {
		t.Errorf("after Close: %v", err)
	}
}
