// Package admin serves the management address over HTTP/1.1. Each connection carries one HTTP request, which is
// answered well within a second. The package owns the listener, and the timeouts that prevent slow clients from
// occupying connections. The Gateway defines the effect of each HTTP request.
//
// The methods of Gateway are called concurrently. The methods of Server are safe for concurrent use.
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

// Gateway is the gateway that the management address controls. Its methods must be safe for concurrent use.
type Gateway interface {
	// Ready reports whether the gateway serves clients. It returns false while the gateway drains or shuts down.
	Ready() bool
	// Drain starts draining. It does nothing if the gateway is draining already.
	Drain()
	// Resume ends draining. It does nothing if the gateway is not draining.
	Resume()
	// WriteMetrics writes the metrics in Prometheus' text format.
	WriteMetrics(w io.Writer)
}

const (
	// readHeaderTimeout bounds how long a client may take to send the request header, and readTimeout bounds the whole
	// HTTP request. The response is due within 1 s. Clients that send nothing or an incomplete request are disconnected
	// long before their connections accumulate.
	readHeaderTimeout = 300 * time.Millisecond
	readTimeout       = 500 * time.Millisecond
	// writeTimeout bounds writing a response. It is what remains of the second after readTimeout, less a margin.
	writeTimeout = 400 * time.Millisecond
	// maxConnections is how many connections may be open at once. A further connection waits until another is closed,
	// which takes up to readTimeout and writeTimeout together if the other client is slow. Operators' tools open fewer
	// connections than this.
	maxConnections = 32
	// descriptorsPerConnection is how many file descriptors of the process there must be for each connection that may
	// be open, so that connections take at most an eighth of them.
	descriptorsPerConnection = 8
	// maxHeaderBytes bounds the request header, of which only the request line is used.
	maxHeaderBytes = 8 << 10
)

// ConnectionLimit returns how many connections may be open at once if the process may open maxDescriptors file
// descriptors. The caller reserves this number of descriptors for them.
func ConnectionLimit(maxDescriptors int) int {
	return min(maxConnections, maxDescriptors/descriptorsPerConnection)
}

// Options configures a Server. All exported fields are required.
type Options struct {
	Address        string // host and port to listen on
	Gateway        Gateway
	MaxConnections int // that may be open at once; see ConnectionLimit

	wrapListener func(net.Listener) net.Listener // used by tests; may be nil
}

// Server serves the management address.
type Server struct {
	httpServer *http.Server
	listener   net.Listener
}

// New listens on the address. Serve then answers HTTP requests. The context applies only to listening, and the error is
// that of listening.
func New(ctx context.Context, o Options) (*Server, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp4", o.Address)
	if err != nil {
		return nil, err
	}
	httpServer := &http.Server{
		Handler:           newHandler(o.Gateway),
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       readHeaderTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          log.New(logging.For("admin").WriterLevel(logrus.DebugLevel), "", 0),
	}
	httpServer.SetKeepAlivesEnabled(false)
	// The wrapped connections hide the method ReadFrom of net.TCPConn, so that all bytes are written by Write.
	if o.wrapListener != nil {
		listener = o.wrapListener(listener)
	}
	retryingListener := retryaccept.New(listener, "admin") // otherwise a failed accept would stop or delay http.Server
	return &Server{httpServer: httpServer, listener: netutil.LimitListener(retryingListener, o.MaxConnections)}, nil
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
	_, _ = io.WriteString(w, "ok\n") // fails only if the client has disconnected
}

// Address returns the host and port that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Serve answers HTTP requests until Close is called, and then returns nil. If the listener fails, Serve returns the
// listener's error. Serve must be called only once.
func (s *Server) Serve() error {
	if err := s.httpServer.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Close closes the listener and all connections at once. It may be called before Serve. The goroutine that copies the
// log of http.Server ends only when the garbage collector finalizes the log's writer.
func (s *Server) Close() {
	_ = s.httpServer.Close() // an error has no remedy
	_ = s.listener.Close()   // http.Server closes the listener only after Serve was called
}
