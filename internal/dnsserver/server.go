// Package dnsserver is the gateway's own name server for the zone that holds its backends. It reads the zone
// file, accepts dynamic updates (RFC 2136) signed with TSIG (RFC 8945), keeps the zone in force in a journal
// or in the replicated store, answers queries, notifies secondaries (RFC 1996) and transfers the zone to them
// (RFC 5936, 1995).
//
// It owns the zone file, the journal and the sockets. Package dnszone determines what a message means for the
// zone. The methods of Server are safe for concurrent use.
package dnsserver

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/miekg/dns"
	"golang.org/x/net/netutil"

	"fawnplank/internal/dnszone"
	"fawnplank/internal/logging"
	"fawnplank/internal/retryaccept"
)

// Options configures a server. Settings, ZoneFile and Publish are required.
type Options struct {
	Settings            dnszone.Settings
	ZoneFile            string
	JournalFile         string // keeps the zone in force; if empty, updates are refused
	ListenAddress       string // UDP and TCP; if empty, the server does not listen
	Keys                []Key  // keys that may update and transfer the zone
	MaxUpdatesPerSecond float64
	Secondaries         []string // addresses that are notified of changes
	// Replicated, if set, replaces the journal. Updates are then applied in all replicas or in none.
	Replicated *ReplicatedZone
	// Publish receives every change to the list of backends. It is called once at a time, and before the update
	// that made the change is answered.
	Publish func(update ListUpdate)
}

// ListUpdate is a change to the list of backends.
type ListUpdate struct {
	Updated []dnszone.Backend // new or changed
	Removed []string          // by name
	Full    bool              // Updated is the whole list
}

const (
	// maxConcurrent bounds the TCP connections, and the messages handled at once. There are few updaters and
	// secondaries.
	maxConcurrent = 64
	// maxUDPMessageBytes is the size of the largest message read over UDP.
	maxUDPMessageBytes = 4096
	// maxQueriesPerConnection is the number of queries after which a TCP connection is closed.
	maxQueriesPerConnection = 1024
	// retryInterval is the time between two attempts to take over the journal of a process that is ending, or to
	// reach the store.
	retryInterval = 200 * time.Millisecond
	// component is the value of the component field in log entries.
	component = "dns"
)

// Server is the name server.
type Server struct {
	options Options
	keys    keyring

	mu          sync.Mutex // guards the fields up to published
	zone        *dnszone.Zone
	fileSum     string            // of the text of the zone file that was adopted last
	changes     []*dnszone.Change // the latest ones in order, for IXFR; may begin before the stored snapshot
	journal     *journal
	guard       *dnszone.ReplayGuard
	serialMoved []chan struct{} // one for each secondary
	listeners   []*dns.Server
	address     string

	// published is the zone in force for queries, which do not wait for an update in progress.
	published atomic.Pointer[dnszone.Zone]
	inFlight  chan struct{} // a token for each message being handled
	messages  *messageLimiter
	refusals  logLimiter
	counters  counters

	stop       chan struct{}
	closeOnce  sync.Once
	startup    sync.WaitGroup // the goroutine that waits for the journal or the store
	background sync.WaitGroup // the goroutines that serve
}

// Start reads the zone, publishes the list, and listens. A faulty zone file is an error only if neither the
// journal nor the store has a zone to continue with. If another process has the journal, or the store has no
// leader yet, Start returns a server that keeps trying.
func Start(options Options) (*Server, error) {
	settings, err := options.Settings.Canonical()
	if err != nil {
		return nil, err
	}
	options.Settings = settings
	nowNanos := time.Now().UnixNano()
	s := &Server{
		options:  options,
		keys:     newKeyring(options.Keys),
		guard:    dnszone.NewReplayGuard(options.MaxUpdatesPerSecond, nowNanos),
		inFlight: make(chan struct{}, maxConcurrent),
		messages: newMessageLimiter(options.MaxUpdatesPerSecond),
		stop:     make(chan struct{}),
	}
	if options.JournalFile != "" && options.Replicated == nil {
		s.journal, err = lockJournal(options.JournalFile)
	}
	journalLocked := errors.Is(err, errJournalLocked)
	if err != nil && !journalLocked {
		return nil, err
	}
	s.mu.Lock()
	err = s.load(nowNanos)
	s.mu.Unlock()
	if options.Replicated != nil && (errors.Is(err, errBehind) || errors.Is(err, errStoreUnavailable)) {
		s.startup.Go(s.awaitStore)
		return s, nil
	}
	if err != nil {
		s.Close()
		return nil, err
	}
	if journalLocked {
		logging.For(component).WithError(errJournalLocked).Info("journal of another process followed")
		s.startup.Go(s.awaitJournal)
		return s, nil
	}
	if err := s.listen(); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// awaitJournal follows another process's journal and takes it over when that process ends. During an upgrade
// both processes run.
func (s *Server) awaitJournal() {
	for {
		select {
		case <-s.stop:
			return
		case <-time.After(retryInterval):
		}
		if !s.tryJournal() {
			continue
		}
		if err := s.listen(); err != nil {
			logging.For(component).WithError(err).Error("cannot listen")
		}
		return
	}
}

// tryJournal reads the journal again, and reports whether this process now owns it.
func (s *Server) tryJournal() bool {
	journal, err := lockJournal(s.options.JournalFile)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		s.journal = journal
	}
	if err := s.load(time.Now().UnixNano()); err != nil {
		logging.For(component).WithError(err).Error("journal not readable, last good list stays")
	}
	return err == nil
}

// awaitStore waits until the store has a leader, which a first start requires.
func (s *Server) awaitStore() {
	lastError := "" // each error is logged once
	for {
		s.mu.Lock()
		err := s.load(time.Now().UnixNano())
		s.mu.Unlock()
		if err == nil {
			err = s.listen()
		}
		if err == nil {
			return
		}
		if err.Error() != lastError {
			lastError = err.Error()
			logging.For(component).WithError(err).Warn("no list yet, retrying")
		}
		select {
		case <-s.stop:
			return
		case <-time.After(retryInterval):
		}
	}
}

// openSockets listens on TCP and UDP at the same port.
func openSockets(address string) (net.Listener, net.PacketConn, error) {
	// The sockets outlive any caller's context, because Close ends them.
	ctx := context.Background()
	var config net.ListenConfig
	for {
		stream, err := config.Listen(ctx, "tcp", address)
		if err != nil {
			return nil, nil, err
		}
		packets, err := config.ListenPacket(ctx, "udp", stream.Addr().String())
		if err == nil {
			return stream, packets, nil
		}
		_ = stream.Close() // nobody has connected
		if _, port, _ := net.SplitHostPort(address); port != "0" {
			return nil, nil, err
		}
		// The system chose the port, but its UDP side belongs to another socket. Another choice will succeed.
	}
}

func (s *Server) listen() error {
	if s.options.ListenAddress == "" {
		return nil
	}
	stream, packets, err := openSockets(s.options.ListenAddress)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serve(&dns.Server{PacketConn: packets, UDPSize: maxUDPMessageBytes})
	s.serve(&dns.Server{Listener: netutil.LimitListener(retryaccept.New(stream, component), maxConcurrent)})
	s.address = packets.LocalAddr().String()
	logging.For(component).
		WithField(logging.Address, s.address).
		WithField("zone", s.options.Settings.Origin).
		Info("listening")
	for _, secondary := range s.options.Secondaries {
		moved := make(chan struct{}, 1)
		s.serialMoved = append(s.serialMoved, moved)
		// The goroutine ends within the timeout of one exchange after Close, which does not wait for it.
		go s.notify(secondary, moved)
	}
	s.signalSecondaries()
	return nil
}

// serve starts a listener. The caller holds the lock.
func (s *Server) serve(listener *dns.Server) {
	listener.Handler = s
	listener.TsigProvider = s.keys
	listener.MsgAcceptFunc = s.acceptHeader
	listener.MaxTCPQueries = maxQueriesPerConnection
	listener.MsgInvalidFunc = func([]byte, error) {}
	s.listeners = append(s.listeners, listener)
	s.background.Go(func() {
		err := listener.ActivateAndServe()
		if err == nil {
			return
		}
		select {
		case <-s.stop:
		default:
			logging.For(component).WithError(err).Error("listener failed")
		}
	})
}

// Close stops listening and releases the journal. It may be called on a nil Server, and more than once.
func (s *Server) Close() {
	if s == nil {
		return
	}
	s.closeOnce.Do(func() {
		close(s.stop)
		s.startup.Wait() // the startup goroutine may be about to listen
		s.mu.Lock()
		listeners := s.listeners
		s.mu.Unlock()
		for _, listener := range listeners {
			shutDown(listener)
		}
		s.background.Wait()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.journal.close()
		s.journal = nil
	})
}

func shutDown(listener *dns.Server) {
	if listener.Shutdown() == nil {
		return
	}
	// The listener has not begun to serve. Closing its socket ends it as soon as it does.
	if listener.Listener != nil {
		_ = listener.Listener.Close()
		return
	}
	_ = listener.PacketConn.Close()
}

// Serial returns the serial in force, or 0 if there is no zone yet. It does not wait for an update in
// progress.
func (s *Server) Serial() uint32 {
	if zone := s.published.Load(); zone != nil {
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
