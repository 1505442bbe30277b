package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"fawnplank/internal/monotime"
	"fawnplank/internal/timerqueue"
)

// This file simulates a fleet of instances and its backends on one clock. It checks rule 4 for the fleet as a
// whole: the attempts that all instances together send to a backend that is warming up, in any overload window.

// fleetSettings describe a fleet and the settings of rule 4. A backend of relative capacity 1 has the given
// number of cores. When it is warm, a core takes serviceTime for a request on average.
type fleetSettings struct {
	instances, backends               int
	cores                             float64
	serviceTime                       time.Duration
	overloadMultiple, slowStartShare  float64
	overloadWindow, slowStartDuration time.Duration
}

func (c fleetSettings) String() string {
	return fmt.Sprintf("%d instances, %d backends of %.0f/s, overload x%.1f, start at %.2f, window %d s, warm in %d s",
		c.instances, c.backends, c.capacity(), c.overloadMultiple, c.slowStartShare, c.overloadWindow/time.Second,
		c.slowStartDuration/time.Second)
}

// capacity returns how many requests a second a warm backend of relative capacity 1 answers.
func (c fleetSettings) capacity() float64 {
	return c.cores * float64(time.Second) / float64(c.serviceTime)
}

// fleet simulates the instances and their environment: clients, backends, the endpoint list and the clock.
type fleet struct {
	fleetSettings
	t              testing.TB
	random         *rand.Rand
	now            Instant
	events         timerqueue.Queue[func()]
	settings       Settings
	incarnations   [][]*incarnation // by instance: the incarnations that get requests
	trafficWeights []float64        // by instance: sum of the weights up to and including its own
	extraLatency   []time.Duration  // by instance: added to the service time of its answers
	requestRate    float64          // in requests a second
	backendByID    map[BackendID]*fleetBackend
	backendIDs     []BackendID
	batchConnects  bool // new connections open in batches, four times a second; false: each on its own
	loadLimits     []loadLimit
	worst          worstWindow
}

// loadLimit holds the overload multiple that applies from a time on, and the factor by which requests take longer
// from then on.
type loadLimit struct {
	from                                Instant
	overloadMultiple, serviceTimeFactor float64
}

// worstWindow is the overload window with the highest ratio of attempts to its bound.
type worstWindow struct {
	boundRatio        float64 // sent / bound
	sent              int
	budget            float64
	bound             float64
	age               time.Duration // time since the start of the backend
	slowStartAttempts int           // attempts at backends that are warming up, in the whole run
}

// fleetBackend is a simulated backend.
type fleetBackend struct {
	id                BackendID
	relativeCapacity  float64
	startedAt         Instant       // zero: long ago
	listedStartOffset time.Duration // how much later than startedAt the endpoint list states the start
	running           bool
	busyCores         int
	queue             []*fleetAttempt
	deliveredAt       []Instant // when attempts arrived since the start
}

// incarnation is one incarnation of an instance. It implements Effects for its engine.
type incarnation struct {
	fleet    *fleet
	index    int
	engine   *Engine
	stopped  bool
	requests map[RequestID]*fleetRequest
}

type fleetRequest struct {
	id       RequestID
	handle   *Request
	attempts []*fleetAttempt
	ended    bool
}

type fleetAttempt struct {
	incarnation      *incarnation
	request          *fleetRequest
	id               AttemptID
	backend          *fleetBackend
	backendStartedAt Instant // start of the backend, as known to the instance that sent the attempt
	sentAt           Instant
	serviceTime      float64
	done             bool
}

// Send ignores StartBefore, since no request in these scenarios has an idempotency key.
func (i *incarnation) Send(spec AttemptSpec) {
	f, request := i.fleet, i.requests[spec.Request]
	attempt := &fleetAttempt{
		incarnation:      i,
		request:          request,
		id:               AttemptID(len(request.attempts)),
		backend:          f.backendByID[spec.Backend],
		backendStartedAt: i.engine.backends[spec.Backend].startedAt,
		sentAt:           f.now,
		serviceTime:      float64(f.serviceTime) * (0.5 + f.random.Float64()),
	}
	request.attempts = append(request.attempts, attempt)
	// Half of the connections are already open; the others take up to 250 ms to open.
	deliveredAt := f.now
	if f.batchConnects {
		sinceLastBatch := time.Duration(f.now.Nanos()) % (250 * time.Millisecond)
		deliveredAt = deliveredAt.Add(250*time.Millisecond - sinceLastBatch)
	} else if f.random.IntN(2) == 0 {
		deliveredAt = deliveredAt.Add(f.randomDuration(250 * time.Millisecond))
	}
	f.at(deliveredAt, func() { f.deliverAttempt(attempt) })
	if !spec.ExpiresAt.IsZero() {
		f.at(spec.ExpiresAt, func() { f.endAttempt(attempt, TimedOut) })
	}
}

func (i *incarnation) Cancel(id RequestID, n AttemptID) {
	attempt := i.requests[id].attempts[n]
	i.fleet.at(i.fleet.now, func() { i.fleet.endAttempt(attempt, Canceled) })
}

func (i *incarnation) WakeAt(at Instant, timer TimerID) {
	i.fleet.at(at, func() {
		if !i.stopped {
			i.engine.HandleTimer(i.fleet.now, timer)
		}
	})
}

func (i *incarnation) CheckHealth(b BackendID) {
	f := i.fleet
	f.after(5*time.Millisecond, func() {
		outcome := ConnectFailed
		if f.backendByID[b].running {
			outcome = Succeeded
		}
		if !i.stopped {
			i.engine.HandleHealthCheck(f.now, b, outcome)
		}
	})
}

func (i *incarnation) Reject(id RequestID, _ time.Duration)            { i.requests[id].ended = true }
func (i *incarnation) Abort(id RequestID)                              { i.requests[id].ended = true }
func (i *incarnation) Admit(RequestID)                                 {}
func (i *incarnation) AddToCounter(CounterKey, float64, time.Duration) {}
func (i *incarnation) WatchEndpoints()                                 {}
func (i *incarnation) LogUnknownClassOrPlan(class ClassID, plan PlanID) {
	i.fleet.t.Errorf("unknown class %d or plan %d", class, plan)
}

func newFleet(tb testing.TB, c fleetSettings, seed uint64) *fleet {
	tb.Helper()
	f := &fleet{
		fleetSettings:  c,
		t:              tb,
		random:         rand.New(rand.NewPCG(seed, 4)),
		now:            testStart,
		settings:       defaultSettings(),
		incarnations:   make([][]*incarnation, c.instances),
		trafficWeights: make([]float64, c.instances),
		extraLatency:   make([]time.Duration, c.instances),
		backendByID:    map[BackendID]*fleetBackend{},
		batchConnects:  seed%2 == 0,
		loadLimits:     []loadLimit{{Instant{}, c.overloadMultiple, 1}},
	}
	f.settings.CounterEnabled = false
	f.settings.Instances = c.instances
	f.settings.Plans = []PlanSettings{{}}
	f.settings.Classes[0].LatencyObjective = max(750*time.Millisecond, 5*c.serviceTime)
	f.settings.SlowStartShare = c.slowStartShare
	f.settings.SlowStartDuration = c.slowStartDuration
	f.settings.OverloadMultiple = c.overloadMultiple
	f.settings.OverloadWindow = c.overloadWindow
	f.distributeTraffic(func(int) float64 { return 1 })
	for n := range c.backends {
		f.addBackend(BackendID(n+1), 1, Instant{})
	}
	f.requestRate = 2 * float64(c.backends) * c.capacity()
	return f
}

// startInstances starts the traffic, and starts each instance at a random time within the first second.
func (f *fleet) startInstances() {
	for index := range f.instances {
		f.after(f.randomDuration(time.Second), func() { f.startInstance(index) })
	}
	f.scheduleNextRequest()
}

// addBackend adds a running backend.
func (f *fleet) addBackend(id BackendID, relativeCapacity float64, startedAt Instant) {
	f.backendByID[id] = &fleetBackend{id: id, relativeCapacity: relativeCapacity, running: true, startedAt: startedAt}
	f.backendIDs = append(f.backendIDs, id)
}

// at schedules a function for a time.
func (f *fleet) at(when Instant, run func()) { f.events.Push(when, run) }

// after schedules a function for a time after now.
func (f *fleet) after(delay time.Duration, run func()) { f.at(f.now.Add(delay), run) }

// randomDuration returns a random duration in [0, longest).
func (f *fleet) randomDuration(longest time.Duration) time.Duration {
	return time.Duration(f.random.Int64N(int64(longest)))
}

// afterStart schedules a function for a time after the start of the run.
func (f *fleet) afterStart(offset time.Duration, run func()) {
	f.at(testStart.Add(offset), run)
}

// runFor runs all events until the given time after the start of the run, then checks the backends.
func (f *fleet) runFor(duration time.Duration) {
	never := func(func()) bool { return false }
	for {
		next, ok := f.events.NextDue(never)
		if !ok || next.After(testStart.Add(duration)) {
			break
		}
		f.now = monotime.Later(f.now, next)
		run, _ := f.events.PopDue(f.now)
		run()
	}
	for _, id := range f.backendIDs {
		f.checkOverload(f.backendByID[id])
	}
}

// distributeTraffic sets the share of the requests that each instance gets, in proportion to its weight. The argument
// returns the weight of an instance; f.trafficWeights holds the cumulative sums.
func (f *fleet) distributeTraffic(trafficWeights func(index int) float64) {
	sum := 0.0
	for index := range f.trafficWeights {
		sum += trafficWeights(index)
		f.trafficWeights[index] = sum
	}
}

// discoveryState returns the endpoint list of all backends.
func (f *fleet) discoveryState() (list []Endpoint) {
	for _, id := range f.backendIDs {
		list = append(list, f.backendByID[id].discoveryState())
	}
	return list
}

// listedStart returns the start time that the endpoint list states.
func (b *fleetBackend) listedStart() Instant { return b.startedAt.Add(b.listedStartOffset) }

// discoveryState returns the backend's entry of the endpoint list.
func (b *fleetBackend) discoveryState() Endpoint {
	endpoint := Endpoint{Backend: b.id, Weight: b.relativeCapacity, StartedAt: b.listedStart(), State: EndpointGone}
	if b.running {
		endpoint.State = EndpointReady
	}
	return endpoint
}

// startInstance starts another incarnation of an instance.
func (f *fleet) startInstance(index int) {
	i := &incarnation{fleet: f, index: index, requests: map[RequestID]*fleetRequest{}}
	settings := f.settings
	settings.InstanceIndex = index
	i.engine = New(Options{Now: f.now, Seed: f.random.Uint64(), Settings: settings, Effects: i})
	i.engine.UpdateEndpoints(f.now, CachedSnapshot, f.discoveryState())
	f.incarnations[index] = append(f.incarnations[index], i)
}

// upgradeInstance starts a new incarnation of an instance. During the overlap, the old incarnation keeps a part
// of the traffic.
func (f *fleet) upgradeInstance(index int, overlap time.Duration) {
	old := f.incarnations[index][0]
	f.startInstance(index)
	f.after(overlap, func() {
		isOld := func(i *incarnation) bool { return i == old }
		f.incarnations[index] = slices.DeleteFunc(f.incarnations[index], isOld)
	})
	f.after(overlap+3*time.Second, func() { old.stopped = true })
}

// publishEndpoint sends a backend's entry of the endpoint list to all instances, to each with a random delay.
func (f *fleet) publishEndpoint(b *fleetBackend) {
	for _, incarnations := range f.incarnations {
		for _, i := range incarnations {
			f.after(f.randomDuration(100*time.Millisecond), func() {
				i.engine.UpdateEndpoints(f.now, Delta, []Endpoint{b.discoveryState()})
			})
		}
	}
}

// stopBackend stops a backend and ends its attempts.
func (f *fleet) stopBackend(b *fleetBackend) {
	f.checkOverload(b)
	b.running, b.busyCores = false, 0
	for _, attempt := range b.queue {
		f.at(f.now, func() { f.endAttempt(attempt, ConnectionLost) })
	}
	b.queue = nil
	f.publishEndpoint(b)
}

// startBackend starts a stopped backend, which then warms up.
func (f *fleet) startBackend(b *fleetBackend) {
	b.running = true
	b.startedAt = f.now
	b.deliveredAt = nil
	f.publishEndpoint(b)
}

// restartBackend stops a backend and starts it 400 ms later.
func (f *fleet) restartBackend(id BackendID) {
	b := f.backendByID[id]
	f.stopBackend(b)
	f.after(400*time.Millisecond, func() { f.startBackend(b) })
}

// replaceBackend stops a backend and adds another one, under a new id, that warms up.
func (f *fleet) replaceBackend(old BackendID, relativeCapacity float64) {
	if f.backendByID[old] != nil {
		f.stopBackend(f.backendByID[old])
	}
	f.addBackend(old+1000, relativeCapacity, f.now)
	f.publishEndpoint(f.backendByID[old+1000])
}

// scheduleNextRequest schedules the next request, which in turn schedules the one after it. The intervals are
// exponentially distributed.
func (f *fleet) scheduleNextRequest() {
	f.after(time.Duration(f.random.ExpFloat64()/f.requestRate*float64(time.Second)), func() {
		point := f.random.Float64() * f.trafficWeights[f.instances-1]
		index, _ := slices.BinarySearch(f.trafficWeights, point)
		if incarnations := f.incarnations[index]; len(incarnations) > 0 {
			f.submitRequest(incarnations[f.random.IntN(len(incarnations))])
		}
		f.scheduleNextRequest()
	})
}

func (f *fleet) submitRequest(i *incarnation) {
	request := &fleetRequest{id: RequestID(f.random.Uint64())}
	i.requests[request.id] = request
	request.handle = i.engine.Submit(f.now, RequestSpec{ID: request.id, Tenant: TenantID(f.random.IntN(8)),
		Remaining: 2 * time.Second, Units: 1, EntryPoints: 1})
	if len(request.attempts) == 0 {
		delete(i.requests, request.id)
		return
	}
	f.after(2*time.Second, func() {
		if !request.ended {
			request.ended = true
			request.handle.HandleClientGone(f.now)
		}
		f.after(time.Second, func() { delete(i.requests, request.id) })
	})
}

// capacityShare returns the share of its full capacity that a backend has now.
func (f *fleet) capacityShare(b *fleetBackend) float64 {
	if b.startedAt.IsZero() || f.now.Sub(b.startedAt) >= f.slowStartDuration {
		return 1
	}
	return f.slowStartShare + (1-f.slowStartShare)*float64(f.now.Sub(b.startedAt))/float64(f.slowStartDuration)
}

// deliverAttempt delivers an attempt to its backend, which queues or rejects it.
func (f *fleet) deliverAttempt(attempt *fleetAttempt) {
	switch b := attempt.backend; {
	case attempt.done:
	case !b.running || b.listedStart() != attempt.backendStartedAt:
		f.endAttempt(attempt, ConnectFailed)
	default:
		b.deliveredAt = append(b.deliveredAt, f.now)
		if len(b.queue) > int(10*f.cores) {
			f.endAttempt(attempt, Rejected)
			return
		}
		b.queue = append(b.queue, attempt)
		f.startService(b)
	}
}

// startService starts the service of queued attempts on the free cores of a backend.
func (f *fleet) startService(b *fleetBackend) {
	for ; b.busyCores < int(f.cores) && b.busyCores < len(b.queue); b.busyCores++ {
		attempt, startedAt := b.queue[b.busyCores], b.startedAt
		serviceTimeFactor := f.loadLimits[len(f.loadLimits)-1].serviceTimeFactor
		f.after(time.Duration(attempt.serviceTime*serviceTimeFactor/b.relativeCapacity/f.capacityShare(b)), func() {
			if b.startedAt != startedAt || !b.running {
				return
			}
			isServed := func(other *fleetAttempt) bool { return other == attempt }
			b.queue = slices.DeleteFunc(b.queue, isServed)
			b.busyCores--
			f.after(f.extraLatency[attempt.incarnation.index], func() { f.endAttempt(attempt, Succeeded) })
			f.startService(b)
		})
	}
}

// endAttempt ends an attempt and reports its outcome to the instance.
func (f *fleet) endAttempt(attempt *fleetAttempt, outcome Outcome) {
	if attempt.done {
		return
	}
	attempt.done = true
	if outcome == Canceled { // an attempt in service is served to its end
		b := attempt.backend
		if n := slices.Index(b.queue, attempt); n >= b.busyCores {
			b.queue = slices.Delete(b.queue, n, n+1)
		}
	}
	if attempt.incarnation.stopped {
		return
	}
	done := attempt.request.ended || outcome == Succeeded
	attempt.request.ended = done
	attempt.request.handle.HandleAttemptResult(f.now, AttemptResult{Attempt: attempt.id, Outcome: outcome,
		Elapsed: f.now.Sub(attempt.sentAt), RequestDone: done})
}

// checkOverload compares the attempts delivered to a backend since its start with the bound of rule 4, in every
// window, and updates f.worst.
func (f *fleet) checkOverload(b *fleetBackend) {
	if b.startedAt.IsZero() {
		return
	}
	first := 0
	for n, at := range b.deliveredAt {
		age := at.Sub(b.startedAt)
		if age >= f.slowStartDuration {
			break
		}
		f.worst.slowStartAttempts++
		for !b.deliveredAt[first].After(at.Add(-f.overloadWindow)) {
			first++
		}
		capacity := (f.slowStartShare + (1-f.slowStartShare)*float64(age)/float64(f.slowStartDuration)) *
			b.relativeCapacity * f.capacity()
		budget := f.maxOverloadMultiple(at) * capacity * float64(f.overloadWindow) / float64(time.Second)
		bound := budget + 2*math.Sqrt(budget) + 2
		if sent := n + 1 - first; float64(sent)/bound > f.worst.boundRatio {
			f.worst = worstWindow{
				boundRatio:        float64(sent) / bound,
				sent:              sent,
				budget:            budget,
				bound:             bound,
				age:               age,
				slowStartAttempts: f.worst.slowStartAttempts,
			}
		}
	}
}

// maxOverloadMultiple returns the highest overload multiple, corrected for longer service times, that applies in the
// overload window that ends at a time.
func (f *fleet) maxOverloadMultiple(at Instant) float64 {
	overloadMultiple := 0.0
	for n, limit := range f.loadLimits {
		isLast := n+1 == len(f.loadLimits)
		if !limit.from.After(at) && (isLast || f.loadLimits[n+1].from.After(at.Add(-f.overloadWindow))) {
			overloadMultiple = max(overloadMultiple, limit.overloadMultiple/limit.serviceTimeFactor)
		}
	}
	return overloadMultiple
}
