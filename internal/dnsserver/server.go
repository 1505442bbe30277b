// Package dnsserver is the gateway's own name server for the zone that holds its backends. It reads the zone
// file, accepts dynamic updates (RFC 2136) signed with TSIG (RFC 8945), stores the current zone in a journal or
// in the replicated store, answers queries, notifies secondaries (RFC 1996) and transfers the zone to them
// (RFC 5936, 1995).
//
// The package owns the journal, the sockets and the current zone; it only reads the zone file. Package dnszone
// evaluates updates and applies changes to a zone. The methods of Server and the functions of the package are safe for
// concurrent use. If several processes use one journal, only one of them writes it at a time.
package dnsserver

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/miekg/dns"

	"fawnplank/internal/dnszone"
	"fawnplank/internal/logging"
)

// component is the value of the component field in log entries.
const component = "dns"

// Server is the name server. It owns the goroutines for its startup, its listeners and its notifications.
type Server struct {
	options Options
	keys    keyring

	mu            sync.Mutex // guards the fields up to address
	zone          *dnszone.Zone
	fileSum       string            // checksum of the last adopted zone file
	changes       []*dnszone.Change // latest changes in order, for IXFR; may begin before the stored snapshot
	journal       *journal          // nil if no journal is used, or another process has locked it
	replayGuard   *dnszone.ReplayGuard
	serialChanged []chan struct{} // one for each secondary
	pendingFile   *zoneFile       // a zone file that the store has not accepted yet; see retryAdoption
	retryingFile  bool            // whether adoptPendingFile runs
	closed        bool
	listeners     []*dns.Server
	address       string

	// publishedZone is the current zone for readers that must not wait for an update in progress, such as queries.
	publishedZone      atomic.Pointer[dnszone.Zone]
	inFlight           chan struct{} // a token for each message being handled
	messageRateLimiter *messageLimiter
	refusalLogLimiter  logLimiter
	counters           counters

	closing            chan struct{} // closed by Close
	closeOnce          sync.Once
	startupGoroutine   sync.WaitGroup // the goroutines that wait for the journal or the store
	listenerGoroutines sync.WaitGroup // the goroutines started by serve
}

// Start reads the zone, publishes the list of backends, and listens. An invalid zone file is an error only if neither
// the journal nor the store contains a zone. If another process has locked the journal, or the store has no leader yet,
// Start returns a server that retries in the background. Close stops the server.
func Start(options Options) (*Server, error) {
	settings, err := options.Settings.Canonical()
	if err != nil {
		return nil, err
	}
	options.Settings = settings
	nowNanos := time.Now().UnixNano()
	s := newServer(options, nowNanos)
	state, err := s.start(nowNanos)
	if err != nil {
		s.Close()
		return nil, err
	}
	switch state {
	case startWaitsForStore:
		s.startupGoroutine.Go(s.awaitStore)
	case startWaitsForJournal:
		logging.For(component).WithError(errJournalLocked).Info("journal locked by another process")
		s.startupGoroutine.Go(s.awaitJournal)
	case startComplete:
	}
	return s, nil
}

func newServer(options Options, nowNanos int64) *Server {
	return &Server{
		options:            options,
		keys:               newKeyring(options.Keys),
		replayGuard:        dnszone.NewReplayGuard(options.MaxUpdatesPerSecond, nowNanos),
		inFlight:           make(chan struct{}, maxConcurrent),
		messageRateLimiter: newMessageLimiter(options.MaxUpdatesPerSecond),
		closing:            make(chan struct{}),
	}
}

// Close stops listening and unlocks the journal. It waits for the startup and listener goroutines, but not for the
// notification goroutines. It may be called on a nil Server, and more than once.
func (s *Server) Close() {
	if s == nil {
		return
	}
	s.closeOnce.Do(func() {
		close(s.closing)
		s.mu.Lock()
		s.closed = true // no goroutine is added to startupGoroutine from here on
		s.mu.Unlock()
		s.startupGoroutine.Wait() // a startup goroutine may be about to listen
		s.mu.Lock()
		listeners := s.listeners
		s.mu.Unlock()
		for _, listener := range listeners {
			shutDown(listener)
		}
		s.listenerGoroutines.Wait()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.journal.close()
		s.journal = nil
	})
}

// pause waits for a duration. It returns false immediately if the server is closed in the meantime.
func (s *Server) pause(duration time.Duration) bool {
	select {
	case <-s.closing:
		return false
	case <-time.After(duration):
		return true
	}
}

// Serial returns the serial of the current zone, or 0 while no zone is loaded. It does not wait for an update in
// progress.
func (s *Server) Serial() uint32 {
	if zone := s.publishedZone.Load(); zone != nil {
		return zone.Serial()
	}
	return 0
}

// Address returns the address on which the server listens, or "" while it does not listen.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}
