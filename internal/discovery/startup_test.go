package discovery

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"fawnplank/internal/config"
	"fawnplank/internal/dispatch"
	"fawnplank/internal/testutil"
	"fawnplank/policy"
)

// firstCall is what the first call after an instance's start meets. Calls after it are answered.
type firstCall uint8

const (
	answered    firstCall = iota
	unanswered            // the call is accepted, and never answered
	unfinished            // its answer stops half way
	unreachable           // its connection never comes up
)

func (f firstCall) String() string {
	return [...]string{"answered", "unanswered", "unfinished", "unreachable"}[f]
}

// lists are what an instance starts with, and what the service has since.
type lists struct{ cached, delta, snapshot string }

// instance is a dispatcher and its watch, wired as the program does, in a synctest bubble: its network is
// pipes, and its clock moves only while all wait, so that moments are exact, however busy the machine is.
type instance struct {
	t          *testing.T
	dispatcher *dispatch.Dispatcher
	client     *Client
	agent      *fakeAgent
	updates    atomic.Int64
	start      time.Time
	ids        map[string]policy.BackendID
	mu         sync.Mutex
	sent       map[policy.BackendID][]time.Duration // since the start
}

func (i *instance) SetAddress(policy.BackendID, string)             {}
func (i *instance) SetAddresses(policy.BackendID, []netip.AddrPort) {}
func (i *instance) RemoveBackend(policy.BackendID)                  {}
func (i *instance) CheckHealth(policy.BackendID)                    {}
func (i *instance) Add(policy.CounterKey, float64, time.Duration)   {}
func (i *instance) Flush()                                          {}
func (i *instance) Abandon(*dispatch.Attempt) bool                  { return false }

// UpdateEndpoints counts updates, and passes them on.
func (i *instance) UpdateEndpoints(kind policy.UpdateKind, endpoints []policy.Endpoint) {
	i.updates.Add(1)
	i.dispatcher.UpdateEndpoints(kind, endpoints)
}

// fakeAgent is a discovery service that has a list of index 2, while the instance starts with an older one.
// It answers as late as it may.
type fakeAgent struct {
	first firstCall
	lists lists
	delay time.Duration
	calls atomic.Int64
}

func (a *fakeAgent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	isFirst := a.calls.Add(1) == 1
	if isFirst && a.first == unanswered {
		<-r.Context().Done()
		return
	}
	query := r.URL.Query()
	if query.Get("index") == "2" { // there is nothing new
		wait, _ := time.ParseDuration(query.Get("wait") + "ms") // the client's own form
		sleepUnlessGone(r, wait)
		respond(w, list(2, false))
		return
	}
	sleepUnlessGone(r, a.delay)
	switch {
	case isFirst && a.first == unfinished:
		w.Header().Set("Content-Length", fmt.Sprint(len(a.lists.delta)))
		respond(w, a.lists.delta[:len(a.lists.delta)/2])
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	case query.Has("index"):
		respond(w, a.lists.delta)
	default:
		respond(w, a.lists.snapshot)
	}
}

// sleepUnlessGone sleeps until the time is over or the connection ends.
func sleepUnlessGone(r *http.Request, duration time.Duration) {
	select {
	case <-time.After(duration):
	case <-r.Context().Done():
	}
}

// startInstance starts an instance as the program does, with the cached list in its configuration, beside an
// agent that has another since.
func startInstance(t *testing.T, seed uint64, grace time.Duration, first firstCall, lists lists) *instance {
	t.Helper()
	listener := testutil.NewPipeListener()
	agent := &fakeAgent{first: first, lists: lists, delay: grace / 4}
	server := &http.Server{Handler: agent}
	go func() {
		_ = server.Serve(listener) // ends with the test
	}()
	i := &instance{
		t:          t,
		dispatcher: dispatch.New(),
		agent:      agent,
		start:      time.Now(),
		sent:       map[policy.BackendID][]time.Duration{},
	}
	configuration := &config.Config{
		Discovery:      "agent:1",
		KnownEndpoints: []byte(lists.cached),
		Zones:          []string{"a"},
		Settings:       startupSettings(grace),
	}
	i.client = New(Options{Subscriber: i, AddressBook: i, Config: configuration})
	var dials atomic.Int64
	transport := i.client.http.Transport.(*http.Transport)
	transport.DialContext = func(context.Context, string, string) (net.Conn, error) {
		if dials.Add(1) == 1 && first == unreachable {
			<-listener.Closed() // a dial goes on for calls to come when its own has been given up
			return nil, net.ErrClosed
		}
		return listener.Dial()
	}
	i.dispatcher.Start(dispatch.Config{Seed: seed, Settings: configuration.Settings,
		Counter: i, HealthChecker: i, EndpointWatcher: i.client})
	if err := i.client.PublishCached(configuration.KnownEndpoints); err != nil {
		t.Fatal(err)
	}
	i.ids = maps.Clone(i.client.publisher.ids) // before the watch uses them
	i.client.WatchEndpoints()
	t.Cleanup(func() {
		i.client.Close()
		i.dispatcher.Stop()
		_ = server.Close() // its connections are pipes
	})
	return i
}

func startupSettings(grace time.Duration) policy.Settings {
	return policy.Settings{
		Instances: 1,
		// An update may meet a request between its submission and its attempt's first byte. The attempt is withdrawn
		// then, and the request needs another to be answered.
		MaxAttempts:      2,
		DrainGrace:       grace,
		SlowStartShare:   1,
		OverloadMultiple: 2,
		OverloadWindow:   1e9,
		Plans:            []policy.PlanSettings{{}},
		Classes:          []policy.ClassSettings{{LatencyObjective: 500e6, Deadline: 500e6}},
	}
}

// send sends a request, and notes when and where to.
func (i *instance) send() {
	spec := dispatch.RequestSpec{Tenant: 1, Remaining: 500 * time.Millisecond, Units: 1, EntryPoints: 1}
	request := i.dispatcher.Submit(spec)
	for {
		step := request.NextStep()
		if step.Action != dispatch.Send {
			if step.Action != dispatch.Respond {
				i.t.Errorf("a request ended as %+v", step)
			}
			return
		}
		if step.Attempt.Start(i) {
			i.noteSent(step.Attempt.Backend)
			time.Sleep(time.Millisecond)
			step.Attempt.Report([]byte("ok"), 0, nil)
		}
	}
}

func (i *instance) noteSent(backend policy.BackendID) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.sent[backend] = append(i.sent[backend], time.Since(i.start))
}

// sentTo returns when attempts were sent to the backend of that name.
func (i *instance) sentTo(name string) []time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.sent[i.ids[name]]
}

// TestStartup_CachedSnapshotIsReplacedWithinDrainGrace: an instance that starts with a list of long ago in
// its configuration sends to no backend that has begun to drain or is gone since, later than the drain's
// grace after its start: also where its first call is never answered, and is made anew. The case by processes
// that this replaces passed whatever became of a call, since its agent answered the first.
func TestStartup_CachedSnapshotIsReplacedWithinDrainGrace(t *testing.T) {
	// Long ago: the bubble's clock begins in 2000, and a backend that is yet to start counts as warming up.
	entry := func(name, status string) string {
		return strings.Replace(entry(name, status), "1700000000123", "0", 1)
	}
	cached := list(1, true, entry("s-1", "up"), entry("s-2", "up"))
	gone := list(2, true, entry("s-2", "up"))
	for name, lists := range map[string]lists{
		"draining": {cached, list(2, false, entry("s-1", "draining")),
			list(2, true, entry("s-1", "draining"), entry("s-2", "up"))},
		"removed":    {cached, list(2, false, entry("s-1", "removed")), gone},
		"not listed": {cached, gone, gone}, // an agent that has no deltas since then
	} {
		for _, first := range []firstCall{answered, unanswered, unfinished, unreachable} {
			for _, grace := range []time.Duration{200 * time.Millisecond, time.Second, 10 * time.Second} {
				t.Run(strings.Join([]string{name, first.String(), grace.String()}, " "), func(t *testing.T) {
					checkCachedSnapshotIsReplaced(t, grace, first, lists)
				})
			}
		}
	}
}

func checkCachedSnapshotIsReplaced(t *testing.T, grace time.Duration, first firstCall, lists lists) {
	t.Helper()
	latest := time.Duration(0)
	for seed := range uint64(5) { // the pause before the call is made anew is by chance
		synctest.Test(t, func(t *testing.T) {
			i := startInstance(t, seed, grace, first, lists)
			for time.Since(i.start) < 2*grace {
				i.send()
				time.Sleep(grace / 200)
			}
			if sent := i.sentTo("s-1"); len(sent) > 0 {
				latest = max(latest, sent[len(sent)-1])
			}
			stays := i.sentTo("s-2")
			if len(stays) == 0 || stays[len(stays)-1] < 2*grace*9/10 {
				t.Errorf("seed %d: %d attempts at the other, the last %v after the start",
					seed, len(stays), stays[max(len(stays)-1, 0):])
			}
		})
	}
	if latest == 0 || latest > grace {
		t.Errorf("the last attempt at the old backend came %v after the start; 0: none came", latest)
	}
	t.Logf("the last attempt at it came %v after the start", latest)
}
