// Package admin serves the management address: HTTP/1.1, one call per connection, each answered well within a
// second. It owns the listener, and the timeouts that prevent slow callers from holding anything. The Gateway
// defines what a call does. The package decides nothing about requests.
//
// The Gateway is called from many goroutines at once. The methods of Server are safe for concurrent use.
package admin

import (
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/net/netutil"

	"fawnplank/internal/logging"
	"fawnplank/internal/retryaccept"
)

// Gateway is the object on which the calls act.
type Gateway interface {
	// Ready reports whether the gateway serves clients; false while it drains or shuts down.
	Ready() bool
	// Drain starts draining. A further call does nothing.
	Drain()
	// Resume ends draining. Without a Drain it does nothing.
	Resume()
	// WriteMetrics writes the metrics in Prometheus' text form.
	WriteMetrics(w io.Writer)
}

const (
	// readHeaderTimeout bounds how long a caller may take to send its head, and readTimeout bounds its whole
	// call. The answer is due within 1 s, and callers that send nothing or half a call are cut off long before
	// they accumulate.
	readHeaderTimeout = 300 * time.Millisecond
	readTimeout       = 500 * time.Millisecond
	// writeTimeout bounds writing an answer. It is what remains of the second.
	writeTimeout = 400 * time.Millisecond
	// maxCalls is how many calls may be open at once. A further call waits for a place, which a slow caller holds
	// for up to readTimeout and writeTimeout together. Operators have fewer callers than this.
	maxCalls = 32
	// descriptorsPerCall is how many descriptors of the process there must be for each call that may be open, so that
	// calls take at most an eighth of them.
	descriptorsPerCall = 8
	// maxHeaderBytes bounds the heads of calls, of which nothing but the first line is read.
	maxHeaderBytes = 8 << 10
)

// ConnectionLimit returns how many connections may be open at once if the process may open maxSockets descriptors.
// The owner of the descriptors reserves this number.
func ConnectionLimit(maxSockets int) int { return min(maxCalls, maxSockets/descriptorsPerCall) }

// Options configures a Server. All exported fields are required.
type Options struct {
	Address        string // host and port to listen on
	Gateway        Gateway
	MaxConnections int // open at once; see ConnectionLimit

	wrapListener func(net.Listener) net.Listener // by tests; nil wraps nothing
}

// Server serves the management address.
type Server struct {
	server   *http.Server
	listener net.Listener
}

// New listens on the address; Serve answers the calls. The context bounds only the start. The error is that of
// listening.
func New(ctx context.Context, o Options) (*Server, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp4", o.Address)
	if err != nil {
		return nil, err
	}
	server := &http.Server{
		Handler:           newHandler(o.Gateway),
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       readHeaderTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          log.New(logging.For("admin").WriterLevel(logrus.DebugLevel), "", 0),
	}
	server.SetKeepAlivesEnabled(false)
	// The wrapped connections hide net.TCPConn's ReadFrom, so that every byte is written by Write.
	if o.wrapListener != nil {
		listener = o.wrapListener(listener)
	}
	retrying := retryaccept.New(listener, "admin") // without it, a failed accept ends the server or delays calls
	return &Server{server: server, listener: netutil.LimitListener(retrying, o.MaxConnections)}, nil
}

func newHandler(gateway Gateway) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /admin/health", func(w http.ResponseWriter, _ *http.Request) {
		if !gateway.Ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		writeOK(w)
	})
	mux.HandleFunc("GET /admin/stats", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		gateway.WriteMetrics(w)
	})
	mux.HandleFunc("POST /admin/quiesce", func(w http.ResponseWriter, _ *http.Request) {
		gateway.Drain()
		writeOK(w)
	})
	mux.HandleFunc("POST /admin/resume", func(w http.ResponseWriter, _ *http.Request) {
		gateway.Resume()
		writeOK(w)
	})
	return mux
}

func writeOK(w io.Writer) {
	_, _ = io.WriteString(w, "ok\n") // a caller that has gone needs no answer
}

// Address returns the host and port that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Serve answers calls until Close, after which it returns nil. Any other end returns the error of the listener.
// It is called once.
func (s *Server) Serve() error {
	if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Close closes the listener and all connections at once, also before Serve. It leaves the goroutine of the server's
// own log to the garbage collector.
func (s *Server) Close() {
	_ = s.server.Close()   // nothing can be done about a listener that does not close
	_ = s.listener.Close() // which the server has from Serve on only
}
