package admin

import (
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// fakeGateway is a Gateway that is ready unless it is draining.
type fakeGateway struct{ draining atomic.Bool }

func (g *fakeGateway) Ready() bool { return !g.draining.Load() }
func (g *fakeGateway) Drain()      { g.draining.Store(true) }
func (g *fakeGateway) Resume()     { g.draining.Store(false) }
func (g *fakeGateway) WriteMetrics(w io.Writer) {
	_, _ = io.WriteString(w, "gw_concurrent 0\n") // a failure shows in the response that the test reads
}

// startServer starts a server, which is closed at the end of the test and must then stop. wrap, of which at most one is
// given, wraps the server's listener.
func startServer(t *testing.T, wrap ...func(net.Listener) net.Listener) *Server {
	t.Helper()
	options := Options{Address: "127.0.0.1:0", Gateway: &fakeGateway{}, MaxConnections: maxConnections}
	for _, w := range wrap {
		options.wrapListener = w
	}
	s, err := New(t.Context(), options)
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- s.Serve() }()
	t.Cleanup(func() {
		s.Close()
		if err := <-served; err != nil {
			t.Errorf("serve: %v", err)
		}
	})
	return s
}

// sendRequest sends an HTTP request, checks that the response arrives within the required second, and returns it.
func sendRequest(t *testing.T, s *Server, method, path string) (code int, body string) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, "http://"+s.Address()+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	response, err := (&http.Client{Timeout: 2 * time.Second}).Do(request)
	if err != nil {
		t.Fatalf("%s %s: %v", method, path, err)
	}
	defer func() { _ = response.Body.Close() }() // the body was read completely
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Errorf("%s %s: %v", method, path, err)
	}
	if elapsed := time.Since(start); elapsed > time.Second {
		t.Errorf("%s %s answered after %v", method, path, elapsed)
	}
	return response.StatusCode, string(text)
}

// TestServer_AnswersEachEndpoint sends HTTP requests that start and end draining, and checks their status codes.
func TestServer_AnswersEachEndpoint(t *testing.T) {
	s := startServer(t)
	for _, c := range []struct {
		method, path string
		wantCode     int
	}{
		{"GET", "/admin/health", 200},
		{"GET", "/admin/stats", 200},
		{"POST", "/admin/quiesce", 200},
		{"GET", "/admin/health", 503},
		{"POST", "/admin/quiesce", 200},
		{"POST", "/admin/resume", 200},
		{"GET", "/admin/health", 200},
		{"POST", "/admin/resume", 200},
		{"GET", "/admin/nothing", 404},
		{"POST", "/admin/health", 405},
		{"GET", "/admin/quiesce", 405},
	} {
		if code, body := sendRequest(t, s, c.method, c.path); code != c.wantCode {
			t.Errorf("%s %s: %d %q, want %d", c.method, c.path, code, body, c.wantCode)
		}
	}
	if _, body := sendRequest(t, s, "GET", "/admin/stats"); !strings.Contains(body, "gw_concurrent 0") {
		t.Errorf("stats: %q", body)
	}
}

// TestServer_DisconnectsSlowClients opens more connections than may be open at once, and leaves them open after sending
// nothing or an incomplete HTTP request. The server must disconnect them, and meanwhile answer each complete request in
// time.
func TestServer_DisconnectsSlowClients(t *testing.T) {
	s := startServer(t)
	var slowConns []net.Conn
	for n := range 2 * maxConnections {
		var dialer net.Dialer
		conn, err := dialer.DialContext(t.Context(), "tcp", s.Address())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() }) // the server may have closed the connection already
		if n%2 == 1 {
			const partialRequest = "GET /admin/health HTTP/1.1\r\nHost: x\r\n" // without the empty line that ends the header
			if _, err := io.WriteString(conn, partialRequest); err != nil {
				t.Fatal(err)
			}
		}
		slowConns = append(slowConns, conn)
	}
	for range 5 {
		if code, _ := sendRequest(t, s, "GET", "/admin/health"); code != 200 {
			t.Errorf("health: %d", code)
		}
	}
	time.Sleep(4 * (readHeaderTimeout + readTimeout))
	for n, conn := range slowConns {
		if err := conn.SetReadDeadline(time.Now().Add(time.Second)); err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadAll(conn); err != nil {
			t.Errorf("slow client %d is still connected: %v", n, err)
		}
	}
}

// failingListener returns the errors in failures from its first calls of Accept. Such errors stop or delay an
// http.Server.
type failingListener struct {
	net.Listener
	failures []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.failures) > 0 {
		failure := l.failures[0]
		l.failures = l.failures[1:]
		return nil, &net.OpError{Op: "accept", Err: failure}
	}
	return l.Listener.Accept()
}

// TestServer_AnswersAfterFailedAccepts checks that the server retries Accept while it fails, and answers within the
// required second when it succeeds again.
func TestServer_AnswersAfterFailedAccepts(t *testing.T) {
	failures := slices.Repeat([]error{syscall.ENFILE, syscall.ENOBUFS, syscall.EPROTO}, 10)
	s := startServer(t, func(listener net.Listener) net.Listener { return &failingListener{listener, failures} })
	if code, body := sendRequest(t, s, "POST", "/admin/quiesce"); code != 200 {
		t.Errorf("status %d, body %q", code, body)
	}
}

// TestServer_CloseBeforeServeClosesListener guards against an address that stays in use: a server that was closed
// before Serve was called kept its listener open.
func TestServer_CloseBeforeServeClosesListener(t *testing.T) {
	s, err := New(t.Context(), Options{Address: "127.0.0.1:0", Gateway: &fakeGateway{}, MaxConnections: maxConnections})
	if err != nil {
		t.Fatal(err)
	}
	s.Close()
	if conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", s.Address()); err == nil {
		_ = conn.Close()
		t.Error("a closed server's address accepts connections")
	}
	if err := s.Serve(); err != nil {
		t.Errorf("serve after Close: %v", err)
	}
}
