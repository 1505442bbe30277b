package dispatch

import (
	"sync"
	"time"

	"fawnplank/internal/monotime"
	"fawnplank/internal/timerqueue"
	"fawnplank/policy"
)

// Counter adds units to counts that all instances share. For every call of Add it calls
// Dispatcher.HandleCounterResult once; for each key, the results come in the order of the calls.
type Counter interface {
	// Add adds units to a count, which the counter may delete after lifetime. It is called with the dispatcher's
	// lock held, so it must neither block nor call HandleCounterResult itself. It may leave the sending to Flush.
	Add(key policy.CounterKey, units float64, lifetime time.Duration)
	// Flush sends the calls that Add has not sent. It may wait for the network. It is called without the
	// dispatcher's lock, by several goroutines at once.
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
	// WatchEndpoints requests the list, which is then passed to Dispatcher.UpdateEndpoints. It is called with the
	// dispatcher's lock held, so it must neither block nor call UpdateEndpoints itself.
	WatchEndpoints()
}

// Config configures a dispatcher; it is passed to Start.
type Config struct {
	// Seed is the seed of the engine's random number generator.
	Seed uint64
	// Settings are the engine's settings. UpdateSettings replaces them.
	Settings policy.Settings
	// Counter may be nil if no plan has a rate limit.
	Counter Counter
	// HealthChecker may be nil if health checks are off.
	HealthChecker HealthChecker
	// EndpointWatcher may be nil if no failed update is ever reported.
	EndpointWatcher EndpointWatcher
}

// initialTimerDelay is the delay of the queue timer until Start resets it to the engine's first timer.
const initialTimerDelay = time.Hour

// Dispatcher runs the engine of one instance, with its clock, its timers and its requests in flight. Its
// methods are safe for concurrent use after Start and before Stop.
type Dispatcher struct {
	startedAt     time.Time      // the time of New, with a monotonic clock reading
	startedAtUnix policy.Instant // the same time, as Unix time
	stopped       chan struct{}
	timerLoop     sync.WaitGroup

	counter         Counter
	healthChecker   HealthChecker
	endpointWatcher EndpointWatcher

	// mu guards the engine and all fields below, and the fields of requests and attempts.
	mu            sync.Mutex
	engine        *policy.Engine
	requests      map[policy.RequestID]*Request
	lastRequestID policy.RequestID
	timers        timerqueue.Queue[timer]
	queueTimer    *time.Timer           // wakes runTimers when the earliest timer is due
	queueTimerDue policy.Instant        // when queueTimer fires; zero: not set
	latestWakeUp  policy.TimerID        // id of the latest wake-up that replaces earlier ones
	wallNow       func() policy.Instant // the wall clock, as Unix time
	backendStarts startTimes            // when the backends started
	incarnations  incarnations          // of the backends that are listed
	// The effects that the engine requested during a call. They are carried out after that call has returned.
	endedAttempts []endedAttempt
	networkWork   networkWork
}

// networkWork is the network work that the engine requested during a call. It is done without the lock, after the
// call.
type networkWork struct {
	flushCounter    bool
	backendsToCheck []policy.BackendID
}

// endedAttempt is an attempt that was ended during a call into the engine.
type endedAttempt struct {
	attempt *Attempt
	outcome policy.Outcome
}

// New returns a dispatcher that is not started yet. New and Start are separate because the components in Config
// report to the dispatcher, so they are created after New and before Start.
func New() *Dispatcher {
	d := &Dispatcher{
		startedAt:    time.Now(),
		wallNow:      func() policy.Instant { return monotime.FromNanos(time.Now().UnixNano()) },
		stopped:      make(chan struct{}),
		requests:     map[policy.RequestID]*Request{},
		queueTimer:   time.NewTimer(initialTimerDelay),
		incarnations: incarnations{},
	}
	d.startedAtUnix = monotime.FromNanos(d.startedAt.UnixNano())
	return d
}

// Start creates the engine and starts the timers. It must be called once. No other method except Stop may be
// called before it.
func (d *Dispatcher) Start(config Config) {
	d.counter = config.Counter
	d.healthChecker = config.HealthChecker
	d.endpointWatcher = config.EndpointWatcher
	d.callEngine(func(now policy.Instant) {
		d.engine = policy.New(policy.Options{
			Now:      now,
			Seed:     config.Seed,
			Settings: config.Settings,
			Effects:  effects{d},
		})
	})
	d.timerLoop.Go(d.runTimers)
}

// Stop stops the timers and waits until the timers that are being handled, if any, are done. It must be called
// once, and not from within an effect.
func (d *Dispatcher) Stop() {
	close(d.stopped)
	d.timerLoop.Wait()
}

// now returns the Unix time at New plus the monotonic time elapsed since. Unix time gives all instances the same
// boundaries of quota windows; the monotonic clock ensures that a step of the system clock never moves time
// backwards.
func (d *Dispatcher) now() policy.Instant { return d.startedAtUnix.Add(time.Since(d.startedAt)) }

// callEngine makes one call into the engine with the lock held, then does the network work that the engine
// requested, without the lock. A panic in the engine propagates to the caller, whose connection it ends, but only
// after the lock is released and the network work is done.
func (d *Dispatcher) callEngine(call func(now policy.Instant)) {
	var work networkWork
	defer func() { d.runNetworkWork(work) }()
	d.callEngineWithLock(call, &work)
}

// runNetworkWork does the network work that the engine requested. It is called without the lock.
func (d *Dispatcher) runNetworkWork(work networkWork) {
	if work.flushCounter {
		d.counter.Flush()
	}
	for _, backend := range work.backendsToCheck {
		d.healthChecker.CheckHealth(backend)
	}
}

// callEngineWithLock takes the lock, makes one call into the engine, and reports the attempts that the call ended. It
// sets work to the network work that the engine requested. All of this happens after a panic too: otherwise the
// requests of these attempts would wait until the next call, and due timers until the queue timer fires again.
func (d *Dispatcher) callEngineWithLock(call func(now policy.Instant), work *networkWork) {
	d.mu.Lock()
	defer d.mu.Unlock()
	defer d.resetQueueTimer()
	defer func() {
		*work = d.networkWork
		d.networkWork = networkWork{}
	}()
	defer d.settleEndedAttempts()
	call(d.now())
}

// settleEndedAttempts passes the outcomes of the attempts that a call ended to the engine. The caller holds the lock.
func (d *Dispatcher) settleEndedAttempts() {
	for len(d.endedAttempts) > 0 { // settling an attempt may end others
		ended := d.endedAttempts[0]
		d.endedAttempts = d.endedAttempts[1:]
		if ended.attempt.request.engineRequest == nil {
			continue // the engine panicked in Submit, so it has no handle for this request
		}
		ended.attempt.settle(ended.outcome, 0)
	}
}

// recordEndedAttempt records that an attempt ended. Its outcome is passed to the engine after the current call has
// returned, since the engine must not be called while it calls an effect. The caller holds the lock.
func (d *Dispatcher) recordEndedAttempt(attempt *Attempt, outcome policy.Outcome) {
	d.endedAttempts = append(d.endedAttempts, endedAttempt{attempt, outcome})
}

// UpdateSettings replaces the engine's settings. The new lists of classes and plans must extend the old ones, so
// that every id continues to name the same class or plan.
func (d *Dispatcher) UpdateSettings(settings policy.Settings) {
	d.callEngine(func(policy.Instant) { d.engine.UpdateSettings(settings) })
}

// HandleCounterResult passes the result of the oldest unanswered counter call for the key to the engine. total is
// the count after the call, in units; err is nil or one of the errors listed at Attempt.Report.
func (d *Dispatcher) HandleCounterResult(key policy.CounterKey, total float64, err error) {
	result := policy.CounterResult{Key: key, Outcome: outcomeOf(err), Total: total}
	d.callEngine(func(now policy.Instant) { d.engine.HandleCounterResult(now, result) })
}

// HandleHealthCheck passes the result of a health check to the engine. err is nil or one of the errors listed at
// Attempt.Report.
func (d *Dispatcher) HandleHealthCheck(backend policy.BackendID, err error) {
	outcome := outcomeOf(err)
	d.callEngine(func(now policy.Instant) { d.engine.HandleHealthCheck(now, backend, outcome) })
}

// QuotaStatus returns this instance's view of a tenant's quota, without counting any units. ok is false if the plan
// does not exist.
func (d *Dispatcher) QuotaStatus(query policy.QuotaQuery) (status policy.QuotaStatus, ok bool) {
	d.callEngine(func(now policy.Instant) { status, ok = d.engine.QuotaStatus(now, query) })
	return status, ok
}

// CounterStats returns the engine's statistics on the counter's failures.
func (d *Dispatcher) CounterStats() policy.CounterStats {
	var stats policy.CounterStats
	d.callEngine(func(policy.Instant) { stats = d.engine.CounterStats() })
	return stats
}

// ExportState returns the backends' latencies that the engine has measured, for ImportState after a restart.
func (d *Dispatcher) ExportState() policy.WarmStartState {
	var state policy.WarmStartState
	d.callEngine(func(policy.Instant) { state = d.engine.ExportState() })
	return state
}

// ImportState passes the state that an earlier process exported to the engine. age is the time since that export.
func (d *Dispatcher) ImportState(state policy.WarmStartState, age time.Duration) {
	d.callEngine(func(now policy.Instant) { d.engine.ImportState(now, state, age) })
}

// RequestsInFlight returns the number of requests in flight.
func (d *Dispatcher) RequestsInFlight() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.requests)
}
