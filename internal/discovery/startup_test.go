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

// firstCall is what happens to the first call after an instance's start. Later calls are answered.
type firstCall uint8

const (
	answered    firstCall = iota
	unanswered            // the call is received, but not answered
	unfinished            // only the first half of the answer is sent
	unreachable           // the connection is never established
)

func (f firstCall) String() string {
	return [...]string{"answered", "unanswered", "unfinished", "unreachable"}[f]
}

// lists are the list with which an instance starts, and the later list of the service as a delta and as a snapshot.
type lists struct{ cached, delta, snapshot string }

// instance is a dispatcher and its discovery client, connected as in the program, in a synctest bubble. Its network
// consists of pipes, and its clock advances only while all goroutines are blocked, so that times are exact however
// busy the machine is.
type instance struct {
	t          *testing.T
	dispatcher *dispatch.Dispatcher
	client     *Client
	service    *fakeDiscoveryService
	updates    atomic.Int64
	start      time.Time
	ids        map[string]policy.BackendID
	mu         sync.Mutex
	sent       map[policy.BackendID][]time.Duration // times since start, by backend
}

func (i *instance) SetAddress(policy.BackendID, string)             {}
func (i *instance) SetAddresses(policy.BackendID, []netip.AddrPort) {}
func (i *instance) RemoveBackend(policy.BackendID)                  {}
func (i *instance) ResetConnections(policy.BackendID)               {}
func (i *instance) CheckHealth(policy.BackendID)                    {}
func (i *instance) Add(policy.CounterKey, float64, time.Duration)   {}
func (i *instance) Flush()                                          {}
func (i *instance) Abandon(*dispatch.Attempt) bool                  { return false }

// UpdateEndpoints counts updates, and passes them to the dispatcher.
func (i *instance) UpdateEndpoints(kind policy.UpdateKind, endpoints []policy.Endpoint) {
	i.updates.Add(1)
	i.dispatcher.UpdateEndpoints(kind, endpoints)
}

// fakeDiscoveryService is a discovery service that has a list with index 2, while the instance starts with an older
// list. It answers as late as a service is allowed to.
type fakeDiscoveryService struct {
	first firstCall
	lists lists
	delay time.Duration
	calls atomic.Int64
}

func (s *fakeDiscoveryService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	isFirst := s.calls.Add(1) == 1
	if isFirst && s.first == unanswered {
		<-r.Context().Done()
		return
	}
	query := r.URL.Query()
	if query.Get("index") == "2" { // there are no changes
		wait, _ := time.ParseDuration(query.Get("wait") + "ms") // the client formats wait as a number
		sleepWhileConnected(r, wait)
		respond(w, list(2, false))
		return
	}
	sleepWhileConnected(r, s.delay)
	switch {
	case isFirst && s.first == unfinished:
		w.Header().Set("Content-Length", fmt.Sprint(len(s.lists.delta)))
		respond(w, s.lists.delta[:len(s.lists.delta)/2])
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	case query.Has("index"):
		respond(w, s.lists.delta)
	default:
		respond(w, s.lists.snapshot)
	}
}

// sleepWhileConnected sleeps for the given duration, or until the connection of the request ends.
func sleepWhileConnected(r *http.Request, duration time.Duration) {
	select {
	case <-time.After(duration):
	case <-r.Context().Done():
	}
}

// startInstance starts an instance as the program does, with the cached list in its configuration, and a discovery
// service that has a newer list.
func startInstance(t *testing.T, seed uint64, grace time.Duration, first firstCall, lists lists) *instance {
	t.Helper()
	listener := testutil.NewPipeListener()
	service := &fakeDiscoveryService{first: first, lists: lists, delay: grace / 4}
	server := &http.Server{Handler: service}
	go func() {
		_ = server.Serve(listener) // ends with the test
	}()
	i := &instance{
		t:          t,
		dispatcher: dispatch.New(),
		service:    service,
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
			<-listener.Closed() // the transport continues a dial after its call has been canceled
			return nil, net.ErrClosed
		}
		return listener.Dial()
	}
	i.dispatcher.Start(dispatch.Config{Seed: seed, Settings: configuration.Settings,
		Counter: i, HealthChecker: i, EndpointWatcher: i.client})
	if err := i.client.PublishCached(configuration.KnownEndpoints); err != nil {
		t.Fatal(err)
	}
	i.ids = maps.Clone(i.client.publisher.ids) // before the watch may use the map
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
		// An update may arrive between the submission of a request and the first byte of its attempt. The attempt is
		// then abandoned, and the request needs another attempt.
		MaxAttempts:      2,
		DrainGrace:       grace,
		SlowStartShare:   1,
		OverloadMultiple: 2,
		OverloadWindow:   1e9,
		Plans:            []policy.PlanSettings{{}},
		Classes:          []policy.ClassSettings{{LatencyObjective: 500e6, Deadline: 500e6}},
	}
}

// send sends a request, and records the times and backends of its attempts.
func (i *instance) send() {
	spec := dispatch.RequestSpec{Tenant: 1, Remaining: 500 * time.Millisecond, Units: 1, EntryPoints: 1}
	request := i.dispatcher.Submit(spec)
	for {
		step := request.NextStep()
		if step.Action != dispatch.Send {
			if step.Action != dispatch.Respond {
				i.t.Errorf("the last step of a request is %+v", step)
			}
			return
		}
		if step.Attempt.Start(i) {
			i.recordSent(step.Attempt.Backend)
			time.Sleep(time.Millisecond)
			step.Attempt.Report([]byte("ok"), 0, nil)
		}
	}
}

func (i *instance) recordSent(backend policy.BackendID) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.sent[backend] = append(i.sent[backend], time.Since(i.start))
}

// sentTo returns the times since start at which attempts were sent to the named backend.
func (i *instance) sentTo(name string) []time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.sent[i.ids[name]]
}

// TestStartup_CachedSnapshotIsReplacedWithinDrainGrace checks an instance that starts with an outdated list in its
// configuration. Later than the drain grace after its start, it must not send attempts to backends that have since
// begun to drain or been removed, even if its first call fails and must be retried. An earlier test with real processes
// did not cover the failure of the first call, because its discovery service always answered that call.
func TestStartup_CachedSnapshotIsReplacedWithinDrainGrace(t *testing.T) {
	// The start time is 0 because the bubble's clock begins in 2000: a backend that started later would be warming up.
	entry := func(name, status string) string {
		return strings.Replace(entry(name, status), "1700000000123", "0", 1)
	}
	cached := list(1, true, entry("s-1", "up"), entry("s-2", "up"))
	withoutOld := list(2, true, entry("s-2", "up"))
	for name, lists := range map[string]lists{
		"draining": {cached, list(2, false, entry("s-1", "draining")),
			list(2, true, entry("s-1", "draining"), entry("s-2", "up"))},
		"removed":    {cached, list(2, false, entry("s-1", "removed")), withoutOld},
		"not listed": {cached, withoutOld, withoutOld}, // a service that no longer has the delta
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
	latestToOld := time.Duration(0)
	for seed := range uint64(5) { // the delay before the call is retried is random
		synctest.Test(t, func(t *testing.T) {
			i := startInstance(t, seed, grace, first, lists)
			for time.Since(i.start) < 2*grace {
				i.send()
				time.Sleep(grace / 200)
			}
			if sentToOld := i.sentTo("s-1"); len(sentToOld) > 0 {
				latestToOld = max(latestToOld, sentToOld[len(sentToOld)-1])
			}
			sentToListed := i.sentTo("s-2")
			if len(sentToListed) == 0 || sentToListed[len(sentToListed)-1] < 2*grace*9/10 {
				t.Errorf("seed %d: %d attempts at the backend that stays listed, the last %v after the start",
					seed, len(sentToListed), sentToListed[max(len(sentToListed)-1, 0):])
			}
		})
	}
	if latestToOld == 0 || latestToOld > grace {
		t.Errorf("the last attempt at the old backend was sent %v after the start; 0 means that none was sent", latestToOld)
	}
	t.Logf("the last attempt at the old backend was sent %v after the start", latestToOld)
}
