package backend

import (
	"context"
	"runtime/debug"
	"sync"
	"time"

	"fawnplank/internal/dispatch"
	"fawnplank/internal/logging"
	"fawnplank/internal/membudget"
	"fawnplank/internal/metrics"
	"fawnplank/policy"
)

// logComponent names this package in the log.
const logComponent = "backend"

// Options configures a Pool.
type Options struct {
	// MaxConnections bounds the total number of connections to all backends, including those of health checks.
	// If it is 0, no connection is opened.
	MaxConnections int
	// ConnectTimeout bounds the time to establish a connection, and the time of a whole health check. It must
	// be above 0: with 0, a connection to a backend with a single address has no bound, and every other
	// connection and every health check fails.
	ConnectTimeout time.Duration
	// IdleTimeout is the time after which backends close an idle connection. The pool closes idle connections after
	// half that time, so that no attempt uses a connection that is being closed. If it is 0, no connection is
	// reused.
	IdleTimeout time.Duration
	// Budget bounds the memory for large responses of all connections together. Nil means no bound.
	Budget *membudget.Budget
	// Metrics counts the attempts that were written completely. If it is nil, they are not counted.
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
	closed      bool // set by Close: no backend has an address any more, and nothing is dialed
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

// Close removes all backends, cancels dials and health checks, and closes idle connections. It returns when the
// goroutines of these have ended. From then on no backend has an address, so no attempt is sent and no health check
// is made; a canceled health check has no outcome. Close does not wait for any backend. It must not be called with a
// lock held that Attempt.Report or Options.HandleHealthCheck takes.
//
// Attempts already sent continue, and their connections end with them. Close does not wait for these, and if the
// process then ends, their responses are lost. Close is therefore called after every client has been answered.
func (p *Pool) Close() {
	for _, idle := range p.stop() {
		<-idle.readerDone
	}
	p.running.Wait()
}

// stop removes all backends, cancels dials and health checks, and closes the idle connections, which it returns.
func (p *Pool) stop() []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.cancel()
	var idle []*conn
	for backend, e := range p.endpoints {
		idle = append(idle, e.idle...)
		p.removeEndpoint(backend)
	}
	return idle
}

// addRunning adds a dial or a health check to the running ones, for which Close waits, and reports whether it did so.
// In a closed pool no dial or health check may start.
func (p *Pool) addRunning() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.running.Add(1)
	return true
}

// Command is the command of an attempt.
type Command interface {
	// Parts returns the parts of the command, which are written in order, for an attempt whose result the dispatcher
	// awaits for the remaining time. It is called when the first byte is about to be written. The parts must not change
	// until the attempt has ended.
	Parts(remaining time.Duration) [][]byte
	// Size returns the size of the command in bytes, to within the digits of the remaining time.
	Size() int
}

// maxImmediateWriteBytes is the size up to which a command is written without waiting: the send buffer of an idle
// connection is empty, and larger than this.
const maxImmediateWriteBytes = 4 << 10

// Send sends an attempt. Send waits neither for a connection nor for a response; the result is reported with
// Attempt.Report.
func (p *Pool) Send(attempt *dispatch.Attempt, command Command) {
	c, target, err := p.acquire(attempt.Backend)
	if err != nil {
		reportNotConnected(attempt, err)
		return
	}
	switch {
	case c == nil:
		go p.dialAndWrite(target, attempt, command)
	case command.Size() > maxImmediateWriteBytes:
		go func() {
			defer recoverPanic()
			c.write(attempt, command)
		}()
	default:
		c.write(attempt, command)
	}
}

// recoverPanic logs a panic. Every goroutine of the package defers it, so that a panic does not end the process.
func recoverPanic() {
	if cause := recover(); cause != nil {
		logging.LogPanic(logComponent, cause, debug.Stack())
	}
}
