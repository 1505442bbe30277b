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
	"fawnplank/internal/sharedids"
	"fawnplank/policy"
)

// logComponent names this package in the log.
const logComponent = "frontend"

// writeTimeoutMargin is added to the longest deadline of any class to get writeTimeout, so that a client has longer to
// read a response than to wait for one.
const writeTimeoutMargin = time.Second

// Options configures a Server. Dispatcher, Pool, Config and MaxConnections are required.
type Options struct {
	Dispatcher *dispatch.Dispatcher
	Pool       *backend.Pool
	Config     *config.Config
	// MaxConnections limits how many client connections are open at once.
	MaxConnections int
	// MaxUsedIDs limits the ids of ended requests that are kept so that no request runs twice. Zero keeps none.
	MaxUsedIDs int
	// SharedIDs holds ids beside those of this process, so that no request runs at two processes. Nil shares none.
	SharedIDs *sharedids.Table
	// Metrics counts received, open and answered requests. Nil disables counting.
	Metrics *metrics.Registry
	// Budget limits the memory of large commands; the budget for large responses is separate. Nil means no limit.
	Budget *membudget.Budget
	// Usage provides the plans of tenants and records usage. If it is nil, the plan that a request names applies, and
	// no usage is recorded.
	Usage UsageRecorder
}

// Server accepts client connections and serves their commands.
type Server struct {
	dispatcher   *dispatch.Dispatcher
	pool         *backend.Pool
	metrics      *metrics.Registry
	memoryBudget *membudget.Budget
	usage        UsageRecorder

	config            atomic.Pointer[config.Config] // UpdateSettings replaces it
	maxConnections    int
	evictionThreshold int          // number of validated connections from which on idle ones are evicted
	writeTimeoutNanos atomic.Int64 // see writeTimeout

	serving                  atomic.Bool  // Serve runs, so an accepted connection may be missing in connections
	shuttingDown             atomic.Bool  // a shutdown has begun
	drain                    drainClock   // the start of the drain, if one is in progress
	connectionCapacityWanted atomic.Bool  // addConnection waits until a connection ends or becomes idle
	acceptedConnections      atomic.Int64 // connections accepted so far
	receivedRequests         atomic.Int64 // requests received so far
	forcedCloses             atomic.Int64 // connections closed by force at a drain or shutdown
	rejectedPings            atomic.Int64 // because of a drain
	rejectedRequests         atomic.Int64 // because of a drain
	listener                 atomic.Pointer[retryaccept.Listener]

	mu                      sync.Mutex
	connections             map[*connection]struct{}
	requestIDs              requestIDs
	sharedIDs               *sharedids.Table
	statsAtDrainStart       Stats      // the counts at the start of the drain
	connectionCapacityFreed *sync.Cond // signals that a connection has ended or may have become idle
}

// New returns a server that is not serving yet. It starts no goroutine and acquires no resource that has to be
// released.
func New(options Options) *Server {
	s := &Server{
		dispatcher:        options.Dispatcher,
		pool:              options.Pool,
		metrics:           options.Metrics,
		memoryBudget:      options.Budget,
		usage:             options.Usage,
		maxConnections:    options.MaxConnections,
		evictionThreshold: evictionThreshold(options.Config.MaxSockets, options.MaxConnections),
		connections:       map[*connection]struct{}{},
		requestIDs:        newRequestIDs(options.MaxUsedIDs),
		sharedIDs:         options.SharedIDs,
		drain:             newDrainClock(),
	}
	s.connectionCapacityFreed = sync.NewCond(&s.mu)
	s.UpdateSettings(options.Config)
	return s
}

// writeTimeout returns how long a client may take to read a chunk of a response, by the current configuration.
func (s *Server) writeTimeout() time.Duration { return time.Duration(s.writeTimeoutNanos.Load()) }

// writeTimeoutFor returns how long a client may take to read a chunk of a response: the longest deadline of the classes
// and writeTimeoutMargin.
func writeTimeoutFor(classes []policy.ClassSettings) time.Duration {
	timeout := writeTimeoutMargin
	for _, class := range classes {
		timeout = max(timeout, time.Duration(class.Deadline)+writeTimeoutMargin)
	}
	return timeout
}

// UpdateSettings applies a reloaded configuration. Requests are parsed by its names of classes and plans, its
// check-only classes, its maximum units of a request and its number of instances; writeTimeout is computed from its
// deadlines. Open requests keep the class and plan under which they were submitted. evictionThreshold and the limits
// from which it was computed do not change.
func (s *Server) UpdateSettings(updated *config.Config) {
	s.config.Store(updated)
	s.writeTimeoutNanos.Store(int64(writeTimeoutFor(updated.Settings.Classes)))
}

// Serve accepts connections until the listener is closed or its deadline has passed, and then returns nil. The
// listener must return TCP connections. Connections that are open when Serve returns continue to be served
// and swept until they end.
func (s *Server) Serve(listener net.Listener) error {
	acceptEnded := make(chan struct{})
	defer close(acceptEnded)
	go s.sweepConnections(acceptEnded)
	retrying := retryaccept.New(listener, logComponent)
	s.listener.Store(retrying)
	s.serving.Store(true)
	defer s.serving.Store(false)
	s.acceptConnections(retrying)
	return nil
}

// Stats holds the counts of a server since its start.
type Stats struct {
	AcceptedConnections int64 // connections accepted
	ReceivedRequests    int64 // requests received
	RejectedPings       int64 // PINGs answered with an error because of a drain
	RejectedRequests    int64 // requests rejected because of a drain
	ForcedCloses        int64 // connections closed by force at a drain or shutdown
}

// Stats returns the counts.
func (s *Server) Stats() Stats {
	return Stats{
		AcceptedConnections: s.acceptedConnections.Load(),
		ReceivedRequests:    s.receivedRequests.Load(),
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
