package main

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"fawnplank/internal/testutil"
)

// discoveryAgent is a stand-in for the discovery agent on the gateway's machine. It answers at once with its current
// list. A call that arrives, or waits, while the agent is unresponsive is never answered, not even after it recovers.
type discoveryAgent struct {
	*httptest.Server
	mu           sync.Mutex
	index        int
	entries      string // JSON entries of the list
	unresponsive bool
	queries      []string      // the queries of the calls
	changed      chan struct{} // closed at each change
}

func newDiscoveryAgent(t *testing.T, index int, entries string) *discoveryAgent {
	t.Helper()
	a := &discoveryAgent{index: index, entries: entries, changed: make(chan struct{})}
	a.Server = httptest.NewServer(a)
	t.Cleanup(a.CloseClientConnections)
	return a
}

func (a *discoveryAgent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	wait, err := strconv.Atoi(r.URL.Query().Get("wait"))
	if err != nil {
		wait = 0
	}
	index, indexErr := strconv.Atoi(r.URL.Query().Get("index"))
	a.mu.Lock()
	a.queries = append(a.queries, r.URL.RawQuery)
	a.mu.Unlock()
	for timeout := time.After(time.Duration(wait) * time.Millisecond); ; {
		a.mu.Lock()
		currentIndex, entries, unresponsive, changed := a.index, a.entries, a.unresponsive, a.changed
		a.mu.Unlock()
		switch {
		case unresponsive:
			<-r.Context().Done()
			return
		case indexErr != nil || currentIndex > index:
			sendf(w, `{"index":%d,"snapshot":true,"endpoints":[%s]}`, currentIndex, entries)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			sendf(w, `{"index":%d,"snapshot":false,"endpoints":[]}`, currentIndex)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// set changes the list, and sets whether the agent is unresponsive: waiting calls are then never answered.
func (a *discoveryAgent) set(entries string, unresponsive bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.unresponsive = unresponsive; entries != a.entries {
		a.entries = entries
		a.index++
	}
	close(a.changed)
	a.changed = make(chan struct{})
}

func (a *discoveryAgent) address() string { return strings.TrimPrefix(a.URL, "http://") }

// backendPair consists of two backends, of which the first one starts to drain during the test, and a client that
// sends requests to a gateway all the time.
type backendPair struct {
	mu                    sync.Mutex
	lastDrainingAttempt   time.Time // when the first backend received its last attempt
	draining              int       // number of attempts at the first backend
	active                int       // number of attempts at the second backend
	bothUp, firstDraining string    // list entries, with both backends up and with the first one draining
	file, address         string    // of the gateway
}

func endpoint(name, status string, address net.Addr) string {
	return fmt.Sprintf(`{"name":%q,"address":%q,"zone":"a","type":"m2","group":1,"status":%q,"weight":1.0,"since_ms":0}`,
		name, address, status)
}

func newBackendPair(t *testing.T) *backendPair {
	t.Helper()
	pair := &backendPair{file: filepath.Join(t.TempDir(), "config.json"), address: freeAddress(t)}
	draining := testutil.ServeCommands(t, func(conn net.Conn) {
		pair.mu.Lock()
		pair.lastDrainingAttempt = time.Now()
		pair.draining++
		pair.mu.Unlock()
		send(conn, successResponse)
	})
	active := testutil.ServeCommands(t, func(conn net.Conn) {
		pair.mu.Lock()
		pair.active++
		pair.mu.Unlock()
		send(conn, successResponse)
	})
	pair.bothUp = endpoint("s-1", "up", draining) + "," + endpoint("s-2", "up", active)
	pair.firstDraining = endpoint("s-1", "draining", draining) + "," + endpoint("s-2", "up", active)
	return pair
}

// configure writes the gateway's configuration, whose known list has both backends up.
func (p *backendPair) configure(t *testing.T, discovery string, replacements ...string) {
	t.Helper()
	text := fmt.Sprintf(configuration, p.address, discovery, "")
	from, _, _ := strings.Cut(text, `"known"`)
	_, to, _ := strings.Cut(text, `"settings"`)
	text = from + `"known":{"index":1,"snapshot":true,"endpoints":[` + p.bothUp + `]},"settings"` + to
	writeFile(t, p.file, strings.NewReplacer(replacements...).Replace(text))
}

// sendRequests sends requests on one connection until the test ends.
func (p *backendPair) sendRequests(t *testing.T) {
	t.Helper()
	conn, err := tryDial(t, p.address)
	if err != nil {
		t.Fatal(err)
	}
	stop := make(chan struct{})
	t.Cleanup(func() {
		close(stop)
		closeIgnoringError(conn)
	})
	go discard(conn)
	go func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
				send(conn, request(fmt.Sprintf("%08d", n), requestFields))
			}
		}
	}()
}

// eventually waits for a condition on the pair's counts, which is evaluated under the lock.
func (p *backendPair) eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	testutil.Eventually(t, what, func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return condition()
	})
}

// endpointGrace is how long after a list is available at the agent an attempt at a draining backend may still begin.
const endpointGrace = time.Second + 50*time.Millisecond

// drainEvents are the ways in which a gateway receives the list with the draining backend. Each function returns the
// time at which the list was available at the agent.
var drainEvents = map[string]func(first, second *discoveryAgent, drainingEntries string, reload func()) time.Time{
	"outage": func(first, _ *discoveryAgent, drainingEntries string, _ func()) time.Time {
		first.set(first.entries, true)
		time.Sleep(8 * time.Second)
		first.set(drainingEntries, false)
		return time.Now()
	},
	"short outage": func(first, _ *discoveryAgent, drainingEntries string, _ func()) time.Time {
		first.set(first.entries, true)
		time.Sleep(300 * time.Millisecond) // shorter than a watch, so that it interrupts one that has just begun
		first.set(drainingEntries, false)
		return time.Now()
	},
	"unanswered watch": func(first, _ *discoveryAgent, drainingEntries string, _ func()) time.Time {
		first.set(first.entries, true) // waiting calls are no longer answered
		time.Sleep(10 * time.Millisecond)
		first.set(drainingEntries, false)
		return time.Now()
	},
	"changed discovery address": func(_, second *discoveryAgent, _ string, reload func()) time.Time {
		second.set(second.entries, true)
		reload()
		time.Sleep(500 * time.Millisecond)
		second.set(second.entries, false)
		return time.Now()
	},
}

// TestEndpointLists_ApplyWithinGrace checks that no attempt at a draining backend begins later than endpointGrace after
// the list is available at the agent, whichever way the list arrives. It guards against a failure in which discovery
// was down for 8 s during a release and gateways went on sending to 23 draining backends (335 attempts on the bench's
// day herd+mass, seed 872230496381, the first one 1.07 s after the agent had the list): a call that was pending during
// the outage was abandoned only after three seconds.
func TestEndpointLists_ApplyWithinGrace(t *testing.T) {
	for name, event := range drainEvents {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			pair := newBackendPair(t)
			first, second := newDiscoveryAgent(t, 1, pair.bothUp), newDiscoveryAgent(t, 7, pair.firstDraining)
			pair.configure(t, first.address())
			process := startServing(t, pair.file)
			pair.sendRequests(t)
			pair.eventually(t, "attempts at both", func() bool { return pair.draining > 0 && pair.active > 0 })
			listAvailable := event(first, second, pair.firstDraining, func() {
				pair.configure(t, second.address())
				sendSignal(t, process, syscall.SIGHUP)
			})
			time.Sleep(time.Until(listAvailable.Add(endpointGrace)))
			pair.mu.Lock()
			activeBefore := pair.active
			pair.mu.Unlock()
			time.Sleep(3 * time.Second) // longer than any call that hangs
			pair.mu.Lock()
			defer pair.mu.Unlock()
			lastAttempt := pair.lastDrainingAttempt.Sub(listAvailable)
			if lastAttempt > endpointGrace || pair.active <= activeBefore {
				t.Errorf("the last attempt at the draining backend began %v after the list; "+
					"%d attempts at the other backend since the grace period", lastAttempt, pair.active-activeBefore)
			}
			t.Logf("the last attempt began %v after the list", lastAttempt)
		})
	}
}

// TestEndpointLists_StaleKnownListIsReplaced starts a gateway with an outdated list in its configuration. Its first
// call requests the changes since that list and waits for a third of the drain grace. This call is never answered, so
// the gateway has to repeat it, send to the new backend, and stop sending to the draining one. The exact times are
// tested in internal/discovery with a simulated clock; this test checks no times.
func TestEndpointLists_StaleKnownListIsReplaced(t *testing.T) {
	t.Parallel()
	pair := newBackendPair(t)
	addedAttempts := 0 // attempts at the backend that only the new list has
	added := testutil.ServeCommands(t, func(conn net.Conn) {
		pair.mu.Lock()
		addedAttempts++
		pair.mu.Unlock()
		send(conn, successResponse)
	})
	agent := newDiscoveryAgent(t, 2, pair.firstDraining+","+endpoint("s-3", "up", added))
	agent.set(agent.entries, true)
	pair.configure(t, agent.address(), `"fall-ms":1000`, `"fall-ms":1000,"stop-sending-within-ms":600`)
	startServing(t, pair.file)
	pair.sendRequests(t)
	pair.eventually(t, "attempts at both known backends", func() bool { return pair.draining > 0 && pair.active > 0 })
	// The call may arrive later than the first attempts, which do not wait for it.
	testutil.Eventually(t, "a call to discovery", func() bool {
		agent.mu.Lock()
		defer agent.mu.Unlock()
		return len(agent.queries) > 0
	})
	agent.mu.Lock()
	if firstQuery := agent.queries[0]; firstQuery != "index=1&wait=200" {
		t.Errorf("the first call has the query %q", firstQuery)
	}
	agent.mu.Unlock()
	agent.set(agent.entries, false) // the call that is already pending stays unanswered
	pair.eventually(t, "an attempt at the new backend", func() bool { return addedAttempts > 0 })
	// drainingAfter waits for a number of further attempts at the other two backends, and returns the number of
	// attempts at the draining backend.
	drainingAfter := func(attempts int) (draining int) {
		target := 0
		pair.eventually(t, "further attempts", func() bool {
			if target == 0 {
				target = pair.active + addedAttempts + attempts
			}
			draining = pair.draining
			return pair.active+addedAttempts >= target
		})
		return draining
	}
	before := drainingAfter(50) // by then all attempts in flight have arrived
	if after := drainingAfter(200); after != before {
		t.Errorf("%d attempts at the draining backend after the list was applied", after-before)
	}
}

// Guards against a list that is never replaced: a new process of the discovery service at the address of the one from
// which the gateway has its list, with lower indexes, was taken for the former one.
func TestEndpointLists_NewDiscoveryProcessIsNoticed(t *testing.T) {
	t.Parallel()
	pair := newBackendPair(t)
	agent := newDiscoveryAgent(t, 0, pair.firstDraining) // the gateway's list has the index 1
	pair.configure(t, agent.address())
	startServing(t, pair.file)
	pair.sendRequests(t)
	pair.eventually(t, "attempts at the backend that is up", func() bool { return pair.active > 0 })
	time.Sleep(3 * endpointGrace)
	pair.mu.Lock()
	lastAttempt := time.Since(pair.lastDrainingAttempt)
	pair.mu.Unlock()
	if lastAttempt < endpointGrace {
		t.Errorf("an attempt at the draining backend %v ago", lastAttempt)
	}
}
