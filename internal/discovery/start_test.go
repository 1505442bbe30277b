package discovery

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"fawnplank/internal/config"
	"fawnplank/internal/dispatch"
	"fawnplank/policy"
)

// silence is what the first call after a door's start meets. Calls after it are answered.
type silence uint8

const (
	none       silence = iota
	unanswered         // the call is taken, and never answered
	unfinished         // its answer stops half way
	unreached          // its connection never comes up
)

// door is a front door's decisions and its watch, wired as the program does, in a bubble of synctest: its network is
// pipes, and its clock moves only while all wait, so that moments are exact, however busy the machine is.
type door struct {
	t      *testing.T
	facade *dispatch.Dispatcher
	client *Client
	began  time.Time
	over   atomic.Bool
	old    policy.BackendID // s-1
	stays  policy.BackendID // s-2
	mu     sync.Mutex
	sent   map[policy.BackendID][]time.Duration // after the start
}

func (d *door) SetAddress(policy.BackendID, string)             {}
func (d *door) SetAddresses(policy.BackendID, []netip.AddrPort) {}
func (d *door) Forget(policy.BackendID)                         {}
func (d *door) CheckHealth(policy.BackendID)                    {}
func (d *door) Add(policy.CounterKey, float64, time.Duration)   {}
func (d *door) Flush()                                          {}
func (d *door) Abandon(*dispatch.Attempt) bool                  { return false }

// UpdateEndpoints passes the lists on. After the test's end it ends the watch, which has no end of its own and may not outlive
// the bubble.
func (d *door) UpdateEndpoints(how policy.UpdateKind, list []policy.Endpoint) {
	if d.over.Load() {
		runtime.Goexit()
	}
	d.facade.UpdateEndpoints(how, list)
}

// pipes is a listener for connections within the bubble.
type pipes struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}
func (p *pipes) Close() error   { p.once.Do(func() { close(p.closed) }); return nil }
func (p *pipes) Addr() net.Addr { return &net.UnixAddr{Name: "pipe", Net: "pipe"} }

// rest waits for a while, or for the end of the connection.
func rest(r *http.Request, d time.Duration) {
	select {
	case <-time.After(d):
	case <-r.Context().Done():
	}
}

// start starts a door as the program does, with a list of its configuration, beside an agent that has another since: it
// tells what has changed, or the whole list.
func start(t *testing.T, seed uint64, grace time.Duration, first silence, known, changes, whole string) *door {
	var calls atomic.Int64
	l := &pipes{conns: make(chan net.Conn), closed: make(chan struct{})}
	agent := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n := calls.Add(1)
		if n == 1 && first == unanswered {
			<-r.Context().Done()
			return
		}
		query := r.URL.Query()
		if query.Get("index") == "2" { // no further news
			wait, _ := time.ParseDuration(query.Get("wait") + "ms")
			rest(r, wait)
			fmt.Fprint(w, lines(2, false))
			return
		}
		rest(r, grace/4) // as late as an answer may be
		if n == 1 && first == unfinished {
			w.Header().Set("Content-Length", fmt.Sprint(len(changes)))
			fmt.Fprint(w, changes[:len(changes)/2])
			w.(http.Flusher).Flush()
			<-r.Context().Done()
			return
		}
		if query.Has("index") {
			fmt.Fprint(w, changes)
			return
		}
		fmt.Fprint(w, whole)
	})}
	go agent.Serve(l)
	d := &door{t: t, facade: dispatch.New(), began: time.Now(), sent: map[policy.BackendID][]time.Duration{}}
	s := &config.Config{Discovery: "agent:1", KnownEndpoints: []byte(known), Zones: []string{"a"}, Settings: policy.Settings{Instances: 1, MaxAttempts: 1,
		DrainGrace: int64(grace), SlowStartShare: 1, OverloadMultiple: 2, OverloadWindow: 1e9, Plans: []policy.PlanSettings{{}},
		Classes: []policy.ClassSettings{{LatencyObjective: 500e6, Deadline: 500e6}}}}
	d.client = New(Options{Subscriber: d, AddressBook: d, Config: s})
	var dials atomic.Int64
	d.client.http.Transport.(*http.Transport).DialContext = func(context.Context, string, string) (net.Conn, error) {
		if dials.Add(1) == 1 && first == unreached {
			<-l.closed // a dial goes on for calls to come when its own has been given up
			return nil, net.ErrClosed
		}
		c, far := net.Pipe()
		select {
		case l.conns <- far:
			return c, nil
		case <-l.closed:
			return nil, net.ErrClosed
		}
	}
	d.facade.Start(dispatch.Config{Seed: seed, Settings: s.Settings, Counter: d, HealthChecker: d,
		EndpointWatcher: d.client})
	if err := d.client.LoadSnapshot(s.KnownEndpoints); err != nil {
		t.Fatal(err)
	}
	d.old, d.stays = d.client.ids["s-1"], d.client.ids["s-2"]
	d.client.WatchEndpoints()
	t.Cleanup(func() {
		d.over.Store(true)
		agent.Close()
		d.client.WatchEndpoints() // if it waits for the decisions to ask
		d.facade.Stop()
	})
	return d
}

// send sends a transaction, and notes when and where to.
func (d *door) send() {
	tx := d.facade.Submit(dispatch.RequestSpec{Tenant: 1, Timeout: 500 * time.Millisecond, Units: 1, EntryPoints: 1})
	for {
		step := tx.NextStep()
		if step.Action != dispatch.Send {
			if step.Action != dispatch.Respond {
				d.t.Errorf("a transaction ended as %+v", step)
			}
			return
		}
		if step.Attempt.Begin(d) {
			d.mu.Lock()
			d.sent[step.Attempt.Backend] = append(d.sent[step.Attempt.Backend], time.Since(d.began))
			d.mu.Unlock()
			time.Sleep(time.Millisecond)
			step.Attempt.Report([]byte("ok"), 0, nil)
		}
	}
}

// A door that starts with a list of long ago in its configuration sends to no backend that has begun to drain or is gone
// since, later than the drain's grace after its start: also where its first call is never answered, and is made anew. The
// case by processes that this takes the place of passed whatever became of a call, since its agent answered the first.
func TestAnOldKnownListIsLeftWithinTheGrace(t *testing.T) {
	// Long ago: the bubble's clock begins in 2000, and a backend that is yet to start counts as cold.
	entry := func(name, status string) string { return strings.Replace(entry(name, status), "1700000000123", "0", 1) }
	known := lines(1, true, entry("s-1", "up"), entry("s-2", "up"))
	drains, gone := lines(2, true, entry("s-1", "draining"), entry("s-2", "up")), lines(2, true, entry("s-2", "up"))
	for name, news := range map[string]struct{ changes, whole string }{
		"draining":   {lines(2, false, entry("s-1", "draining")), drains},
		"removed":    {lines(2, false, entry("s-1", "removed")), gone},
		"not listed": {gone, gone}, // an agent that knows no changes since then
	} {
		for first, met := range []string{"answered", "unanswered", "unfinished", "unreached"} {
			for _, grace := range []time.Duration{200 * time.Millisecond, time.Second, 10 * time.Second} {
				t.Run(strings.Join([]string{name, met, grace.String()}, " "), func(t *testing.T) {
					latest := time.Duration(0)
					for seed := range uint64(5) { // the pause before the call is made anew is by chance
						synctest.Test(t, func(t *testing.T) {
							d := start(t, seed, grace, silence(first), known, news.changes, news.whole)
							for time.Since(d.began) < 2*grace {
								d.send()
								time.Sleep(grace / 200)
							}
							d.mu.Lock()
							defer d.mu.Unlock()
							if to := d.sent[d.old]; len(to) > 0 {
								latest = max(latest, to[len(to)-1])
							}
							if to := d.sent[d.stays]; len(to) == 0 || to[len(to)-1] < 2*grace*9/10 {
								t.Errorf("seed %d: %d sends to the other, the last %v after the start", seed, len(to), to[max(len(to)-1, 0):])
							}
						})
					}
					if latest == 0 || latest > grace {
						t.Errorf("the last send to the old backend came %v after the start; 0: none came", latest)
					}
					t.Logf("the last send to it came %v after the start", latest)
				})
			}
		}
	}
}
