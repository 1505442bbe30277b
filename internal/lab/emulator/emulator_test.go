package emulator

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"fawnplank/internal/lab/results"
	"fawnplank/internal/lab/scenario"
	"fawnplank/policy"
)

const small = `name = "small"
[backends]
count = 2
cores = 1
queue = 1
work = "5ms"
spread = 0.0
[discovery]
delay = "1ms"
[[profile]]
name = "calc"
effect = "reissuable"
promised = "750ms"
[[plan]]
name = "despacho"
`

func start(t *testing.T) *Emulator {
	t.Helper()
	s, err := scenario.Parse("small", []byte(small))
	if err != nil {
		t.Fatal(err)
	}
	terms, _ := s.EngineSettings(0)
	log := results.NewLog(results.New(s, terms, 0))
	e, err := Start(s, log)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	log.Begin()
	return e
}

// talk talks to a stand-in; what does not come in 150 ms counts as nothing.
type talk struct {
	net.Conn
	r *bufio.Reader
}

func dial(address string) (*talk, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &talk{c, bufio.NewReader(c)}, nil
}

func (l *talk) ask(text string) (string, error) {
	l.SetDeadline(time.Now().Add(150 * time.Millisecond))
	if _, err := io.WriteString(l, text); err != nil {
		return "", err
	}
	got := make([]byte, 400)
	n, err := l.r.Read(got)
	return string(got[:n]), err
}

func query(id int) string {
	return fmt.Sprintf("*4\r\n$9\r\nSVC.QUERY\r\n$16\r\n%016x\r\n$16\r\n%016x\r\n$23\r\nc=calc,t=despacho,d=900\r\n", 1, id)
}

func TestBackendFaultsReallyHappen(t *testing.T) {
	timeout := func(err error) bool { n, ok := err.(net.Error); return ok && n.Timeout() }
	for kind, seen := range map[scenario.FaultKind]func(answer string, err error) bool{
		"":                       func(a string, err error) bool { return strings.HasPrefix(a, "*3\r\n$") && err == nil },
		scenario.BackendRefuse:   func(a string, err error) bool { return err != nil && strings.Contains(err.Error(), "refused") },
		scenario.BackendHang:     func(a string, err error) bool { return timeout(err) },
		scenario.BackendSlow:     func(a string, err error) bool { return timeout(err) },
		scenario.BackendReset:    func(a string, err error) bool { return a == "*3\r\n$20\r\nhalf" },
		scenario.BackendGarble:   func(a string, err error) bool { return len(a) > 60 && a[0] == '?' },
		scenario.BackendError:    func(a string, err error) bool { return a == "-ERR failed\r\n" },
		scenario.BackendDrain:    func(a string, err error) bool { return a == "-BUSY\r\n" },
		scenario.BackendVanish:   func(a string, err error) bool { return timeout(err) },
		scenario.BackendRestart:  func(a string, err error) bool { return err != nil && strings.Contains(err.Error(), "refused") },
		scenario.DiscoveryRefuse: func(a string, err error) bool { return strings.HasPrefix(a, "*3\r\n$") },
	} {
		t.Run(string(kind), func(t *testing.T) {
			t.Parallel()
			e := start(t)
			fault := scenario.Fault{Kind: kind, Factor: 100}
			try := func() (answer string, err error) {
				l, err := dial(e.backends[0].listener.address)
				if err != nil {
					return "", err
				}
				defer l.Close()
				return l.ask(query(1))
			}
			e.setFault(fault, 0, true)
			if answer, err := try(); !seen(answer, err) {
				t.Errorf("%q, %v", answer, err)
			}
			e.setFault(fault, 0, false)
			time.Sleep(500 * time.Millisecond) // what was slow has ended; a restarted one is cold
			if answer, err := try(); !strings.HasPrefix(answer, "*3\r\n$") {
				t.Errorf("when the fault is over: %q, %v", answer, err)
			}
		})
	}
}

// One core and a line of one: the third at once is turned away, and the second answered after the first.
func TestBackendsFillUp(t *testing.T) {
	e := start(t)
	e.setFault(scenario.Fault{Kind: scenario.BackendSlow, Factor: 10}, 0, true)
	answers := make(chan string, 3)
	for n := range 3 {
		l, err := dial(e.backends[0].listener.address)
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		go func() {
			a, _ := l.ask(query(n + 1))
			answers <- a
		}()
		time.Sleep(10 * time.Millisecond)
	}
	if first := <-answers; first != "-BUSY\r\n" {
		t.Errorf("%q first", first)
	}
	for range 2 {
		if a := <-answers; !strings.HasPrefix(a, "*3") {
			t.Errorf("%q", a)
		}
	}
}

func TestCounterFaultsReallyHappen(t *testing.T) {
	e := start(t)
	at := e.counter.address(0)
	bump := func(door int, units int) string {
		l, err := dial(e.counter.address(door))
		if err != nil {
			return "refused"
		}
		defer l.Close()
		answer, _ := l.ask(fmt.Sprintf("bump a %d 60000\r\n", units))
		return strings.TrimSpace(answer)
	}
	want := func(what, got, wanted string) {
		t.Helper()
		if got != wanted {
			t.Errorf("%s: %q, want %q", what, got, wanted)
		}
	}
	fault := func(kind scenario.FaultKind, door int, on bool) {
		e.setFault(scenario.Fault{Kind: kind, Delay: 300e6}, door, on)
	}
	want("calm", bump(0, 2), "ok 2")
	want("another door, the same number", bump(1, 3), "ok 5")
	l, _ := dial(at)
	got, _ := l.ask("bump a 1\r\n")
	want("a call not in form", got, "error\r\n")
	got, _ = l.ask("ping\r\n")
	want("a ping", got, "pong\r\n")
	fault(scenario.CounterRefuse, 0, true)
	want("refuse", bump(0, 1), "refused")
	fault(scenario.CounterRefuse, 0, false)
	want("back", bump(0, 0), "ok 5")
	fault(scenario.CounterCut, 0, true)
	want("cut", bump(0, 1), "")
	want("the other door is not", bump(1, 0), "ok 5")
	fault(scenario.CounterCut, 0, false)
	fault(scenario.CounterSlow, 0, true)
	want("slow", bump(0, 0), "")
	fault(scenario.CounterSlow, 0, false)
	fault(scenario.CounterHang, 0, true)
	want("hang", bump(0, 1), "")
	fault(scenario.CounterHang, 0, false)
	time.Sleep(50 * time.Millisecond)
	want("what it held was added", bump(0, 0), "ok 6")
	fault(scenario.CounterEmpty, 0, true)
	want("empty", bump(0, 1), "ok 1")
}

// Calls written one behind another are answered in their order, also by a slow counter.
func TestCounterKeepsTheOrder(t *testing.T) {
	e := start(t)
	l, err := dial(e.counter.address(0))
	if err != nil {
		t.Fatal(err)
	}
	l.SetDeadline(time.Now().Add(5 * time.Second))
	io.WriteString(l, strings.Repeat("bump order 1 60000\r\n", 500))
	for n := range 500 {
		if text, err := l.r.ReadString('\n'); text != fmt.Sprintf("ok %d\r\n", n+1) {
			t.Fatalf("answer %d: %q, %v", n, text, err)
		}
	}
}

func TestDiscoveryTellsChanges(t *testing.T) {
	e := start(t)
	get := func(query string) (l endpointList, err error) {
		r, err := http.Get("http://" + e.discovery.address(0) + "/v1/endpoints" + query)
		if err != nil {
			return l, err
		}
		defer r.Body.Close()
		return l, json.NewDecoder(r.Body).Decode(&l)
	}
	l, err := get("")
	if err != nil || !l.Snapshot || len(l.Endpoints) != 2 || l.Endpoints[0].Status != "up" {
		t.Fatalf("%+v, %v", l, err)
	}
	drain := func(n int, on bool) { e.setFault(scenario.Fault{Kind: scenario.BackendDrain}, n, on) }
	time.AfterFunc(50*time.Millisecond, func() { drain(1, true) })
	next, err := get(fmt.Sprintf("?index=%d&wait=3000", l.Index))
	if err != nil || next.Snapshot || len(next.Endpoints) != 1 || next.Endpoints[0].Status != "draining" || next.Index <= l.Index {
		t.Fatalf("%+v, %v", next, err)
	}
	e.setFault(scenario.Fault{Kind: scenario.DiscoveryStale}, 0, true)
	drain(1, false)
	if still, err := get(fmt.Sprintf("?index=%d&wait=100", next.Index)); err != nil || len(still.Endpoints) > 0 {
		t.Errorf("a stale one told %+v, %v", still, err)
	}
	e.setFault(scenario.Fault{Kind: scenario.DiscoveryStale}, 0, false)
	if again, err := get(fmt.Sprintf("?index=%d&wait=1000", next.Index)); err != nil || len(again.Endpoints) != 1 || again.Endpoints[0].Status != "up" {
		t.Errorf("%+v, %v", again, err)
	}
	e.setFault(scenario.Fault{Kind: scenario.DiscoveryRefuse}, 0, true)
	if _, err := get(""); err == nil {
		t.Error("one that refuses answered")
	}
	e.setFault(scenario.Fault{Kind: scenario.DiscoveryRefuse}, 0, false)
	e.setFault(scenario.Fault{Kind: scenario.DiscoveryLate, Delay: 200e6}, 0, true)
	drain(0, true)
	if early, _ := get(""); early.Endpoints[0].Status != "up" {
		t.Error("a late one told at once")
	}
	time.Sleep(300 * time.Millisecond)
	if late, _ := get(""); late.Endpoints[0].Status != "draining" || e.discovery.endpoints[0].state != policy.EndpointDraining {
		t.Error("a late one told never")
	}
}
