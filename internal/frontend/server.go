package frontend

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"fawnplank/internal/backend"
	"fawnplank/internal/config"
	"fawnplank/internal/dispatch"
	"fawnplank/internal/membudget"
	"fawnplank/internal/metrics"
	"fawnplank/internal/retryaccept"
	"fawnplank/policy"
)

// logComponent names this package in the log.
const logComponent = "frontend"

// writeTimeoutMargin is added to the longest deadline of any class to give the time that a client may take to read a
// response: longer than it may wait for one.
const writeTimeoutMargin = time.Second

// Options configures a Server. Dispatcher, Pool, Config and MaxConnections are required.
type Options struct {
	Dispatcher *dispatch.Dispatcher
	Pool       *backend.Pool
	Config     *config.Config
	// MaxConnections bounds how many client connections are open at once.
	MaxConnections int
	// Metrics counts requests received, open and answered. Nil counts nothing.
	Metrics *metrics.Registry
	// Budget bounds the memory of large commands; the budget for large responses is separate. Nil bounds
	// nothing.
	Budget *membudget.Budget
	// Usage supplies the plans of tenants and records usage. If nil, the plan is the one that the request names,
	// and no usage is recorded.
	Usage UsageRecorder
}

// Server accepts client connections and serves their commands.
type Server struct {
	dispatcher *dispatch.Dispatcher
	pool       *backend.Pool
	metrics    *metrics.Registry
	budget     *membudget.Budget
	usage      UsageRecorder

	config            atomic.Pointer[config.Config] // UpdateSettings replaces it
	maxConnections    int
	evictionThreshold int          // at this many validated connections, idle ones are evicted for new ones
	writeTimeoutNanos atomic.Int64 // see writeTimeout

	serving          atomic.Bool  // in Serve: a connection may be accepted that connections does not hold yet
	closing          atomic.Bool  // a shutdown has begun
	drain            drainClock   // when the drain began, if one is under way
	capacityWanted   atomic.Bool  // addConnection waits for a connection to end or to become idle
	accepted         atomic.Int64 // connections accepted so far
	received         atomic.Int64 // requests received so far
	forcedCloses     atomic.Int64 // connections closed because they did not end by themselves
	rejectedPings    atomic.Int64 // because of a drain
	rejectedRequests atomic.Int64 // because of a drain
	listener         atomic.Pointer[retryaccept.Listener]

	mu            sync.Mutex
	connections   map[*connection]struct{}
	requestIDs    map[string]struct{} // of the open requests
	atDrain       Stats               // when the drain began
	capacityFreed *sync.Cond          // a connection has ended, or may have become idle
}

// New returns a server that is not serving yet. It starts no goroutine and holds nothing that must be
// released.
func New(options Options) *Server {
	s := &Server{
		dispatcher:        options.Dispatcher,
		pool:              options.Pool,
		metrics:           options.Metrics,
		budget:            options.Budget,
		usage:             options.Usage,
		maxConnections:    options.MaxConnections,
		evictionThreshold: evictionThreshold(options.Config.MaxSockets, options.MaxConnections),
		connections:       map[*connection]struct{}{},
		requestIDs:        map[string]struct{}{},
		drain:             newDrainClock(),
	}
	s.capacityFreed = sync.NewCond(&s.mu)
	s.UpdateSettings(options.Config)
	return s
}

// writeTimeout returns how long a client may take to read a piece of a response, by the configuration in force.
func (s *Server) writeTimeout() time.Duration { return time.Duration(s.writeTimeoutNanos.Load()) }

// longestWrite returns how long a client may take to read a piece of a response, by the longest deadline.
func longestWrite(classes []policy.ClassSettings) time.Duration {
	timeout := writeTimeoutMargin
	for _, class := range classes {
		timeout = max(timeout, time.Duration(class.Deadline)+writeTimeoutMargin)
	}
	return timeout
}

// UpdateSettings replaces what requests are parsed with by that of a reloaded configuration: the names of classes and
// plans, which classes are only for checks, the most units of a request, and the number of instances; and writeTimeout.
// Open requests keep the class and plan under which they were submitted. evictionThreshold stays, as do the limits that
// it follows from.
func (s *Server) UpdateSettings(updated *config.Config) {
	s.config.Store(updated)
	s.writeTimeoutNanos.Store(int64(longestWrite(updated.Settings.Classes)))
}

// Serve accepts connections until the listener is closed or its deadline has passed, then returns nil. The
// listener must return TCP connections. Connections that are open when Serve returns continue to be served
// and swept until each has ended.
func (s *Server) Serve(listener net.Listener) error {
	acceptEnded := make(chan struct{})
	defer close(acceptEnded)
	go s.sweepConnections(acceptEnded)
	retrying := retryaccept.New(listener, logComponent)
	s.listener.Store(retrying)
	s.serving.Store(true)
	defer s.serving.Store(false)
	s.accept(retrying)
	return nil
}

// Stats are counts of a server since its start.
type Stats struct {
	AcceptedConnections int64 // connections accepted
	ReceivedRequests    int64 // requests received
	RejectedPings       int64 // PINGs answered with an error because of a drain
	RejectedRequests    int64 // requests rejected because of a drain
	ForcedCloses        int64 // connections that did not end by themselves at a drain or shutdown
}

// Stats returns the counts.
func (s *Server) Stats() Stats {
	return Stats{
		AcceptedConnections: s.accepted.Load(),
		ReceivedRequests:    s.received.Load(),
		RejectedPings:       s.rejectedPings.Load(),
		RejectedRequests:    s.rejectedRequests.Load(),
		ForcedCloses:        s.forcedCloses.Load(),
	}
}

// OpenConnections returns the number of open connections.
func (s *Server) OpenConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.connections)
}
