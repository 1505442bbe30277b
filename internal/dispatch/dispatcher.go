package dispatch

import (
	"sync"
	"time"

	"fawnplank/internal/monotime"
	"fawnplank/internal/timerqueue"
	"fawnplank/policy"
)

// Counter adds units to counts that all instances share. For every call of Add it calls
// Dispatcher.HandleCounterResult once, in the order of the calls for a key.
type Counter interface {
	// Add adds units to a count, which may be dropped after lifetime. It is called with the dispatcher's lock
	// held, so it must neither block nor report from within the call. It may leave the sending to Flush.
	Add(key policy.CounterKey, units float64, lifetime time.Duration)
	// Flush sends what Add has left. It may wait for the network: it is called without the dispatcher's lock, by
	// several goroutines at once.
	Flush()
}

// HealthChecker checks backends.
type HealthChecker interface {
	// CheckHealth starts a check and passes its result to Dispatcher.HandleHealthCheck. It must not block. It is
	// called without the dispatcher's lock, by several goroutines at once.
	CheckHealth(backend policy.BackendID)
}

// EndpointWatcher watches the list of backends.
type EndpointWatcher interface {
	// WatchEndpoints asks for the list, which is passed to Dispatcher.UpdateEndpoints. It is called with the
	// dispatcher's lock held, so it must neither block nor report from within the call.
	WatchEndpoints()
}

// Config configures a dispatcher; it is passed to Start.
type Config struct {
	// Seed is the seed of the engine's random number generator.
	Seed uint64
	// Settings are the engine's settings. UpdateSettings replaces them.
	Settings policy.Settings
	// Counter may be nil if no plan has a rate.
	Counter Counter
	// HealthChecker may be nil if health checks are off.
	HealthChecker HealthChecker
	// EndpointWatcher may be nil if no failed update is ever reported.
	EndpointWatcher EndpointWatcher
}

// initialAlarm is how long the alarm of a new dispatcher runs. Start sets it to the engine's first timer.
const initialAlarm = time.Hour

// Dispatcher runs the engine of one instance, with its clock, its timers and its requests in flight. Its
// methods are safe for concurrent use after Start and before Stop.
type Dispatcher struct {
	startedAt     time.Time      // the monotonic clock's reading at New
	startedAtUnix policy.Instant // the same moment, as Unix time
	stopped       chan struct{}
	timerLoop     sync.WaitGroup

	counter         Counter
	healthChecker   HealthChecker
	endpointWatcher EndpointWatcher

	// mu guards the engine and all fields below, and the fields of requests and attempts.
	mu          sync.Mutex
	engine      *policy.Engine
	requests    map[policy.RequestID]*Request
	lastRequest policy.RequestID
	timers      timerqueue.Queue[timer]
	alarm       *time.Timer           // wakes runTimers
	alarmAt     policy.Instant        // when the alarm goes off; zero: not set
	latestWake  policy.TimerID        // the latest wake-up that replaces earlier ones
	wallNow     func() policy.Instant // the wall clock, as Unix time
	starts      startTimes            // of backends
	// What the engine requested during a call; it is carried out once that call has returned.
	endedAttempts []endedAttempt
	networkWork   networkWork
}

// networkWork is what remains to be done without the lock after a call into the engine.
type networkWork struct {
	flushCounter    bool
	backendsToCheck []policy.BackendID
}

// endedAttempt is an attempt that was ended during a call into the engine.
type endedAttempt struct {
	attempt *Attempt
	outcome policy.Outcome
}

// New returns a dispatcher that Start must start. The two are separate because the parts named in Config
// report to the dispatcher, so they are created after New and before Start.
func New() *Dispatcher {
	d := &Dispatcher{
		startedAt: time.Now(),
		wallNow:   func() policy.Instant { return monotime.FromNanos(time.Now().UnixNano()) },
		stopped:   make(chan struct{}),
		requests:  map[policy.RequestID]*Request{},
		alarm:     time.NewTimer(initialAlarm),
	}
	d.startedAtUnix = monotime.FromNanos(d.startedAt.UnixNano())
	return d
}

// Start creates the engine and starts the timers. It must be called once. Before Start, only Stop may be
// called.
func (d *Dispatcher) Start(config Config) {
	d.counter = config.Counter
	d.healthChecker = config.HealthChecker
	d.endpointWatcher = config.EndpointWatcher
	d.do(func(now policy.Instant) {
		d.engine = policy.New(policy.Options{
			Now:      now,
			Seed:     config.Seed,
			Settings: config.Settings,
			Effects:  effects{d},
		})
	})
	d.timerLoop.Go(d.runTimers)
}

// Stop stops the timers and waits until the timer call in progress, if any, has returned. It must be called
// once, and not from an effect.
func (d *Dispatcher) Stop() {
	close(d.stopped)
	d.timerLoop.Wait()
}

// now returns the Unix time at New plus the monotonic time elapsed since. Unix time makes all instances name
// the same quota windows; the monotonic clock ensures that a step of the system clock never moves time
// backwards.
func (d *Dispatcher) now() policy.Instant { return d.startedAtUnix.Add(time.Since(d.startedAt)) }

// do makes one call into the engine with the lock held, then carries out what the engine requested of the
// network without the lock. A panic propagates to the caller, whose connection it ends, once the lock is released
// and the same has been done.
func (d *Dispatcher) do(call func(now policy.Instant)) {
	var work networkWork
	defer func() { d.carryOut(work) }()
	d.callEngine(call, &work)
}

// carryOut does what the engine requested of the network. It is called without the lock.
func (d *Dispatcher) carryOut(work networkWork) {
	if work.flushCounter {
		d.counter.Flush()
	}
	for _, backend := range work.backendsToCheck {
		d.healthChecker.CheckHealth(backend)
	}
}

// callEngine takes the lock for one call into the engine, and reports the attempts that the call ended. It sets
// work to what remains to be done without the lock. All of it is done after a panic too: otherwise other requests
// would wait for the next call, and due timers for the next alarm.
func (d *Dispatcher) callEngine(call func(now policy.Instant), work *networkWork) {
	d.mu.Lock()
	defer d.mu.Unlock()
	defer d.setAlarm()
	defer func() {
		*work = d.networkWork
		d.networkWork = networkWork{}
	}()
	defer d.settleEnded()
	call(d.now())
}

// settleEnded reports the attempts that a call into the engine ended. The caller holds the lock.
func (d *Dispatcher) settleEnded() {
	for len(d.endedAttempts) > 0 { // reporting one may end others
		ended := d.endedAttempts[0]
		d.endedAttempts = d.endedAttempts[1:]
		if ended.attempt.request.engineRequest == nil {
			continue // the engine panicked in Submit, and knows no such request
		}
		ended.attempt.settle(ended.outcome, 0)
	}
}

// noteEnded records that an attempt ended, so that its outcome is reported once the engine's call has
// returned: the engine must not be called while it calls an effect.
func (d *Dispatcher) noteEnded(attempt *Attempt, outcome policy.Outcome) {
	d.endedAttempts = append(d.endedAttempts, endedAttempt{attempt, outcome})
}

// UpdateSettings gives the engine new settings. Their classes and plans must extend the old ones, so that ids
// keep their meaning.
func (d *Dispatcher) UpdateSettings(settings policy.Settings) {
	d.do(func(policy.Instant) { d.engine.UpdateSettings(settings) })
}

// HandleCounterResult passes the result of the oldest unanswered counter call for the key to the engine: the
// count after the call, in units, or the error with which the call ended, as for Attempt.Report.
func (d *Dispatcher) HandleCounterResult(key policy.CounterKey, total float64, err error) {
	result := policy.CounterResult{Key: key, Outcome: outcomeOf(err), Total: total}
	d.do(func(now policy.Instant) { d.engine.HandleCounterResult(now, result) })
}

// HandleHealthCheck passes the result of a health check to the engine: nil, or an error as for Attempt.Report.
func (d *Dispatcher) HandleHealthCheck(backend policy.BackendID, err error) {
	outcome := outcomeOf(err)
	d.do(func(now policy.Instant) { d.engine.HandleHealthCheck(now, backend, outcome) })
}

// QuotaStatus returns what is known of a tenant's quota. It counts nothing. ok is false if there is no such
// plan.
func (d *Dispatcher) QuotaStatus(query policy.QuotaQuery) (status policy.QuotaStatus, ok bool) {
	d.do(func(now policy.Instant) { status, ok = d.engine.QuotaStatus(now, query) })
	return status, ok
}

// CounterStats returns the engine's statistics on the counter's failures.
func (d *Dispatcher) CounterStats() policy.CounterStats {
	var stats policy.CounterStats
	d.do(func(policy.Instant) { stats = d.engine.CounterStats() })
	return stats
}

// ExportState returns what the engine knows of the backends' latencies, for ImportState after a restart.
func (d *Dispatcher) ExportState() policy.WarmStartState {
	var state policy.WarmStartState
	d.do(func(policy.Instant) { state = d.engine.ExportState() })
	return state
}

// ImportState gives the engine the state that an earlier process exported; age is the time since that export.
func (d *Dispatcher) ImportState(state policy.WarmStartState, age time.Duration) {
	d.do(func(now policy.Instant) { d.engine.ImportState(now, state, age) })
}

// RequestsInFlight returns the number of requests in flight.
func (d *Dispatcher) RequestsInFlight() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.requests)
}
