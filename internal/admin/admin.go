// Package admin serves the management address: HTTP/1.1, one call a connection, each answered well within a
// second. It owns the listener and the timeouts that keep slow callers from holding anything; what a call does
// is the door's. It must never decide anything about transactions.
package admin

import (
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"fawnplank/internal/logging"
	"golang.org/x/net/netutil"
)

// Gateway is what the calls act on.
type Gateway interface {
	Ready() bool // can serve
	Drain()      // drain: again does nothing more
	Resume()     // back to work: without a drain does nothing
	WriteStats(w io.Writer)
}

const (
	// headTime is how long a caller may take for its head, and bodyTime for all of its call: the answer is due
	// within 1 s, and those that send nothing or half a call must be cut before they stay long.
	headTime = 300 * time.Millisecond
	bodyTime = 500 * time.Millisecond
	// writeTime bounds writing an answer: what is left of the second.
	writeTime = 400 * time.Millisecond
	// mostOpen is how many calls are open at once; a further one waits at most a head's time for a place. Far
	// more than the operators' callers, and an eighth of the descriptors at most.
	mostOpen = 32
)

// ConnectionLimit is how many calls are open at once under a limit of descriptors: the owner sets so many aside.
func ConnectionLimit(sockets int) int { return min(mostOpen, sockets/8) }

// Server serves the management address.
type Server struct {
	http *http.Server
	l    net.Listener
}

// New listens on the address for so many calls at once; Serve serves it.
func New(address string, d Gateway, calls int) (*Server, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	yes := func(w http.ResponseWriter, ok bool) {
		if ok {
			io.WriteString(w, "ok\n")
		} else {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
		}
	}
	mux.HandleFunc("GET /admin/health", func(w http.ResponseWriter, _ *http.Request) { yes(w, d.Ready()) })
	mux.HandleFunc("GET /admin/stats", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		d.WriteStats(w)
	})
	mux.HandleFunc("POST /admin/quiesce", func(w http.ResponseWriter, _ *http.Request) { d.Drain(); yes(w, true) })
	mux.HandleFunc("POST /admin/resume", func(w http.ResponseWriter, _ *http.Request) { d.Resume(); yes(w, true) })
	s := &http.Server{Handler: mux, ReadHeaderTimeout: headTime, ReadTimeout: bodyTime, WriteTimeout: writeTime,
		IdleTimeout: headTime, MaxHeaderBytes: 8 << 10,
		ErrorLog: log.New(logging.For("admin").WriterLevel(logrus.DebugLevel), "", 0)}
	s.SetKeepAlivesEnabled(false)
	// The wrapped connections hide net.TCPConn's ReadFrom, by which net/http could splice or send a file.
	return &Server{http: s, l: netutil.LimitListener(l, calls)}, nil
}

// Address tells where it listens.
func (s *Server) Address() string { return s.l.Addr().String() }

// Serve serves until Close.
func (s *Server) Serve() error {
	if err := s.http.Serve(s.l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Close stops serving at once.
func (s *Server) Close() { s.http.Close() }
