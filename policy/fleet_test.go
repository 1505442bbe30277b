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

// This file plays whole fleets of instances on one simulated clock against simulated backends, and checks
// rule 4 for the sum of all of them: what is sent to a backend that warms up in any of the settings' windows.

// fleetSettings are a fleet and the settings of rule 4. A warm backend of capacity 1 has so many cores, each
// of which takes so long for a request on average.
type fleetSettings struct {
	instances, backends               int
	cores                             float64
	serviceTime                       time.Duration
	overloadMultiple, slowStartShare  float64
	overloadWindow, slowStartDuration time.Duration
}

func (c fleetSettings) String() string {
	return fmt.Sprintf("%d instances, %d backends of %.0f/s, x%.1f, %.2f, %d s, warm in %d s",
		c.instances, c.backends, c.capacity(), c.overloadMultiple, c.slowStartShare, c.overloadWindow/time.Second,
		c.slowStartDuration/time.Second)
}

// capacity is what a warm backend of capacity 1 answers a second.
func (c fleetSettings) capacity() float64 {
	return c.cores * float64(time.Second) / float64(c.serviceTime)
}

// fleet is the instances and everything round them: clients, backends, the endpoint list, and the clock.
type fleet struct {
	fleetSettings
	t              testing.TB
	random         *rand.Rand
	now            Instant
	events         timerqueue.Queue[func()]
	settings       Settings
	incarnations   [][]*incarnation // by instance, those that get requests
	trafficWeights []float64        // of the instances in the traffic, added up
	extraLatency   []time.Duration  // by instance: what its answers take beyond the work
	requestRate    float64          // requests a second
	backendByID    map[BackendID]*fleetBackend
	backendIDs     []BackendID
	batchConnects  bool // connections come up together, four times a second; else each by itself
	loadLimits     []loadLimit
	worst          worstWindow
}

// loadLimit is what backends bear from a time on: the overload multiple, and how much longer their work takes.
type loadLimit struct {
	from                                Instant
	overloadMultiple, serviceTimeFactor float64
}

// worstWindow is the window nearest to its bound, or furthest beyond.
type worstWindow struct {
	boundRatio        float64 // of the bound
	sent              int
	budget            float64
	bound             float64
	age               time.Duration // of the backend
	slowStartAttempts int           // at backends that warm up, in the whole play
}

// fleetBackend is a simulated backend.
type fleetBackend struct {
	id                BackendID
	relativeCapacity  float64
	startedAt         Instant       // zero: long ago
	listedStartOffset time.Duration // by so much the list states a later start
	running           bool
	busyCores         int
	queue             []*fleetAttempt
	deliveredAt       []Instant // attempts since the start
}

// incarnation is one incarnation of an instance, and its effects.
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
	backendStartedAt Instant // of the incarnation of the backend that it was sent to
	sentAt           Instant
	serviceTime      float64
	done             bool
}

func (i *incarnation) Send(spec AttemptSpec) { // no request has a key
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
	// Every other connection is open already; the others take up to a quarter of a second to come up.
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
func (i *incarnation) LogUnknown(class ClassID, plan PlanID) {
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

// startInstances starts all instances within a second, and the traffic.
func (f *fleet) startInstances() {
	for index := range f.instances {
		f.after(f.randomDuration(time.Second), func() { f.startInstance(index) })
	}
	f.scheduleNextRequest()
}

// addBackend adds a backend.
func (f *fleet) addBackend(id BackendID, relativeCapacity float64, startedAt Instant) {
	f.backendByID[id] = &fleetBackend{id: id, relativeCapacity: relativeCapacity, running: true, startedAt: startedAt}
	f.backendIDs = append(f.backendIDs, id)
}

// at runs a function at a time.
func (f *fleet) at(when Instant, run func()) { f.events.Push(when, run) }

// after runs a function after a span from now.
func (f *fleet) after(delay time.Duration, run func()) { f.at(f.now.Add(delay), run) }

// randomDuration draws a span from 0 on and below longest.
func (f *fleet) randomDuration(longest time.Duration) time.Duration {
	return time.Duration(f.random.Int64N(int64(longest)))
}

// afterStart runs a function so long after the beginning of the play.
func (f *fleet) afterStart(offset time.Duration, run func()) {
	f.at(testStart.Add(offset), run)
}

// runFor runs the clock for a time from the beginning on.
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

// distributeTraffic spreads the requests over the instances.
func (f *fleet) distributeTraffic(trafficWeights func(index int) float64) {
	sum := 0.0
	for index := range f.trafficWeights {
		sum += trafficWeights(index)
		f.trafficWeights[index] = sum
	}
}

func (f *fleet) discoveryState() (list []Endpoint) {
	for _, id := range f.backendIDs {
		list = append(list, f.backendByID[id].discoveryState())
	}
	return list
}

// listedStart is the start that the list states.
func (b *fleetBackend) listedStart() Instant { return b.startedAt.Add(b.listedStartOffset) }

func (b *fleetBackend) discoveryState() Endpoint {
	endpoint := Endpoint{Backend: b.id, Weight: b.relativeCapacity, StartedAt: b.listedStart(), State: EndpointGone}
	if b.running {
		endpoint.State = EndpointReady
	}
	return endpoint
}

// startInstance starts an incarnation of the instance beside those that it has.
func (f *fleet) startInstance(index int) {
	i := &incarnation{fleet: f, index: index, requests: map[RequestID]*fleetRequest{}}
	settings := f.settings
	settings.InstanceIndex = index
	i.engine = New(Options{Now: f.now, Seed: f.random.Uint64(), Settings: settings, Effects: i})
	i.engine.UpdateEndpoints(f.now, CachedSnapshot, f.discoveryState())
	f.incarnations[index] = append(f.incarnations[index], i)
}

// upgradeInstance starts a new incarnation of the instance; the old one keeps a part of its traffic while both
// overlap.
func (f *fleet) upgradeInstance(index int, overlap time.Duration) {
	old := f.incarnations[index][0]
	f.startInstance(index)
	f.after(overlap, func() {
		isOld := func(i *incarnation) bool { return i == old }
		f.incarnations[index] = slices.DeleteFunc(f.incarnations[index], isOld)
	})
	f.after(overlap+3*time.Second, func() { old.stopped = true })
}

// publishEndpoint sends an endpoint to all instances, to each a little later than the list has it.
func (f *fleet) publishEndpoint(b *fleetBackend) {
	for _, incarnations := range f.incarnations {
		for _, i := range incarnations {
			f.after(f.randomDuration(100*time.Millisecond), func() {
				i.engine.UpdateEndpoints(f.now, Delta, []Endpoint{b.discoveryState()})
			})
		}
	}
}

// stopBackend stops a backend, which ends the attempts there.
func (f *fleet) stopBackend(b *fleetBackend) {
	f.checkOverload(b)
	b.running, b.busyCores = false, 0
	for _, attempt := range b.queue {
		f.at(f.now, func() { f.endAttempt(attempt, ConnectionLost) })
	}
	b.queue = nil
	f.publishEndpoint(b)
}

// startBackend starts it anew, with a part of its capacity.
func (f *fleet) startBackend(b *fleetBackend) {
	b.running = true
	b.startedAt = f.now
	b.deliveredAt = nil
	f.publishEndpoint(b)
}

// restartBackend does both, one after the other.
func (f *fleet) restartBackend(id BackendID) {
	b := f.backendByID[id]
	f.stopBackend(b)
	f.after(400*time.Millisecond, func() { f.startBackend(b) })
}

// replaceBackend starts a backend under a new id, and stops the old one.
func (f *fleet) replaceBackend(old BackendID, relativeCapacity float64) {
	if f.backendByID[old] != nil {
		f.stopBackend(f.backendByID[old])
	}
	f.addBackend(old+1000, relativeCapacity, f.now)
	f.publishEndpoint(f.backendByID[old+1000])
}

// scheduleNextRequest submits a request after a while, and so on.
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

// capacityShare is the part of its capacity that the backend has.
func (f *fleet) capacityShare(b *fleetBackend) float64 {
	if b.startedAt.IsZero() || f.now.Sub(b.startedAt) >= f.slowStartDuration {
		return 1
	}
	return f.slowStartShare + (1-f.slowStartShare)*float64(f.now.Sub(b.startedAt))/float64(f.slowStartDuration)
}

// deliverAttempt brings an attempt to its backend.
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

// startService has the free cores of a backend begin with what waits.
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

// endAttempt ends an attempt, for its instance.
func (f *fleet) endAttempt(attempt *fleetAttempt, outcome Outcome) {
	if attempt.done {
		return
	}
	attempt.done = true
	if outcome == Canceled { // one that is worked on is worked on to its end
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

// checkOverload holds what was sent to a backend since its start against the rule, in every window.
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

// maxOverloadMultiple is the most that a backend bears in the window that ends at a time: a change may lie within it.
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
