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

// fakeGateway is ready unless it is draining.
type fakeGateway struct{ draining atomic.Bool }

func (g *fakeGateway) Ready() bool { return !g.draining.Load() }
func (g *fakeGateway) Drain()      { g.draining.Store(true) }
func (g *fakeGateway) Resume()     { g.draining.Store(false) }
func (g *fakeGateway) WriteMetrics(w io.Writer) {
	_, _ = io.WriteString(w, "gw_concurrent 0\n") // the caller's test reads it
}

// serve starts a server that is closed, and has ended, when the test ends. A wrap stands between it and its
// listener.
func serve(t *testing.T, wrap ...func(net.Listener) net.Listener) *Server {
	t.Helper()
	options := Options{Address: "127.0.0.1:0", Gateway: &fakeGateway{}, MaxConnections: maxCalls}
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

// call makes one call and checks that its answer comes within the second that is promised.
func call(t *testing.T, s *Server, method, path string) (code int, body string) {
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
	defer func() { _ = response.Body.Close() }() // it was read
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Errorf("%s %s: %v", method, path, err)
	}
	if elapsed := time.Since(start); elapsed > time.Second {
		t.Errorf("%s %s answered after %v", method, path, elapsed)
	}
	return response.StatusCode, string(text)
}

// TestServer_AnswersCalls makes calls in an order that goes through draining and back.
func TestServer_AnswersCalls(t *testing.T) {
	s := serve(t)
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
		if code, body := call(t, s, c.method, c.path); code != c.wantCode {
			t.Errorf("%s %s: %d %q, want %d", c.method, c.path, code, body, c.wantCode)
		}
	}
	if _, body := call(t, s, "GET", "/admin/stats"); !strings.Contains(body, "gw_concurrent 0") {
		t.Errorf("stats: %q", body)
	}
}

// TestServer_CutsOffSlowCallers opens more connections than there are places for calls, which send nothing,
// or half a call, and stay. They are cut off; meanwhile every call is answered in time.
func TestServer_CutsOffSlowCallers(t *testing.T) {
	s := serve(t)
	var slow []net.Conn
	for n := range 2 * maxCalls {
		var dialer net.Dialer
		conn, err := dialer.DialContext(t.Context(), "tcp", s.Address())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() }) // the server has closed it
		if n%2 == 1 {
			const half = "GET /admin/health HTTP/1.1\r\nHost: x\r\n" // the rest never comes
			if _, err := io.WriteString(conn, half); err != nil {
				t.Fatal(err)
			}
		}
		slow = append(slow, conn)
	}
	for range 5 {
		if code, _ := call(t, s, "GET", "/admin/health"); code != 200 {
			t.Errorf("health: %d", code)
		}
	}
	time.Sleep(4 * (readHeaderTimeout + readTimeout))
	for n, conn := range slow {
		if err := conn.SetReadDeadline(time.Now().Add(time.Second)); err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadAll(conn); err != nil {
			t.Errorf("slow caller %d still has its connection: %v", n, err)
		}
	}
}

// failingListener fails the first accepts with errors that end, or pause, a server of net/http.
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

// TestServer_AnswersAfterFailedAccepts: while the system refuses connections the server goes on trying, and it
// answers within the second that is promised as soon as it can.
func TestServer_AnswersAfterFailedAccepts(t *testing.T) {
	failures := slices.Repeat([]error{syscall.ENFILE, syscall.ENOBUFS, syscall.EPROTO}, 10)
	s := serve(t, func(listener net.Listener) net.Listener { return &failingListener{listener, failures} })
	if code, body := call(t, s, "POST", "/admin/quiesce"); code != 200 {
		t.Errorf("%d %q", code, body)
	}
}

// TestServer_CloseBeforeServeClosesTheListener guards against an address that stays taken: a server that was closed
// before it served kept its listener.
func TestServer_CloseBeforeServeClosesTheListener(t *testing.T) {
	s, err := New(t.Context(), Options{Address: "127.0.0.1:0", Gateway: &fakeGateway{}, MaxConnections: maxCalls})
	if err != nil {
		t.Fatal(err)
	}
	s.Close()
	if conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", s.Address()); err == nil {
		_ = conn.Close()
		t.Error("the address of a closed server accepts")
	}
	if err := s.Serve(); err != nil {
		t.Errorf("serve after Close: %v", err)
	}
}
