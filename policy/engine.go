package policy

import (
	"time"

	"fawnplank/internal/pcg"
	"fawnplank/internal/timerqueue"
)

// tickInterval is the time between two rankings of the backends. One ranking serves all attempts until the
// next, so a longer interval sends too many of them the same way.
const tickInterval = 100 * time.Millisecond

// Options are what New needs.
type Options struct {
	// Now is the moment at which the instance starts.
	Now Instant
	// Seed is the source of all randomness: equal seeds and equal calls give equal effects.
	Seed     uint64
	Settings Settings
	Effects  Effects
}

// Engine makes the decisions of one instance and holds all that they remember.
type Engine struct {
	effects   Effects
	settings  Settings
	classes   []*class
	plans     []*plan // requests and tenants keep their row, so rows stay where they are when the table grows
	random    *pcg.Source
	startedAt Instant

	timers timerqueue.Queue[timer]
	wakeAt Instant // the earliest wake that was asked for; zero: none
	wakeID TimerID // its id

	tenants      map[TenantID]*tenant
	pendingCalls pendingCalls
	breaker      counterBreaker

	backends        map[BackendID]*backend
	endpoints       []*backend    // the same, in the order in which they were first listed
	ranked          []*backend    // those that are ready, the best first
	watchRetryDelay time.Duration // longest wait before the list is asked for after a failure

	latency            fleetLatency
	throughput         throughput
	ready              readyBackends
	inFlight           int // attempts
	inFlightNotOverdue int // those that are not overdue
	attemptsSent       int // since the instance started

	lastAnswerAt    Instant // when any backend last succeeded or rejected
	lastRejectionAt Instant // when any backend last rejected an attempt
}

// New returns the Engine of one instance and schedules its first work. Where lists are polled that includes the
// first poll; where they are pushed, the caller starts the watch.
func New(options Options) *Engine {
	e := &Engine{
		effects:      options.Effects,
		random:       pcg.New(options.Seed),
		startedAt:    options.Now,
		backends:     map[BackendID]*backend{},
		tenants:      map[TenantID]*tenant{},
		pendingCalls: pendingCalls{},
		breaker:      counterBreaker{callShare: 1},
	}
	e.UpdateSettings(options.Settings)
	if options.Settings.PollEndpoints {
		e.scheduleFirstPoll(options.Now)
	}
	e.tick(options.Now)
	return e
}

// UpdateSettings replaces the settings. It only adds rows of classes and plans: open requests keep theirs, and old
// classes their wait for the counter. The backoff of the endpoint watch starts anew.
func (e *Engine) UpdateSettings(settings Settings) {
	e.settings = settings
	e.watchRetryDelay = settings.DiscoveryTimeouts().MaxRetryDelay
	for _, row := range settings.Classes[len(e.classes):] {
		e.classes = append(e.classes, newClass(row, settings.CounterTimeout))
		e.latency.boundIdleFloor(row.LatencyObjective)
	}
	for _, row := range settings.Plans[len(e.plans):] {
		e.plans = append(e.plans, newPlan(row))
	}
}

// tick does the periodic work.
func (e *Engine) tick(now Instant) {
	e.updateThroughput()
	e.updateBaselineLatency(now)
	e.decayMeasurements(now)
	e.dropGone()
	e.rankBackends(now)
	e.effects.WakeAt(now.Add(tickInterval), tickTimer)
}

// instances returns the number of instances, at least 1.
func (e *Engine) instances() int { return max(e.settings.Instances, 1) }

// backendsPerInstance returns how many ready backends, each weighted by its warmth, there are for each instance.
func (e *Engine) backendsPerInstance() float64 {
	return e.ready.effectiveBackends / float64(e.instances())
}
