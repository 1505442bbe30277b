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
	instances, backends int
	cores               float64
	work                time.Duration
	multiple, share     float64
	window, warmUp      time.Duration
}

func (c fleetSettings) String() string {
	return fmt.Sprintf("%d instances, %d backends of %.0f/s, x%.1f, %.2f, %d s, warm in %d s",
		c.instances, c.backends, c.capacity(), c.multiple, c.share, c.window/time.Second, c.warmUp/time.Second)
}

// capacity is what a warm backend of capacity 1 answers a second.
func (c fleetSettings) capacity() float64 { return c.cores * float64(time.Second) / float64(c.work) }

// fleet is the instances and everything round them: clients, backends, the endpoint list, and the clock.
type fleet struct {
	fleetSettings
	t            testing.TB
	random       *rand.Rand
	now          Instant
	due          timerqueue.Queue[func()]
	settings     Settings
	incarnations [][]*incarnation // by instance, those that get requests
	weight       []float64        // of the instances in the traffic, added up
	latency      []time.Duration  // by instance: what its answers take beyond the work
	demand       float64          // requests a second
	backendByID  map[BackendID]*fleetBackend
	ids          []BackendID
	together     bool // connections come up together, four times a second; else each by itself
	loadLimits   []loadLimit
	worst        worstWindow
}

// loadLimit is what backends bear from a time on: the overload multiple, and how much longer their work takes.
type loadLimit struct {
	from           Instant
	multiple, slow float64
}

// worstWindow is the window nearest to its bound, or furthest beyond.
type worstWindow struct {
	part     float64 // of the bound
	sent     int
	budget   float64
	bound    float64
	age      time.Duration // of the backend
	attempts int           // at backends that warm up, in the whole play
}

// fleetBackend is a simulated backend.
type fleetBackend struct {
	id      BackendID
	size    float64
	started Instant       // zero: long ago
	ahead   time.Duration // by so much the list states a later start
	up      bool
	busy    int
	queue   []*fleetAttempt
	begunAt []Instant // attempts since the start
}

// incarnation is one incarnation of an instance, and its effects.
type incarnation struct {
	fleet  *fleet
	index  int
	engine *Engine
	dead   bool
	open   map[RequestID]*fleetRequest
}

type fleetRequest struct {
	id       RequestID
	handle   *Request
	attempts []*fleetAttempt
	ended    bool
}

type fleetAttempt struct {
	incarnation *incarnation
	request     *fleetRequest
	id          AttemptID
	backend     *fleetBackend
	started     Instant // of the incarnation of the backend that it was sent to
	sentAt      Instant
	work        float64
	done        bool
}

func (i *incarnation) Send(spec AttemptSpec) { // no request has a key
	f, request := i.fleet, i.open[spec.Request]
	attempt := &fleetAttempt{
		incarnation: i,
		request:     request,
		id:          AttemptID(len(request.attempts)),
		backend:     f.backendByID[spec.Backend],
		started:     i.engine.backends[spec.Backend].startedAt,
		sentAt:      f.now,
		work:        float64(f.work) * (0.5 + f.random.Float64()),
	}
	request.attempts = append(request.attempts, attempt)
	// Every other connection is open already; the others take up to a quarter of a second to come up.
	begins := f.now
	if f.together {
		sinceLast := time.Duration(f.now.Nanos()) % (250 * time.Millisecond)
		begins = begins.Add(250*time.Millisecond - sinceLast)
	} else if f.random.IntN(2) == 0 {
		begins = begins.Add(f.randomSpan(250 * time.Millisecond))
	}
	f.at(begins, func() { f.begin(attempt) })
	if !spec.ExpiresAt.IsZero() {
		f.at(spec.ExpiresAt, func() { f.endAttempt(attempt, TimedOut) })
	}
}

func (i *incarnation) Cancel(id RequestID, n AttemptID) {
	attempt := i.open[id].attempts[n]
	i.fleet.at(i.fleet.now, func() { i.fleet.endAttempt(attempt, Canceled) })
}

func (i *incarnation) WakeAt(at Instant, timer TimerID) {
	i.fleet.at(at, func() {
		if !i.dead {
			i.engine.HandleTimer(i.fleet.now, timer)
		}
	})
}

func (i *incarnation) CheckHealth(b BackendID) {
	f := i.fleet
	f.in(5*time.Millisecond, func() {
		outcome := ConnectFailed
		if f.backendByID[b].up {
			outcome = Succeeded
		}
		if !i.dead {
			i.engine.HandleHealthCheck(f.now, b, outcome)
		}
	})
}

func (i *incarnation) Reject(id RequestID, _ time.Duration)            { i.open[id].ended = true }
func (i *incarnation) Abort(id RequestID)                              { i.open[id].ended = true }
func (i *incarnation) Admit(RequestID)                                 {}
func (i *incarnation) AddToCounter(CounterKey, float64, time.Duration) {}
func (i *incarnation) WatchEndpoints()                                 {}
func (i *incarnation) LogUnknownClassOrPlan(class ClassID, plan PlanID) {
	i.fleet.t.Errorf("unknown class %d or plan %d", class, plan)
}

func newFleet(tb testing.TB, c fleetSettings, seed uint64) *fleet {
	tb.Helper()
	f := &fleet{
		fleetSettings: c,
		t:             tb,
		random:        rand.New(rand.NewPCG(seed, 4)),
		now:           startOfTest,
		settings:      defaultSettings(),
		incarnations:  make([][]*incarnation, c.instances),
		weight:        make([]float64, c.instances),
		latency:       make([]time.Duration, c.instances),
		backendByID:   map[BackendID]*fleetBackend{},
		together:      seed%2 == 0,
		loadLimits:    []loadLimit{{Instant{}, c.multiple, 1}},
	}
	f.settings.CounterEnabled = false
	f.settings.Instances = c.instances
	f.settings.Plans = []PlanSettings{{}}
	f.settings.Classes[0].LatencyObjective = max(750*time.Millisecond, 5*c.work)
	f.settings.SlowStartShare = c.share
	f.settings.SlowStartDuration = c.warmUp
	f.settings.OverloadMultiple = c.multiple
	f.settings.OverloadWindow = c.window
	f.traffic(func(int) float64 { return 1 })
	for n := range c.backends {
		f.add(BackendID(n+1), 1, Instant{})
	}
	f.demand = 2 * float64(c.backends) * c.capacity()
	return f
}

// startAll starts all instances within a second, and the traffic.
func (f *fleet) startAll() {
	for index := range f.instances {
		f.in(f.randomSpan(time.Second), func() { f.startInstance(index) })
	}
	f.arrive()
}

// add adds a backend.
func (f *fleet) add(id BackendID, size float64, started Instant) {
	f.backendByID[id] = &fleetBackend{id: id, size: size, up: true, started: started}
	f.ids = append(f.ids, id)
}

// at runs a function at a time.
func (f *fleet) at(when Instant, run func()) { f.due.Push(when, run) }

// in runs a function after a span from now.
func (f *fleet) in(span time.Duration, run func()) { f.at(f.now.Add(span), run) }

// randomSpan draws a span from 0 on and below longest.
func (f *fleet) randomSpan(longest time.Duration) time.Duration {
	return time.Duration(f.random.Int64N(int64(longest)))
}

// after runs a function so long after the beginning of the play.
func (f *fleet) after(duration time.Duration, run func()) { f.at(startOfTest.Add(duration), run) }

// play runs the clock for a time from the beginning on.
func (f *fleet) play(duration time.Duration) {
	never := func(func()) bool { return false }
	for {
		next, ok := f.due.NextDue(never)
		if !ok || next.After(startOfTest.Add(duration)) {
			break
		}
		f.now = monotime.Later(f.now, next)
		run, _ := f.due.PopDue(f.now)
		run()
	}
	for _, id := range f.ids {
		f.check(f.backendByID[id])
	}
}

// traffic spreads the requests over the instances.
func (f *fleet) traffic(weight func(index int) float64) {
	sum := 0.0
	for index := range f.weight {
		sum += weight(index)
		f.weight[index] = sum
	}
}

func (f *fleet) listed() (list []Endpoint) {
	for _, id := range f.ids {
		list = append(list, f.backendByID[id].listed())
	}
	return list
}

// statedStart is the start that the list states.
func (b *fleetBackend) statedStart() Instant { return b.started.Add(b.ahead) }

func (b *fleetBackend) listed() Endpoint {
	endpoint := Endpoint{Backend: b.id, Weight: b.size, StartedAt: b.statedStart(), State: EndpointGone}
	if b.up {
		endpoint.State = EndpointReady
	}
	return endpoint
}

// startInstance starts an incarnation of the instance beside those that it has.
func (f *fleet) startInstance(index int) {
	i := &incarnation{fleet: f, index: index, open: map[RequestID]*fleetRequest{}}
	settings := f.settings
	settings.InstanceIndex = index
	i.engine = New(Options{Now: f.now, Seed: f.random.Uint64(), Settings: settings, Effects: i})
	i.engine.UpdateEndpoints(f.now, CachedSnapshot, f.listed())
	f.incarnations[index] = append(f.incarnations[index], i)
}

// upgrade starts a new incarnation of the instance; the old one keeps a part of its traffic while both
// overlap.
func (f *fleet) upgrade(index int, overlap time.Duration) {
	old := f.incarnations[index][0]
	f.startInstance(index)
	f.in(overlap, func() {
		isOld := func(i *incarnation) bool { return i == old }
		f.incarnations[index] = slices.DeleteFunc(f.incarnations[index], isOld)
	})
	f.in(overlap+3*time.Second, func() { old.dead = true })
}

// announce sends an endpoint to all instances, to each a little later than the list has it.
func (f *fleet) announce(b *fleetBackend) {
	for _, incarnations := range f.incarnations {
		for _, i := range incarnations {
			f.in(f.randomSpan(100*time.Millisecond), func() {
				i.engine.UpdateEndpoints(f.now, Delta, []Endpoint{b.listed()})
			})
		}
	}
}

// stop stops a backend, which ends the attempts there.
func (f *fleet) stop(b *fleetBackend) {
	f.check(b)
	b.up, b.busy = false, 0
	for _, attempt := range b.queue {
		f.at(f.now, func() { f.endAttempt(attempt, ConnectionLost) })
	}
	b.queue = nil
	f.announce(b)
}

// boot starts it anew, with a part of its capacity.
func (f *fleet) boot(b *fleetBackend) {
	b.up = true
	b.started = f.now
	b.begunAt = nil
	f.announce(b)
}

// restart does both, one after the other.
func (f *fleet) restart(id BackendID) {
	b := f.backendByID[id]
	f.stop(b)
	f.in(400*time.Millisecond, func() { f.boot(b) })
}

// replace starts a backend under a new id, and stops the old one.
func (f *fleet) replace(old BackendID, size float64) {
	if f.backendByID[old] != nil {
		f.stop(f.backendByID[old])
	}
	f.add(old+1000, size, f.now)
	f.announce(f.backendByID[old+1000])
}

// arrive submits a request after a while, and so on.
func (f *fleet) arrive() {
	f.in(time.Duration(f.random.ExpFloat64()/f.demand*float64(time.Second)), func() {
		point := f.random.Float64() * f.weight[f.instances-1]
		index, _ := slices.BinarySearch(f.weight, point)
		if incarnations := f.incarnations[index]; len(incarnations) > 0 {
			f.submit(incarnations[f.random.IntN(len(incarnations))])
		}
		f.arrive()
	})
}

func (f *fleet) submit(i *incarnation) {
	request := &fleetRequest{id: RequestID(f.random.Uint64())}
	i.open[request.id] = request
	request.handle = i.engine.Submit(f.now, RequestSpec{ID: request.id, Tenant: TenantID(f.random.IntN(8)),
		Remaining: 2 * time.Second, Units: 1, EntryPoints: 1})
	if len(request.attempts) == 0 {
		delete(i.open, request.id)
		return
	}
	f.in(2*time.Second, func() {
		if !request.ended {
			request.ended = true
			request.handle.HandleClientGone(f.now)
		}
		f.in(time.Second, func() { delete(i.open, request.id) })
	})
}

// warmth is the part of its capacity that the backend has.
func (f *fleet) warmth(b *fleetBackend) float64 {
	if b.started.IsZero() || f.now.Sub(b.started) >= f.warmUp {
		return 1
	}
	return f.share + (1-f.share)*float64(f.now.Sub(b.started))/float64(f.warmUp)
}

// begin brings an attempt to its backend.
func (f *fleet) begin(attempt *fleetAttempt) {
	switch b := attempt.backend; {
	case attempt.done:
	case !b.up || b.statedStart() != attempt.started:
		f.endAttempt(attempt, ConnectFailed)
	default:
		b.begunAt = append(b.begunAt, f.now)
		if len(b.queue) > int(10*f.cores) {
			f.endAttempt(attempt, Rejected)
			return
		}
		b.queue = append(b.queue, attempt)
		f.serve(b)
	}
}

// serve has the free cores of a backend begin with what waits.
func (f *fleet) serve(b *fleetBackend) {
	for ; b.busy < int(f.cores) && b.busy < len(b.queue); b.busy++ {
		attempt, started := b.queue[b.busy], b.started
		slow := f.loadLimits[len(f.loadLimits)-1].slow
		f.in(time.Duration(attempt.work*slow/b.size/f.warmth(b)), func() {
			if b.started != started || !b.up {
				return
			}
			isServed := func(other *fleetAttempt) bool { return other == attempt }
			b.queue = slices.DeleteFunc(b.queue, isServed)
			b.busy--
			f.in(f.latency[attempt.incarnation.index], func() { f.endAttempt(attempt, Succeeded) })
			f.serve(b)
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
		if n := slices.Index(b.queue, attempt); n >= b.busy {
			b.queue = slices.Delete(b.queue, n, n+1)
		}
	}
	if attempt.incarnation.dead {
		return
	}
	done := attempt.request.ended || outcome == Succeeded
	attempt.request.ended = done
	attempt.request.handle.HandleAttemptResult(f.now, AttemptResult{Attempt: attempt.id, Outcome: outcome,
		Elapsed: f.now.Sub(attempt.sentAt), RequestDone: done})
}

// check holds what was sent to a backend since its start against the rule, in every window.
func (f *fleet) check(b *fleetBackend) {
	if b.started.IsZero() {
		return
	}
	first := 0
	for n, at := range b.begunAt {
		age := at.Sub(b.started)
		if age >= f.warmUp {
			break
		}
		f.worst.attempts++
		for !b.begunAt[first].After(at.Add(-f.window)) {
			first++
		}
		capacity := (f.share + (1-f.share)*float64(age)/float64(f.warmUp)) * b.size * f.capacity()
		budget := f.multipleIn(at) * capacity * float64(f.window) / float64(time.Second)
		bound := budget + 2*math.Sqrt(budget) + 2
		if sent := n + 1 - first; float64(sent)/bound > f.worst.part {
			f.worst = worstWindow{
				part:     float64(sent) / bound,
				sent:     sent,
				budget:   budget,
				bound:    bound,
				age:      age,
				attempts: f.worst.attempts,
			}
		}
	}
}

// multipleIn is the most that a backend bears in the window that ends at a time: a change may lie within it.
func (f *fleet) multipleIn(at Instant) float64 {
	multiple := 0.0
	for n, limit := range f.loadLimits {
		isLast := n+1 == len(f.loadLimits)
		if !limit.from.After(at) && (isLast || f.loadLimits[n+1].from.After(at.Add(-f.window))) {
			multiple = max(multiple, limit.multiple/limit.slow)
		}
	}
	return multiple
}
