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

// fakeNetwork replaces the network: counter calls and attempts end with random results after random delays, and
// health checks succeed. It is the counter, the health checker and the endpoint watcher of its dispatcher, and runs
// in a synctest bubble.
type fakeNetwork struct {
	t              *testing.T
	dispatcher     *Dispatcher
	scenarioRand   *rand.Rand // for the actions of the test
	counterRand    *rand.Rand // for the counter's results; mu guards it
	mu             sync.Mutex
	endpointStates map[policy.BackendID]policy.EndpointState // as last passed to the dispatcher
	watchCalls     atomic.Int32
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

// withFakeNetwork runs test with a started dispatcher and two ready backends, 1 and 2, in its own bubble.
func withFakeNetwork(t *testing.T, seed int64, settings policy.Settings, test func(n *fakeNetwork)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		n := &fakeNetwork{
			t:              t,
			dispatcher:     New(),
			scenarioRand:   rand.New(rand.NewSource(seed)),
			counterRand:    rand.New(rand.NewSource(seed)),
			endpointStates: map[policy.BackendID]policy.EndpointState{},
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

// Add answers a counter call after a random delay; one in four fails.
func (n *fakeNetwork) Add(key policy.CounterKey, units float64, _ time.Duration) {
	n.mu.Lock()
	delay := time.Duration(n.counterRand.Intn(90)) * time.Millisecond
	result := n.counterRand.Intn(8)
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

func (n *fakeNetwork) WatchEndpoints() { n.watchCalls.Add(1) }

func (n *fakeNetwork) CheckHealth(backend policy.BackendID) {
	time.AfterFunc(10*time.Millisecond, func() { n.dispatcher.HandleHealthCheck(backend, nil) })
}

// updateEndpoints passes an update to the dispatcher, then records the states of its endpoints.
func (n *fakeNetwork) updateEndpoints(kind policy.UpdateKind, endpoints ...policy.Endpoint) {
	n.dispatcher.UpdateEndpoints(kind, endpoints)
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, endpoint := range endpoints {
		n.endpointStates[endpoint.Backend] = endpoint.State
	}
}

func (n *fakeNetwork) isReady(backend policy.BackendID) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.endpointStates[backend] == policy.EndpointReady
}

// submit submits a request of tenant 1 that costs one unit, on a plan without quotas.
func (n *fakeNetwork) submit(class policy.ClassID, timeout time.Duration) *Request {
	return n.dispatcher.Submit(RequestSpec{Class: class, Tenant: 1, Remaining: timeout, Units: 1, EntryPoints: 1})
}

// serve does what the frontend does for a request: it runs each attempt and returns the final step.
func serve(request *Request, runAttempt func(*Attempt)) Step {
	for {
		step := request.NextStep()
		if step.Action != Send {
			return step
		}
		go runAttempt(step.Attempt)
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

// finishWriting ends the writing and reports whether the attempt was abandoned before.
func (c *fakeConn) finishWriting() bool {
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

// randomAttempts runs the attempts of a request at random: each waits for its connection, may be canceled before it
// starts, may be written only in part, and ends with a random result.
type randomAttempts struct {
	network    *fakeNetwork
	seed       int64
	mayHaveRun atomic.Int32 // number of attempts that may have run
}

func (n *fakeNetwork) randomAttempts() *randomAttempts {
	return &randomAttempts{network: n, seed: n.scenarioRand.Int63()}
}

func (r *randomAttempts) run(attempt *Attempt) {
	random := rand.New(rand.NewSource(r.seed + int64(attempt.id)))
	time.Sleep(time.Duration(random.Intn(100)) * time.Millisecond)
	slowWrite := random.Intn(4) == 0
	conn := newFakeConn(slowWrite)
	ready := r.network.isReady(attempt.Backend)
	if !attempt.Start(conn) {
		return
	}
	if !ready {
		r.network.t.Errorf("attempt started at backend %d, which is not ready", attempt.Backend)
	}
	if attempt.Remaining() < 0 {
		r.network.t.Error("attempt started after its result deadline")
	}
	if slowWrite && !writeSlowly(conn, random) {
		attempt.Report(nil, 0, &NetworkError{Writing, io.ErrShortWrite})
		return
	}
	r.mayHaveRun.Add(1)
	select {
	case <-conn.abandoned:
		return
	case <-time.After(time.Duration(random.Intn(700)) * time.Millisecond):
	}
	results := []error{nil, nil, ErrBackendFailed, ErrRejected,
		&NetworkError{Written, io.EOF}, &NetworkError{Answering, io.EOF}}
	result := results[random.Intn(len(results))]
	if errors.Is(result, ErrRejected) {
		r.mayHaveRun.Add(-1)
	}
	attempt.Report([]byte("value"), 0, result)
}

// writeSlowly takes up to two seconds to write, and reports whether everything was written.
func writeSlowly(conn *fakeConn, random *rand.Rand) bool {
	select {
	case <-conn.abandoned: // closing a connection ends the writing immediately
	case <-time.After(time.Duration(random.Intn(2000)) * time.Millisecond):
	}
	return !conn.finishWriting()
}
