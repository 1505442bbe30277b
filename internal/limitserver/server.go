package limitserver

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tidwall/redcon"

	"fawnplank/internal/authz"
	"fawnplank/internal/dispatch"
	"fawnplank/internal/retryaccept"
	"fawnplank/policy"
)

// idleTimeout is the time after which an idle connection is closed. It is much longer than the pauses between
// commands of tools that keep their connections open.
const idleTimeout = 5 * time.Minute

// Dispatcher admits or rejects checks, and provides the status of quotas.
type Dispatcher interface {
	Submit(spec dispatch.RequestSpec) *dispatch.Request
	QuotaStatus(query policy.QuotaQuery) (status policy.QuotaStatus, ok bool)
}

// Settings holds the plans and bounds against which commands are parsed, and the class and timeout of checks. A reload
// of the configuration replaces them.
type Settings struct {
	Class     policy.ClassID           // the class of checks, whose requests are counted but not sent to a backend
	Timeout   time.Duration            // bounds a check
	Plans     map[string]policy.PlanID // by name
	Instances int                      // the number of instances of the fleet; 0 means 1
	MaxUnits  float64                  // the maximum units of a check
}

// Stats holds counts since the start.
type Stats struct {
	Admitted uint64 // checks that were admitted
	Rejected uint64 // checks that were rejected because there was no quota
	// Failed is the number of commands that were answered with an error of any kind: an invalid command, a missing
	// right, or a check that was neither admitted nor rejected.
	Failed uint64
}

// Options configures a Server.
type Options struct {
	// Dispatcher admits or rejects checks. It may be nil only if no client sends LIMIT.CHECK, LIMIT.PEEK or
	// CL.THROTTLE.
	Dispatcher Dispatcher
	// Settings holds the initial settings. UpdateSettings replaces them.
	Settings Settings
	// MaxConnections bounds the number of client connections. If it is 0, every connection is refused.
	MaxConnections int
	// Accounts executes the commands on accounts. If it is nil, these commands are unknown.
	Accounts Accounts
	// Keys maps names to the keys for AUTH. Without keys, every client has the right authz.Check and no other.
	Keys map[string]authz.Key
}

// Server answers limit commands.
type Server struct {
	dispatcher     Dispatcher
	accounts       Accounts
	keys           map[string]authz.Key
	maxConnections int

	settings    atomic.Pointer[Settings]
	connections atomic.Int64
	admitted    atomic.Uint64
	rejected    atomic.Uint64
	failed      atomic.Uint64

	redconServer *redcon.Server

	mu       sync.Mutex // guards what follows
	listener net.Listener
	closed   bool
}

// New returns a server; Serve starts it.
func New(options Options) *Server {
	s := &Server{
		dispatcher:     options.Dispatcher,
		accounts:       options.Accounts,
		keys:           options.Keys,
		maxConnections: options.MaxConnections,
	}
	s.settings.Store(&options.Settings)
	closed := func(redcon.Conn, error) { s.connections.Add(-1) }
	s.redconServer = redcon.NewServer("", s.handle, s.accept, closed)
	s.redconServer.SetIdleClose(idleTimeout)
	return s
}

// UpdateSettings replaces the settings. Each connection uses the new settings from its next batch of commands on.
func (s *Server) UpdateSettings(settings Settings) { s.settings.Store(&settings) }

// Serve accepts connections until Close is called, and then closes the listener. If Close was called before, Serve
// closes the listener and returns at once. Serve must be called only once.
func (s *Server) Serve(l net.Listener) error {
	if !s.registerListener(l) {
		return l.Close()
	}
	err := s.redconServer.Serve(&boundingListener{retryaccept.New(l, "limits")})
	if errors.Is(err, net.ErrClosed) {
		err = nil
	}
	return err
}

// registerListener stores the listener, so that Close can close it. It returns false if the server is already closed.
func (s *Server) registerListener(l net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.listener = l
	return true
}

// Close closes the listener; Serve then closes all connections and returns. Close may be called before Serve. Only the
// first call has an effect.
//
// Close does not call redcon.Server.Close, which has no effect before the redcon server has begun to serve.
func (s *Server) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil
	}
	s.closed = true
	if s.listener == nil {
		return nil
	}
	return s.listener.Close()
}

// Stats returns the counts since the start.
func (s *Server) Stats() Stats {
	return Stats{Admitted: s.admitted.Load(), Rejected: s.rejected.Load(), Failed: s.failed.Load()}
}

// accept refuses connections beyond the maximum. It sends an error first, because a client cannot distinguish a close
// without an error from a crash of the server.
func (s *Server) accept(conn redcon.Conn) bool {
	if s.connections.Add(1) <= int64(s.maxConnections) {
		return true
	}
	s.connections.Add(-1)
	writeErrorBeforeClose(conn.NetConn(), "too many connections")
	return false
}

// handle answers a command and all commands that arrived with it in a pipeline, in order.
func (s *Server) handle(conn redcon.Conn, first redcon.Command) {
	if bounded, ok := conn.NetConn().(*boundedConn); ok {
		bounded.pendingBytes = 0
	}
	commands := append([]redcon.Command{first}, conn.ReadPipeline()...)
	rights, isSet := conn.Context().(authz.Right)
	if !isSet && len(s.keys) == 0 {
		rights = authz.Check
	}
	answers, newRights, quit := s.run(commands, rights)
	conn.SetContext(newRights)
	conn.WriteRaw(answers)
	if quit {
		_ = conn.Close() // redcon does not report the error of writing the answers either
	}
}
