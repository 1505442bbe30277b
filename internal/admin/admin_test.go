package admin

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

type door struct{ drained atomic.Bool }

func (d *door) Ready() bool            { return !d.drained.Load() }
func (d *door) Drain()                 { d.drained.Store(true) }
func (d *door) Resume()                { d.drained.Store(false) }
func (d *door) WriteStats(w io.Writer) { io.WriteString(w, "gw_concurrent 0\n") }

func serve(t *testing.T) (*Server, *door) {
	d := &door{}
	s, err := New("127.0.0.1:0", d, mostOpen)
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve()
	t.Cleanup(s.Close)
	return s, d
}

func call(t *testing.T, s *Server, method, path string) (int, string) {
	t.Helper()
	req, _ := http.NewRequest(method, "http://"+s.Address()+path, nil)
	began := time.Now()
	res, err := (&http.Client{Timeout: 2 * time.Second}).Do(req)
	if err != nil {
		t.Fatalf("%s %s: %v", method, path, err)
	}
	defer res.Body.Close()
	body, _ := io.ReadAll(res.Body)
	if took := time.Since(began); took > time.Second {
		t.Errorf("%s %s answered after %v", method, path, took)
	}
	return res.StatusCode, string(body)
}

func TestCalls(t *testing.T) {
	s, _ := serve(t)
	for _, c := range []struct {
		method, path string
		code         int
	}{
		{"GET", "/admin/health", 200}, {"GET", "/admin/stats", 200}, {"POST", "/admin/quiesce", 200},
		{"GET", "/admin/health", 503}, {"POST", "/admin/quiesce", 200}, {"POST", "/admin/resume", 200},
		{"GET", "/admin/health", 200}, {"POST", "/admin/resume", 200}, {"GET", "/admin/nothing", 404},
		{"POST", "/admin/health", 405}, {"GET", "/admin/quiesce", 405},
	} {
		if code, body := call(t, s, c.method, c.path); code != c.code {
			t.Errorf("%s %s: %d %q, wanted %d", c.method, c.path, code, body, c.code)
		}
	}
	if _, body := call(t, s, "GET", "/admin/stats"); !strings.Contains(body, "gw_concurrent 0") {
		t.Errorf("stats: %q", body)
	}
}

// Callers that send nothing, or half a call, and stay are cut off; meanwhile every call is answered in time,
// even with more of them than there are places for calls.
func TestSlowCallersHoldNothing(t *testing.T) {
	s, _ := serve(t)
	var slow []net.Conn
	for n := range 2 * mostOpen {
		c, err := net.Dial("tcp", s.Address())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if n%2 == 1 {
			fmt.Fprintf(c, "GET /admin/health HTTP/1.1\r\nHost: x\r\n") // and the rest never comes
		}
		slow = append(slow, c)
	}
	for range 5 {
		if code, _ := call(t, s, "GET", "/admin/health"); code != 200 {
			t.Errorf("health: %d", code)
		}
	}
	time.Sleep(4 * (headTime + bodyTime))
	for n, c := range slow {
		c.SetReadDeadline(time.Now().Add(time.Second))
		if _, err := io.ReadAll(c); err != nil {
			t.Errorf("slow caller %d is still held: %v", n, err)
		}
	}
}
