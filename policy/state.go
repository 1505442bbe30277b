package policy

import (
	"fawnplank/internal/circuitbreaker"
	"fawnplank/internal/estimate"
	"fawnplank/internal/nanos"
	"fawnplank/internal/pcg"
	"fawnplank/internal/timerqueue"
)

const (
	millisecond = nanos.Millisecond
	second      = nanos.Second
)

// class is a row of the table of classes.
type class struct {
	ClassSettings
	counterWait int64 // longest wait for the counter
}

// plan is a row of the table of plans.
type plan struct {
	PlanSettings
	window          int64         // the time in which the rate fills one burst; 0: the plan has no rate
	quota           float64       // units a window
	concurrencyUnit float64       // what an attempt in flight adds to the count; 0: no limit
	admittedShare   estimate.Mean // part of a request that the counter lately admitted
	leaverShare     estimate.Mean // part of the clients that leave before their time
	leaverWait      estimate.Mean // after how long they leave
}

// Engine makes the decisions of one instance and holds all that they remember.
type Engine struct {
	effects   Effects
	settings  Settings
	classes   []class
	plans     []plan
	random    *pcg.Source
	startedAt int64

	timers timerqueue.Queue[timer]
	wakeAt int64   // the earliest wake that was asked for; 0: none
	wakeID TimerID // its id

	backends     map[BackendID]*backend
	endpoints    []*backend // the same, in the order in which they were first listed
	ranked       []*backend // those that are ready, the best first
	tenants      map[TenantID]*tenant
	pendingCalls pendingCalls
	breaker      circuitbreaker.Breaker // of the calls to the counter
	callShare    float64                // of the requests that call, while an overloaded counter answers some
	retryDelay   int64                  // longest wait before the list is asked for after a failure

	latency         estimate.Mean       // of the backends together
	latencyByUnits  estimate.Regression // how it grows with the units
	baselineLatency estimate.Mean       // of moments without a queue; the count is of the first attempts
	defaultLatency  float64             // assumed while nothing better is known
	lastAnswerAt    int64               // when any backend last answered
	lastRejectionAt int64               // when any backend last turned an attempt away

	attemptsSent   int // in the life of this instance
	inFlight       int // attempts
	promptInFlight int // those that are not overdue

	answersSinceTick      float64
	throughput            float64 // answers a second
	backendThroughput     float64 // of one backend, from all instances alike
	peakBackendThroughput float64 // its recent peak
	effectiveBackends     float64 // ready backends, each weighted by its warmth
	effectiveCapacity     float64 // the same, by capacity
	meanCapacity          float64 // of a backend, its recent peak
}

func newEngine(now int64, seed uint64, effects Effects) *Engine {
	return &Engine{
		effects:      effects,
		random:       pcg.New(seed),
		startedAt:    now,
		backends:     map[BackendID]*backend{},
		tenants:      map[TenantID]*tenant{},
		pendingCalls: pendingCalls{},
		callShare:    1,
	}
}

// fairSharePerBackend returns an instance's part of one attempt at each backend.
func (e *Engine) fairSharePerBackend() float64 {
	return e.effectiveBackends / float64(max(e.settings.Instances, 1))
}
