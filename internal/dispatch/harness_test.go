package dispatch

import (
	"errors"
	"io"
	"math/rand"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"fawnplank/policy"
)

// fakeNetwork stands in for the network: each call of the counter, attempt and health check ends in a way and
// at a time given by chance. It is the counter, the health checker and the endpoint watcher of its
// dispatcher, and lives in a synctest bubble.
type fakeNetwork struct {
	t          *testing.T
	dispatcher *Dispatcher
	script     *rand.Rand // of what the test does
	results    *rand.Rand // of the counter's results; mu guards it
	mu         sync.Mutex
	states     map[policy.BackendID]policy.EndpointState // once the dispatcher has been notified
	watches    atomic.Int32
}

var testSettings = policy.Settings{
	Instances:         1,
	MaxAttempts:       3,
	Hedging:           true,
	Cancellation:      true,
	HealthChecks:      true,
	RetryAfter:        true,
	MaxRetryAfter:     1e9,
	CounterEnabled:    true,
	CounterTimeout:    80e6,
	SlowStartShare:    0.2,
	SlowStartDuration: 5e9,
	OverloadMultiple:  2,
	OverloadWindow:    1e9,
	Classes: []policy.ClassSettings{
		{LatencyObjective: 500e6, Deadline: 1500e6},
		{LatencyObjective: 500e6, Deadline: 1500e6, Idempotency: policy.NonIdempotent},
	},
	Plans: []policy.PlanSettings{{}, {Rate: 50, Burst: 20}},
}

// withNetwork runs test with a started dispatcher and two ready backends, 1 and 2, in a bubble of its own.
func withNetwork(t *testing.T, seed int64, settings policy.Settings, test func(n *fakeNetwork)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		n := &fakeNetwork{
			t:          t,
			dispatcher: New(),
			script:     rand.New(rand.NewSource(seed)),
			results:    rand.New(rand.NewSource(seed)),
			states:     map[policy.BackendID]policy.EndpointState{},
		}
		n.dispatcher.Start(Config{Seed: 9, Settings: settings,
			Counter: n, HealthChecker: n, EndpointWatcher: n})
		n.updateEndpoints(policy.CachedSnapshot, policy.Endpoint{Backend: 1, State: policy.EndpointReady},
			policy.Endpoint{Backend: 2, State: policy.EndpointReady})
		test(n)
		n.dispatcher.Stop()
		synctest.Wait()
	})
}

// Add answers a call of the counter: two in eight fail.
func (n *fakeNetwork) Add(key policy.CounterKey, units float64, _ time.Duration) {
	n.mu.Lock()
	delay := time.Duration(n.results.Intn(90)) * time.Millisecond
	result := n.results.Intn(8)
	n.mu.Unlock()
	time.AfterFunc(delay, func() {
		switch result {
		case 0:
			n.dispatcher.HandleCounterResult(key, 0, ErrRejected)
		case 1:
			n.dispatcher.HandleCounterResult(key, 0, ErrTimeout)
		default:
			n.dispatcher.HandleCounterResult(key, units, nil)
		}
	})
}

func (n *fakeNetwork) Flush() {}

func (n *fakeNetwork) WatchEndpoints() { n.watches.Add(1) }

func (n *fakeNetwork) CheckHealth(backend policy.BackendID) {
	time.AfterFunc(10*time.Millisecond, func() { n.dispatcher.HandleHealthCheck(backend, nil) })
}

// updateEndpoints notifies the dispatcher, and remembers the states from then on.
func (n *fakeNetwork) updateEndpoints(kind policy.UpdateKind, endpoints ...policy.Endpoint) {
	n.dispatcher.UpdateEndpoints(kind, endpoints)
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, endpoint := range endpoints {
		n.states[endpoint.Backend] = endpoint.State
	}
}

func (n *fakeNetwork) isReady(backend policy.BackendID) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.states[backend] == policy.EndpointReady
}

// submit submits a request of the first tenant that costs one unit, of a plan without quotas.
func (n *fakeNetwork) submit(class policy.ClassID, timeout time.Duration) *Request {
	return n.dispatcher.Submit(RequestSpec{Class: class, Tenant: 1, Remaining: timeout, Units: 1, EntryPoints: 1})
}

// serve does what the frontend does for a request: it has each attempt carried out, and returns the final
// step.
func serve(request *Request, carryOut func(*Attempt)) Step {
	for {
		step := request.NextStep()
		if step.Action != Send {
			return step
		}
		go carryOut(step.Attempt)
	}
}

// fakeConn is the connection of one attempt.
type fakeConn struct {
	mu        sync.Mutex
	writing   bool
	abandoned chan struct{}
}

func newFakeConn(writing bool) *fakeConn {
	return &fakeConn{writing: writing, abandoned: make(chan struct{})}
}

func (c *fakeConn) Abandon(*Attempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.abandoned)
	return c.writing
}

// endWriting reports whether the attempt was abandoned while it was being written.
func (c *fakeConn) endWriting() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = false
	return c.isAbandoned()
}

func (c *fakeConn) isAbandoned() bool {
	select {
	case <-c.abandoned:
		return true
	default:
		return false
	}
}

// randomAttempts carries out a request's attempts by chance: each connects, perhaps never starts, is written,
// perhaps not whole, and ends in any way.
type randomAttempts struct {
	network    *fakeNetwork
	seed       int64
	mayHaveRun atomic.Int32 // how many may have run
}

func (n *fakeNetwork) randomAttempts() *randomAttempts {
	return &randomAttempts{network: n, seed: n.script.Int63()}
}

func (r *randomAttempts) carryOut(attempt *Attempt) {
	chance := rand.New(rand.NewSource(r.seed + int64(attempt.id)))
	time.Sleep(time.Duration(chance.Intn(100)) * time.Millisecond)
	slowWrite := chance.Intn(4) == 0
	conn := newFakeConn(slowWrite)
	ready := r.network.isReady(attempt.Backend)
	if !attempt.Start(conn) {
		return
	}
	if !ready {
		r.network.t.Errorf("attempt started at backend %d, known not to be ready", attempt.Backend)
	}
	if attempt.Remaining() < 0 {
		r.network.t.Error("attempt started after its deadline")
	}
	if slowWrite && !writeSlowly(conn, chance) {
		attempt.Report(nil, 0, &NetworkError{Writing, io.ErrShortWrite})
		return
	}
	r.mayHaveRun.Add(1)
	select {
	case <-conn.abandoned:
		return
	case <-time.After(time.Duration(chance.Intn(700)) * time.Millisecond):
	}
	results := []error{nil, nil, ErrBackendFailed, ErrRejected,
		&NetworkError{Written, io.EOF}, &NetworkError{Answering, io.EOF}}
	result := results[chance.Intn(len(results))]
	if errors.Is(result, ErrRejected) {
		r.mayHaveRun.Add(-1)
	}
	attempt.Report([]byte("value"), 0, result)
}

// writeSlowly writes up to two seconds, and reports whether all was written.
func writeSlowly(conn *fakeConn, chance *rand.Rand) bool {
	select {
	case <-conn.abandoned: // closing a connection ends the writing at once
	case <-time.After(time.Duration(chance.Intn(2000)) * time.Millisecond):
	}
	return !conn.endWriting()
}
