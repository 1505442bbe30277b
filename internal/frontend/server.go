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
)

// logComponent names this package in the log.
const logComponent = "frontend"

const (
	// clientDescriptorShare divides the descriptors of the process into the part that validated connections
	// may hold before idle ones are evicted for new ones. Clients hold at most a third of the descriptors.
	// Where they leave connections open and open a new one for each request, none could come once they are
	// that many: half of the third stays free for new ones. The cost: where more are kept open that would
	// each have been used again, they are opened anew.
	clientDescriptorShare = 6
	// writeTimeoutMargin is how much longer than the longest deadline of a class a client may take to take in
	// a response: longer than it may wait for one.
	writeTimeoutMargin = time.Second
)

// UsageRecorder knows the plans that tenants have moved to, and records what is used. Its methods are called
// concurrently.
type UsageRecorder interface {
	// TenantPlan returns the plan that the tenant's requests are admitted under now; false: the one that they
	// name.
	TenantPlan(tenant string) (plan string, ok bool)
	// RecordUsage records a request that was received at a moment under a plan, and succeeded.
	RecordUsage(tenant, plan string, receivedAt time.Time, units float64)
}

// Options configures a Server. Dispatcher, Pool, Config and MaxConnections are required.
type Options struct {
	Dispatcher *dispatch.Dispatcher
	Pool       *backend.Pool
	Config     *config.Config
	// MaxConnections bounds the client connections that are open at once.
	MaxConnections int
	// Metrics counts requests received, open and answered. Nil counts nothing.
	Metrics *metrics.Registry
	// Budget bounds the memory of large commands, beside the budget for large responses. Nil bounds nothing.
	Budget *membudget.Budget
	// Usage supplies plans of tenants and records usage. Nil: the plan is the one that the request names, and
	// no usage is recorded.
	Usage UsageRecorder
}

// Server serves clients.
type Server struct {
	dispatcher *dispatch.Dispatcher
	pool       *backend.Pool
	metrics    *metrics.Registry
	budget     *membudget.Budget
	usage      UsageRecorder

	config            atomic.Pointer[config.Config] // the names of classes and plans change at a reload
	maxConnections    int
	evictionThreshold int           // so many validated connections: idle ones are evicted for new ones
	writeTimeout      time.Duration // of one piece of a response

	serving            atomic.Bool
	closing            atomic.Bool  // Close was called
	drainingSinceNanos atomic.Int64 // Unix time at which the drain began; 0: not draining
	capacityWanted     atomic.Bool  // addConnection waits for a connection to end or to become idle

	mu            sync.Mutex
	connections   map[*connection]struct{}
	requestIDs    map[string]struct{} // of the open requests
	capacityFreed *sync.Cond          // a connection has ended, or may have become idle
}

// New returns a server that is not serving yet. It starts nothing and holds nothing that would have to be
// freed.
func New(options Options) *Server {
	s := &Server{
		dispatcher: options.Dispatcher, pool: options.Pool,
		metrics: options.Metrics, budget: options.Budget, usage: options.Usage,
		maxConnections: options.MaxConnections,
		connections:    map[*connection]struct{}{}, requestIDs: map[string]struct{}{},
	}
	s.evictionThreshold = min(max(options.Config.MaxSockets/clientDescriptorShare, 1), options.MaxConnections)
	s.writeTimeout = writeTimeoutMargin
	for _, class := range options.Config.Settings.Classes {
		s.writeTimeout = max(s.writeTimeout, time.Duration(class.Deadline)+writeTimeoutMargin)
	}
	s.capacityFreed = sync.NewCond(&s.mu)
	s.config.Store(options.Config)
	return s
}

// UpdateSettings replaces the names of classes and plans by those of a configuration that was read anew:
// requests from now on are parsed by them, open ones keep what they were submitted under.
func (s *Server) UpdateSettings(updated *config.Config) { s.config.Store(updated) }

// Serve accepts connections until the listener is closed or its deadline has passed, and returns nil then.
// Connections that are open at that moment are served on, and swept, until each has ended.
func (s *Server) Serve(listener net.Listener) error {
	acceptEnded := make(chan struct{})
	defer close(acceptEnded)
	go s.sweepConnections(acceptEnded)
	s.serving.Store(true)
	defer s.serving.Store(false)
	return s.accept(listener)
}

// Serving reports whether Serve accepts connections. While it does, one may have been accepted that
// Connections does not count yet.
func (s *Server) Serving() bool { return s.serving.Load() }

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.connections)
}

// claimRequestID notes the id of a request that is about to be submitted; false says that one with it is
// open.
func (s *Server) claimRequestID(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, inUse := s.requestIDs[id]
	s.requestIDs[id] = struct{}{}
	return !inUse
}

func (s *Server) releaseRequestID(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.requestIDs, id)
}
