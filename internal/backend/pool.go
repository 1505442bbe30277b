package backend

import (
	"errors"
	"fmt"
	"net/netip"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"fawnplank/internal/dialer"
	"fawnplank/internal/dispatch"
	"fawnplank/internal/logging"
	"fawnplank/internal/membudget"
	"fawnplank/internal/metrics"
	"fawnplank/internal/sock"
	"fawnplank/policy"
)

// minIdle is how long a connection has to be idle before it is used again. A second answer to one attempt may
// come some milliseconds late, as the operators say, and the next attempt on that connection would take it
// for its own.
const minIdle = 10 * time.Millisecond

var (
	errNoDescriptor = errors.New("no descriptor left")
	errNoAddress    = errors.New("no address known")
)

// Options are what a Pool is made of.
type Options struct {
	// MaxConnections bounds the connections to all backends together, health checks among them. At 0 none
	// comes up.
	MaxConnections int
	// ConnectTimeout bounds how long a connection takes to come up, and a whole health check. 0 is no bound
	// on the connection, and fails every health check.
	ConnectTimeout time.Duration
	// IdleTimeout is the time after which backends close an idle connection. The pool closes it at half of
	// that, so that no attempt meets a connection that is being closed. At 0 no connection is used again.
	IdleTimeout time.Duration
	// Budget bounds the memory of large answers over all connections; nil is no bound.
	Budget *membudget.Budget
	// Metrics counts the attempts that were written whole; nil counts none.
	Metrics *metrics.Registry
	// HandleHealthCheck gets the outcome of each health check, on a goroutine of its own; nil only where
	// CheckHealth is never called.
	HandleHealthCheck func(backend policy.BackendID, err error)
}

// Pool holds the connections to all backends. Its methods may be called concurrently.
type Pool struct {
	connectTimeout    time.Duration
	maxIdle           time.Duration // a connection idle for longer is closed
	maxConnections    int
	handleHealthCheck func(backend policy.BackendID, err error)
	budget            *membudget.Budget
	metrics           *metrics.Registry

	mu          sync.Mutex // guards all that follows, and the state of every connection
	endpoints   map[policy.BackendID]*endpoint
	connections int // open or being opened, health checks among them
	idleStats   idleStats
}

// endpoint is where one backend listens, with its idle connections. A backend that moves gets a new one.
type endpoint struct {
	address string // or, of a backend with several addresses, all of them as text
	// addresses are those of a backend that has several, in the order to try them. The one that came up last
	// is first, so that one that hangs costs its part of the connect timeout once and not at each connection.
	addresses []netip.AddrPort
	idle      []*conn // the one used last is last
	removed   bool    // its backend has moved or is gone
}

// New makes a pool without connections.
func New(options Options) *Pool {
	return &Pool{
		connectTimeout:    options.ConnectTimeout,
		maxIdle:           options.IdleTimeout / 2,
		maxConnections:    options.MaxConnections,
		handleHealthCheck: options.HandleHealthCheck,
		budget:            options.Budget,
		metrics:           options.Metrics,
		endpoints:         map[policy.BackendID]*endpoint{},
	}
}

// SetAddress sets where a backend listens. Idle connections to another address are closed.
func (p *Pool) SetAddress(backend policy.BackendID, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.replace(backend, &endpoint{address: address})
}

// SetAddresses sets where a backend listens that has several addresses. It is one backend still: a connection
// goes to the first address that comes up. Idle connections to other addresses are closed.
func (p *Pool) SetAddresses(backend policy.BackendID, addresses []netip.AddrPort) {
	order := dialer.Order(addresses, dialer.Reachable) // it looks at the host's routes: not under the lock
	p.mu.Lock()
	defer p.mu.Unlock()
	p.replace(backend, &endpoint{address: fmt.Sprint(addresses), addresses: order})
}

// Forget removes a backend that is gone. Attempts that are out there stay out.
func (p *Pool) Forget(backend policy.BackendID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.remove(backend)
}

// replace puts a backend's endpoint in the place of the one before, unless that has the same address. The
// lock is held.
func (p *Pool) replace(backend policy.BackendID, e *endpoint) {
	if old := p.endpoints[backend]; old != nil && old.address == e.address {
		return
	}
	p.remove(backend)
	p.endpoints[backend] = e
}

// remove drops a backend's endpoint and closes its idle connections. The lock is held.
func (p *Pool) remove(backend policy.BackendID) {
	e := p.endpoints[backend]
	if e == nil {
		return
	}
	e.removed = true
	for len(e.idle) > 0 {
		e.idle[0].close()
	}
	delete(p.endpoints, backend)
}

// acquire returns an idle connection of a backend; or, where the connection is nil, the endpoint to dial,
// with a reservation for the new connection.
func (p *Pool) acquire(backend policy.BackendID) (*conn, *endpoint, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.endpoints[backend]
	if e == nil {
		return nil, nil, errNoAddress
	}
	if c := p.takeIdle(e); c != nil {
		return c, e, nil
	}
	return nil, e, p.reserve()
}

// takeIdle returns the connection to an endpoint that was used last among those fit for use, or nil. It
// closes those that will not be fit any more. The lock is held.
func (p *Pool) takeIdle(e *endpoint) *conn {
	now := time.Now()
	for len(e.idle) > 0 && now.Sub(e.idle[0].lastUsed) > p.maxIdle {
		e.idle[0].close()
	}
	for n := len(e.idle) - 1; n >= 0; n-- {
		c := e.idle[n]
		idle := now.Sub(c.lastUsed)
		if idle < minIdle {
			continue
		}
		// What the reader has not dealt with yet, stray bytes or the connection's end, must not meet the next
		// attempt.
		if c.nc.IsConsumed() && !p.idleStats.isStale(now, idle) {
			e.idle = slices.Delete(e.idle, n, n+1)
			c.state = stateReserved
			c.idleBefore = idle
			return c
		}
		c.close()
	}
	return nil
}

// reserve counts a connection that is to be opened. Where there are as many as may be, the one that has been
// idle for the longest is closed. The lock is held.
func (p *Pool) reserve() error {
	if p.connections >= p.maxConnections {
		oldest := p.longestIdle()
		if oldest == nil {
			return errNoDescriptor
		}
		oldest.close()
	}
	p.connections++
	return nil
}

// longestIdle returns the connection that has been idle for the longest, of two for as long either; nil where
// none is idle. The lock is held.
func (p *Pool) longestIdle() *conn {
	var oldest *conn
	for _, e := range p.endpoints {
		if len(e.idle) > 0 && (oldest == nil || e.idle[0].lastUsed.Before(oldest.lastUsed)) {
			oldest = e.idle[0]
		}
	}
	return oldest
}

// releaseReservation gives up what reserve counted, for a connection that never came up or is closed again.
func (p *Pool) releaseReservation() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connections--
}

// Send sends an attempt: the parts of a command, which must not change until the attempt has ended. It does
// not wait for a connection or an answer; the attempt reports how it ended.
func (p *Pool) Send(attempt *dispatch.Attempt, command [][]byte) {
	c, e, err := p.acquire(attempt.Backend)
	if err != nil {
		reportNotConnected(attempt, err)
		return
	}
	if c == nil {
		go p.dialAndWrite(e, attempt, command)
		return
	}
	c.write(attempt, command)
}

// dialAndWrite opens the connection that acquire reserved and writes the attempt to it.
func (p *Pool) dialAndWrite(e *endpoint, attempt *dispatch.Attempt, command [][]byte) {
	defer stopPanic()
	c, err := p.dial(e)
	if err != nil {
		reportNotConnected(attempt, err)
		return
	}
	c.write(attempt, command)
}

// reportNotConnected ends an attempt of which no byte was written.
func reportNotConnected(attempt *dispatch.Attempt, err error) {
	attempt.Report(nil, 0, &dispatch.NetworkError{Progress: dispatch.Dialing, Err: err})
}

// dial opens the connection that acquire reserved and starts its reader.
func (p *Pool) dial(e *endpoint) (*conn, error) {
	nc, err := p.connect(e)
	if err != nil {
		p.releaseReservation()
		return nil, err
	}
	c := &conn{pool: p, endpoint: e, nc: nc, idleBefore: neverIdle}
	go c.read()
	return c, nil
}

// connect opens a connection to an endpoint, at one of its addresses.
func (p *Pool) connect(e *endpoint) (*sock.Conn, error) {
	p.mu.Lock()
	order := e.addresses
	p.mu.Unlock()
	if len(order) == 0 {
		return sock.Dial(e.address, p.connectTimeout)
	}
	nc, n, err := sock.DialAny(order, p.connectTimeout)
	if err == nil && n > 0 {
		p.mu.Lock()
		// A new slice: another dial may be going through the old one.
		e.addresses = append([]netip.AddrPort{order[n]}, slices.Concat(order[:n], order[n+1:])...)
		p.mu.Unlock()
	}
	return nc, err
}

// stopPanic is deferred by every goroutine of the package: a fault in one must not end the process.
func stopPanic() {
	if cause := recover(); cause != nil {
		logging.Panicked("backend", cause, debug.Stack())
	}
}
