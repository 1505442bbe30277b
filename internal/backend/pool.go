package backend

import (
	"context"
	"errors"
	"fmt"
	"net"
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

// logComponent names this package in the log.
const logComponent = "backend"

// minIdle is how long a connection must be idle before it is used again. According to the operators, a second
// response to one attempt may arrive some milliseconds late; the next attempt on that connection would take it
// for its own response.
const minIdle = 10 * time.Millisecond

var (
	errNoDescriptor = errors.New("no descriptor left")
	errNoAddress    = errors.New("no address known")
)

// Options configures a Pool.
type Options struct {
	// MaxConnections bounds the total number of connections to all backends, including those of health checks.
	// If it is 0, no connection is opened.
	MaxConnections int
	// ConnectTimeout bounds the time to establish a connection, and the time of a whole health check. It must
	// be above 0: with 0, a connection to a backend with a single address has no bound, and every other
	// connection and every health check fails.
	ConnectTimeout time.Duration
	// IdleTimeout is the time after which backends close an idle connection. The pool closes it after half that
	// time, so that no attempt uses a connection that is being closed. If it is 0, no connection is reused.
	IdleTimeout time.Duration
	// Budget bounds the memory for large responses over all connections. Nil means no bound.
	Budget *membudget.Budget
	// Metrics counts the attempts that were written completely. Nil counts none.
	Metrics *metrics.Registry
	// HandleHealthCheck is called with the outcome of each health check, on the goroutine of that check. It may
	// be nil only if CheckHealth is never called.
	HandleHealthCheck func(backend policy.BackendID, err error)
}

// Pool holds the connections to all backends. Its methods are safe for concurrent use.
type Pool struct {
	connectTimeout    time.Duration
	maxIdle           time.Duration // connections that have been idle longer are closed
	maxConnections    int
	handleHealthCheck func(backend policy.BackendID, err error)
	budget            *membudget.Budget
	metrics           *metrics.Registry
	ctx               context.Context // canceled by Close; every dial and health check uses it
	cancel            context.CancelFunc
	running           sync.WaitGroup // dials and health checks

	mu          sync.Mutex // guards all fields below, and the state of every connection
	endpoints   map[policy.BackendID]*endpoint
	connections int // open or being opened, including those of health checks
	idleStats   idleStats
	closed      bool // no backend has an address any more, and nothing is dialed
}

// endpoint is where one backend listens, with its idle connections. A backend that moves gets a new endpoint.
type endpoint struct {
	address string // for a backend with several addresses, all of them as text
	// addresses lists the addresses of a backend that has several, in the order to try them. The address that
	// last accepted a connection comes first, so that an address that hangs costs its part of the connect
	// timeout only once and not for each connection.
	addresses []netip.AddrPort
	idle      []*conn // the most recently used is last
	removed   bool    // its backend has moved or is gone
}

// New returns a pool without connections.
func New(options Options) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	return &Pool{
		ctx:               ctx,
		cancel:            cancel,
		connectTimeout:    options.ConnectTimeout,
		maxIdle:           options.IdleTimeout / 2,
		maxConnections:    options.MaxConnections,
		handleHealthCheck: options.HandleHealthCheck,
		budget:            options.Budget,
		metrics:           options.Metrics,
		endpoints:         map[policy.BackendID]*endpoint{},
	}
}

// Close forgets all backends, cancels dials and health checks, and closes idle connections. It returns when
// their goroutines have ended. From then on no backend gets an address, so no attempt is sent and no health
// check is made; a health check that is canceled has no outcome. Close does not wait for any backend. It must
// not be called with a lock held that Attempt.Report or Options.HandleHealthCheck takes.
//
// Attempts already sent continue, and their connections end with them. Close does not wait for these, and the
// process that ends next would lose their responses, so it is called after every client has been answered.
func (p *Pool) Close() {
	for _, idle := range p.stop() {
		<-idle.readEnded
	}
	p.running.Wait()
}

// stop forgets all backends and cancels dials and health checks. It returns the connections that were idle,
// which it closes.
func (p *Pool) stop() []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.cancel()
	var idle []*conn
	for backend, e := range p.endpoints {
		idle = append(idle, e.idle...)
		p.remove(backend)
	}
	return idle
}

// addRunning adds a dial or a health check to running, for which Close waits, and reports whether it did: a
// closed pool begins none.
func (p *Pool) addRunning() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.running.Add(1)
	return true
}

// SetAddress sets the address where a backend listens. Idle connections to another address are closed.
func (p *Pool) SetAddress(backend policy.BackendID, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.replace(backend, &endpoint{address: address})
}

// SetAddresses sets the addresses of a backend that listens at several. It remains one backend: a connection
// goes to the first address that accepts it. Idle connections to other addresses are closed.
func (p *Pool) SetAddresses(backend policy.BackendID, addresses []netip.AddrPort) {
	order := dialer.Order(addresses, dialer.Reachable) // looks up the host's routes: not with the lock held
	p.mu.Lock()
	defer p.mu.Unlock()
	p.replace(backend, &endpoint{address: fmt.Sprint(addresses), addresses: order})
}

// Forget removes a backend that is gone. Attempts already sent to it continue.
func (p *Pool) Forget(backend policy.BackendID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.remove(backend)
}

// replace replaces a backend's endpoint, unless the old one has the same address or the pool is closed. The
// caller holds the lock.
func (p *Pool) replace(backend policy.BackendID, replacement *endpoint) {
	if p.closed {
		return
	}
	if old := p.endpoints[backend]; old != nil && old.address == replacement.address {
		return
	}
	p.remove(backend)
	p.endpoints[backend] = replacement
}

// remove deletes a backend's endpoint and closes its idle connections. The caller holds the lock.
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

// acquire returns an idle connection of a backend. If the connection is nil, the caller must dial the
// returned endpoint; the new connection is already reserved.
func (p *Pool) acquire(backend policy.BackendID) (*conn, *endpoint, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	target := p.endpoints[backend]
	if target == nil {
		return nil, nil, errNoAddress
	}
	if c := p.takeIdle(target); c != nil {
		return c, target, nil
	}
	return nil, target, p.reserve()
}

// takeIdle returns the most recently used of an endpoint's usable idle connections, or nil. It closes those
// that will never be usable again. The caller holds the lock.
func (p *Pool) takeIdle(target *endpoint) *conn {
	now := time.Now()
	for len(target.idle) > 0 && now.Sub(target.idle[0].lastUsed) > p.maxIdle {
		target.idle[0].close()
	}
	for i := len(target.idle) - 1; i >= 0; i-- {
		c := target.idle[i]
		idle := now.Sub(c.lastUsed)
		if idle < minIdle {
			continue
		}
		// The next attempt must not run into anything that the reader has not handled yet, such as stray bytes or
		// the connection's end.
		if c.socket.IsConsumed() && !p.idleStats.isStale(now, idle) {
			target.idle = slices.Delete(target.idle, i, i+1)
			c.state = stateReserved
			c.idleBefore = idle
			return c
		}
		c.close()
	}
	return nil
}

// reserve counts a connection that is about to be opened. If the maximum is reached, it closes the connection
// that has been idle longest. The caller holds the lock.
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

// longestIdle returns the connection that has been idle longest, any of them on a tie, or nil if none is
// idle. The caller holds the lock.
func (p *Pool) longestIdle() *conn {
	var oldest *conn
	for _, e := range p.endpoints {
		if len(e.idle) > 0 && (oldest == nil || e.idle[0].lastUsed.Before(oldest.lastUsed)) {
			oldest = e.idle[0]
		}
	}
	return oldest
}

// releaseReservation undoes reserve, for a connection that was never established or that is closed again.
func (p *Pool) releaseReservation() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connections--
}

// Send sends an attempt. command holds the parts of its command, which must not change until the attempt has
// ended. Send does not wait for a connection or a response; the result is reported with Attempt.Report.
func (p *Pool) Send(attempt *dispatch.Attempt, command [][]byte) {
	c, target, err := p.acquire(attempt.Backend)
	if err != nil {
		reportNotConnected(attempt, err)
		return
	}
	if c == nil {
		go p.dialAndWrite(target, attempt, command)
		return
	}
	c.write(attempt, command)
}

// dialAndWrite opens the connection that acquire reserved and writes the attempt to it.
func (p *Pool) dialAndWrite(target *endpoint, attempt *dispatch.Attempt, command [][]byte) {
	defer recoverPanic()
	c, err := p.dial(target)
	if err != nil {
		reportNotConnected(attempt, err)
		return
	}
	c.write(attempt, command)
}

// reportNotConnected ends an attempt of which no byte has been written.
func reportNotConnected(attempt *dispatch.Attempt, err error) {
	attempt.Report(nil, 0, &dispatch.NetworkError{Progress: dispatch.Dialing, Err: err})
}

// dial opens the connection that acquire reserved and starts its reader.
func (p *Pool) dial(target *endpoint) (*conn, error) {
	socket, err := p.connect(target)
	if err != nil {
		p.releaseReservation()
		return nil, err
	}
	c := &conn{
		pool:       p,
		endpoint:   target,
		socket:     socket,
		idleBefore: noIdleTime,
		readEnded:  make(chan struct{}),
	}
	go c.read()
	return c, nil
}

// connect opens a connection to one of an endpoint's addresses.
func (p *Pool) connect(target *endpoint) (*sock.Conn, error) {
	if !p.addRunning() {
		return nil, net.ErrClosed
	}
	defer p.running.Done()
	p.mu.Lock()
	order := target.addresses
	p.mu.Unlock()
	if len(order) == 0 {
		return sock.Dial(p.ctx, target.address, p.connectTimeout)
	}
	socket, accepted, err := sock.DialAny(p.ctx, order, p.connectTimeout)
	if err == nil && accepted > 0 {
		p.mu.Lock()
		// Use a new slice, since another dial may be iterating over the old one.
		target.addresses = slices.Concat(order[accepted:accepted+1], order[:accepted], order[accepted+1:])
		p.mu.Unlock()
	}
	return socket, err
}

// recoverPanic is deferred by every goroutine of the package, so that a panic in one does not end the
// process.
func recoverPanic() {
	if cause := recover(); cause != nil {
		logging.Panicked(logComponent, cause, debug.Stack())
	}
}
