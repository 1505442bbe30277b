package dispatch

import (
	"maps"
	"slices"
	"sync"
	"time"

	"fawnplank/internal/timerqueue"
	"fawnplank/policy"
)

// Counter adds units to numbers that all instances share. Add must not block; it may leave the sending to
// Flush. The results come back in HandleCounterResult.
type Counter interface {
	Add(key policy.CounterKey, units float64, lifetime time.Duration)
	Flush()
}

// HealthChecker checks a backend and reports the result to HandleHealthCheck. It must not block.
type HealthChecker interface {
	CheckHealth(backend policy.BackendID)
}

// EndpointWatcher starts to watch the list of backends, which it brings to UpdateEndpoints. It must not
// block, and is called with the dispatcher's lock held.
type EndpointWatcher interface {
	WatchEndpoints()
}

// Config is what a dispatcher works with from Start on.
type Config struct {
	// Seed is that of the engine's random numbers.
	Seed     uint64
	Settings policy.Settings
	// Each part may be nil where the settings never ask for it: the counter without a plan that has a rate,
	// the health checker without health checks, the endpoint watcher where no failed update is reported.
	Counter         Counter
	HealthChecker   HealthChecker
	EndpointWatcher EndpointWatcher
}

// Dispatcher is the engine of one instance with its clock, timers and requests in flight.
type Dispatcher struct {
	startedAt      time.Time // the monotonic clock's reading at New
	startedAtNanos int64     // the same moment as Unix time
	stopped        chan struct{}
	timerLoop      sync.WaitGroup

	counter         Counter
	healthChecker   HealthChecker
	endpointWatcher EndpointWatcher

	// mu guards the engine and all that follows, and the fields of requests and attempts.
	mu          sync.Mutex
	engine      *policy.Engine
	requests    map[policy.RequestID]*Request
	lastRequest policy.RequestID
	timers      timerqueue.Queue[timer]
	alarm       *time.Timer
	alarmAt     int64  // when the alarm goes off; 0: not set
	wakeMark    uint64 // of the latest wake-up that replaces those before it
	// What the engine asked for during a call, done once it has returned.
	endedAttempts  []endedAttempt
	counterCalled  bool
	healthChecksOf []policy.BackendID
}

// endedAttempt is an attempt that was ended during a call into the engine.
type endedAttempt struct {
	attempt *Attempt
	outcome policy.Outcome
}

// New makes a dispatcher. Start starts it: the parts that a Config names are made in between, since they
// report to it.
func New() *Dispatcher {
	d := &Dispatcher{
		startedAt: time.Now(),
		stopped:   make(chan struct{}),
		requests:  map[policy.RequestID]*Request{},
		alarm:     time.NewTimer(time.Hour),
	}
	d.startedAtNanos = d.startedAt.UnixNano()
	return d
}

// Start makes the engine and starts the timers. It is called once; before it, only Stop may be called.
func (d *Dispatcher) Start(config Config) {
	d.counter = config.Counter
	d.healthChecker = config.HealthChecker
	d.endpointWatcher = config.EndpointWatcher
	d.do(func(now int64) {
		d.engine = policy.New(now, config.Seed, config.Settings, effects{d})
	})
	d.timerLoop.Go(d.runTimers)
}

// Stop ends the timers and waits for the call that they are in, if any. It is called once, and not by an
// effect.
func (d *Dispatcher) Stop() {
	close(d.stopped)
	d.timerLoop.Wait()
}

// now is Unix time at New plus the monotonic time since: all instances name the same quota windows, and no
// step of the system's clock can turn time back.
func (d *Dispatcher) now() int64 { return d.startedAtNanos + int64(time.Since(d.startedAt)) }

// do makes one call into the engine under the lock and then, without it, what the engine asked of the
// network. A panic passes on to the caller, whose connection it ends, and leaves the lock free.
func (d *Dispatcher) do(call func(now int64)) {
	counterCalled, healthChecksOf := d.doLocked(call)
	if counterCalled {
		d.counter.Flush()
	}
	for _, backend := range healthChecksOf {
		d.healthChecker.CheckHealth(backend)
	}
}

// doLocked makes one call into the engine and reports the attempts that the call ended. It returns what is
// left to do without the lock.
func (d *Dispatcher) doLocked(call func(now int64)) (counterCalled bool, healthChecksOf []policy.BackendID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	defer d.setAlarm() // after a panic too, or else what is due would wait for the next call
	call(d.now())
	for len(d.endedAttempts) > 0 { // reporting one may end others
		ended := d.endedAttempts[0]
		d.endedAttempts = d.endedAttempts[1:]
		ended.attempt.settle(ended.outcome, 0)
	}
	counterCalled = d.counterCalled
	healthChecksOf = d.healthChecksOf
	d.counterCalled = false
	d.healthChecksOf = nil
	return counterCalled, healthChecksOf
}

// noteEnded notes that an attempt was ended, for its outcome to be reported once the engine's call has
// returned: the engine must not be called while it calls an effect.
func (d *Dispatcher) noteEnded(attempt *Attempt, outcome policy.Outcome) {
	d.endedAttempts = append(d.endedAttempts, endedAttempt{attempt, outcome})
}

// UpdateSettings gives the engine new settings. Their classes and plans extend the old ones: ids retain their
// meaning.
func (d *Dispatcher) UpdateSettings(settings policy.Settings) {
	d.do(func(int64) { d.engine.UpdateSettings(settings) })
}

// UpdateEndpoints brings the list of backends or changes to it. Attempts that wait for a connection to a
// backend that is now known to be draining or gone are not written any more: connecting may take longer than
// the backend stays.
func (d *Dispatcher) UpdateEndpoints(kind policy.UpdateKind, endpoints []policy.Endpoint) {
	d.do(func(now int64) {
		d.engine.UpdateEndpoints(now, kind, endpoints)
		d.cancelWaitingAttempts(kind, endpoints)
	})
}

// cancelWaitingAttempts cancels the attempts at backends that an update takes out of use and that have not
// started.
func (d *Dispatcher) cancelWaitingAttempts(kind policy.UpdateKind, endpoints []policy.Endpoint) {
	states := make(map[policy.BackendID]policy.EndpointState, len(endpoints))
	for _, endpoint := range endpoints {
		states[endpoint.Backend] = endpoint.State
	}
	isSnapshot := kind == policy.FullSnapshot || kind == policy.CachedSnapshot
	for _, id := range slices.Sorted(maps.Keys(d.requests)) { // in a fixed order, and so the effects
		for _, attempt := range d.requests[id].attempts {
			state, listed := states[attempt.Backend]
			outOfUse := listed && state != policy.EndpointReady || !listed && isSnapshot
			if outOfUse && attempt.state.load() == attemptWaiting {
				attempt.cancel(policy.NotSent)
			}
		}
	}
}

// HandleCounterResult brings the result of the oldest unanswered call for the key.
func (d *Dispatcher) HandleCounterResult(key policy.CounterKey, total float64, err error) {
	d.do(func(now int64) { d.engine.HandleCounterResult(now, outcomeOf(err), key, total) })
}

// HandleHealthCheck brings the result of a health check.
func (d *Dispatcher) HandleHealthCheck(backend policy.BackendID, err error) {
	d.do(func(now int64) { d.engine.HandleHealthCheck(now, backend, outcomeOf(err)) })
}

// QuotaStatus returns what is known of a tenant's quota, whose requests come in through so many instances. It
// counts nothing; ok is false where there is no such plan.
func (d *Dispatcher) QuotaStatus(
	tenant policy.TenantID, plan policy.PlanID, entries int,
) (status policy.QuotaStatus, ok bool) {
	d.do(func(now int64) { status, ok = d.engine.QuotaStatus(now, tenant, plan, entries) })
	return status, ok
}

// CounterStats returns the engine's statistics on the counter's failures.
func (d *Dispatcher) CounterStats() policy.CounterStats {
	var stats policy.CounterStats
	d.do(func(int64) { stats = d.engine.CounterStats() })
	return stats
}

// ExportState returns what the engine knows of the backends' latencies, for ImportState after a restart.
func (d *Dispatcher) ExportState() policy.WarmStartState {
	var state policy.WarmStartState
	d.do(func(int64) { state = d.engine.ExportState() })
	return state
}

// ImportState hands the engine what an earlier incarnation exported so long ago.
func (d *Dispatcher) ImportState(state policy.WarmStartState, age time.Duration) {
	d.do(func(now int64) { d.engine.ImportState(now, state, int64(age)) })
}

// OpenRequests returns the number of requests in flight.
func (d *Dispatcher) OpenRequests() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.requests)
}
