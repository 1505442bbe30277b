package policy

import (
	"time"

	"fawnplank/internal/pcg"
	"fawnplank/internal/timerqueue"
)

// tickInterval is the time between two rankings of the backends. All attempts until the next ranking use the same one,
// so a longer interval would send too many of them to the same backends.
const tickInterval = 100 * time.Millisecond

// Options are the parameters of New.
type Options struct {
	// Now is the start time of the instance.
	Now Instant
	// Seed seeds the random number generator: equal seeds and equal calls give equal effects.
	Seed     uint64
	Settings Settings
	Effects  Effects
}

// Engine makes the decisions of one instance and holds the state that they depend on.
type Engine struct {
	effects   Effects
	settings  Settings
	classes   []*class
	plans     []*plan // pointers, since requests and tenants keep theirs when the table grows
	random    *pcg.Source
	startedAt Instant

	timers timerqueue.Queue[timer]
	wakeAt Instant // time of the last requested wake-up; zero: none is pending
	wakeID TimerID // id of the last requested wake-up

	tenants      map[TenantID]*tenant
	pendingCalls pendingCalls
	breaker      counterBreaker

	backends        map[BackendID]*backend
	endpoints       []*backend    // the same backends, in the order in which they were first listed
	ranked          []*backend    // the ready backends, the best first
	watchRetryDelay time.Duration // longest delay of the next watch after a failure

	latency            fleetLatency
	throughput         throughput
	ready              readyBackends
	inFlight           int // attempts in flight
	inFlightNotOverdue int // attempts in flight that are not overdue
	attemptsSent       int // attempts sent since the instance started

	lastAnswerAt    Instant // when any backend last answered an attempt with success or a rejection
	lastRejectionAt Instant // when any backend last rejected an attempt
}

// New returns the Engine of one instance and schedules its periodic work. It also schedules the first poll where
// endpoint lists are polled; where they are pushed, the caller starts the watch.
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

// UpdateSettings replaces the settings. It adds new classes and plans but changes no existing ones, which requests
// still refer to; existing classes also keep their wait for the counter. The retry delay of the endpoint watch is
// reset.
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

// tick updates the measurements, drops backends that are gone, ranks the others and schedules the next tick.
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

// backendsPerInstance returns the number of ready backends, each weighted by its capacityShare, per instance.
func (e *Engine) backendsPerInstance() float64 {
	return e.ready.effectiveBackends / float64(e.instances())
}
