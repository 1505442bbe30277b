// Package model plays a scenario in simulated time: the real decisions of hundreds of front doors, each a
// policy.Gate, between modelled clients, backends, counter and discovery with the scenario's faults. All that
// happens stands in one queue ordered by time, and all chance comes from the seed, so that a run gives the same
// events each time. It must never decide anything that a front door decides, and reads no clock.
package model

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"fawnplank/internal/lab/invariants"
	"fawnplank/internal/lab/results"
	"fawnplank/internal/lab/scenario"
	"fawnplank/internal/lab/workload"
	"fawnplank/internal/timerqueue"
	"fawnplank/policy"
)

// base is what front doors take for the time of the run's start: some day, as their windows go by Unix time.
const base int64 = 1_700_000_000e9

// world is all there is in a run. Times are nanoseconds since its start.
type world struct {
	s        *scenario.Scenario
	now      int64
	due      timerqueue.Queue[func()]
	events   uint64
	rec      *results.Recorder
	people   *workload.Generator
	net      *rand.Rand
	work     *rand.Rand
	doors    []*door
	backends []*backend
	counter  counter
	news     news
	lastTry  invariants.SubmissionID
}

// Run plays a scenario to its end, and gives its results.
func Run(s *scenario.Scenario) (*results.Run, error) {
	w, err := newWorld(s)
	if err != nil {
		return nil, err
	}
	return w.play(), nil
}

func newWorld(s *scenario.Scenario) (*world, error) {
	terms, err := s.EngineSettings(0)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", s.Name, err)
	}
	w := &world{s: s, rec: results.New(s, terms, 2*int64(s.Net.Delay)), people: workload.New(s),
		net: rand.New(rand.NewPCG(s.Seed, 2)), work: rand.New(rand.NewPCG(s.Seed, 3))}
	w.counter = counter{w: w, numbers: map[policy.CounterKey]*number{}, cut: map[int]int{}}
	for n := range s.Backends.Count {
		w.backends = append(w.backends, &backend{w: w, n: n, up: true, stage: policy.EndpointReady, factor: 1})
	}
	for n := range s.Instances.Count {
		d := &door{w: w, n: n}
		if d.terms, err = s.EngineSettings(n); err != nil {
			return nil, err
		}
		w.doors = append(w.doors, d)
		d.start()
	}
	for _, f := range s.Faults {
		w.plan(f)
	}
	w.arrivals()
	w.sample()
	return w, nil
}

// play does all that happens, in order.
func (w *world) play() *results.Run {
	s := w.s
	var longest scenario.Span
	for _, p := range s.Classes {
		longest = max(longest, p.Deadline)
	}
	end := int64(s.Duration + longest + s.Rules.Grace + 1e9)
	for {
		at, ok := w.due.NextDue(func(func()) bool { return false })
		if !ok || at > end {
			break
		}
		what, _ := w.due.PopDue(at)
		w.now = at
		w.events++
		what()
	}
	return w.rec.Finish(end, w.events)
}

// at does what at a time, or at once after what is being done.
func (w *world) at(when int64, what func()) { w.due.Push(max(when, w.now), what) }

// hop is one way through the network: half its usual delay, and as much again on the mean.
func (w *world) hop() int64 {
	d := float64(w.s.Net.Delay)
	return int64(d/2 + d/2*w.net.ExpFloat64())
}

// sample notes each second how many doors have their breaker open.
func (w *world) sample() {
	open := 0
	for _, d := range w.doors {
		if d.gate != nil {
			if o, _ := d.gate.BreakerStatus(); o {
				open++
			}
		}
	}
	w.rec.SetOpenBreakers(w.now, open)
	w.at(w.now+1e9, w.sample)
}

// arrivals lets the next client come, and plans the one after it.
func (w *world) arrivals() {
	next, ok := w.people.Next()
	if !ok {
		return
	}
	w.at(next.AtNanos, func() {
		w.ask(next, next.AtNanos, 0)
		w.arrivals()
	})
}

// try is one try of a transaction at a door.
type try struct {
	invariants.Event
	ask    workload.Request
	again  int // tries before it
	door   *door
	life   int
	handle *policy.Request
	shots  []*shot
	ended  bool
}

// ask lets a client try a transaction that it wants answered by its limit.
func (w *world) ask(a workload.Request, due int64, again int) {
	d := w.doors[w.people.Instance(a)]
	w.lastTry++
	t := &try{ask: a, again: again, door: d, Event: invariants.Event{AtNanos: w.now, Kind: invariants.Submitted, Submission: w.lastTry, Instance: d.n,
		Tenant: a.Tenant, Class: a.Class, Plan: a.Plan, Units: a.Units, DeadlineNanos: a.DeadlineNanos, DueNanos: due, IsRetry: again > 0}}
	if d.gate == nil { // refused; another door may take it
		w.at(w.now+2*w.hop(), func() {
			if again < w.s.Load.Retries+3 && w.now < a.DeadlineNanos {
				w.ask(a, due, again+1)
			} else {
				w.rec.CountNotSent(w.now)
			}
		})
		return
	}
	w.rec.Observe(t.Event)
	life := d.life
	w.at(w.now+w.hop(), func() {
		if d.life == life {
			d.take(t)
		} else {
			t.lose()
		}
	})
}

// answer brings a final answer to the client, which may come again where it was dismissed.
func (t *try) answer(kind invariants.Kind, comeBack int64) {
	w := t.door.w
	t.ended = true
	w.at(w.now, func() { // once the gate has returned: it may have ended with no shot out
		if t.door.life == t.life {
			t.door.keep(t)
		}
	})
	w.at(w.now+w.hop(), func() {
		w.rec.Observe(invariants.Event{AtNanos: w.now, Kind: kind, Submission: t.Submission, Instance: t.door.n})
		if kind != invariants.Rejected || t.again >= w.s.Load.Retries {
			return
		}
		if wait := w.people.RetryDelay(t.again, comeBack); w.now+wait < t.DeadlineNanos {
			w.at(w.now+wait, func() { w.ask(t.ask, w.now, t.again+1) })
		}
	})
}

// lose tells that the try's door died under it.
func (t *try) lose() {
	w := t.door.w
	if t.ended {
		return
	}
	t.ended = true
	w.rec.Observe(invariants.Event{AtNanos: w.now, Kind: invariants.Abandoned, Submission: t.Submission})
	if t.again < w.s.Load.Retries && w.s.Classes[t.Class].Idempotency == "reissuable" && w.now < t.DeadlineNanos {
		w.at(w.now+2*w.hop(), func() { w.ask(t.ask, w.now, t.again+1) })
	}
}

// door is one front door: its decisions, and policy.Door towards them.
type door struct {
	w     *world
	n     int
	life  int // how often it was started; what belongs to an earlier life is void
	terms policy.Settings
	gate  *policy.Engine
	open  map[policy.RequestID]*try
	calls map[policy.CounterKey][]*call
	mark  uint64
}

func (d *door) start() {
	d.life++
	d.open, d.calls = map[policy.RequestID]*try{}, map[policy.CounterKey][]*call{}
	seed := rand.New(rand.NewPCG(d.w.s.Seed, uint64(d.n)<<20|uint64(d.life)|1<<60)).Uint64()
	d.gate = policy.New(base+d.w.now, seed, d.terms, d)
	list := make([]policy.Endpoint, 0, len(d.w.backends))
	for _, b := range d.w.backends {
		if b.stage != policy.EndpointGone {
			list = append(list, d.told(b))
		}
	}
	d.gate.UpdateEndpoints(base+d.w.now, policy.FullSnapshot, list)
}

// told notes that the door is told of a backend, and gives the list's line.
func (d *door) told(b *backend) policy.Endpoint {
	d.w.rec.Observe(invariants.Event{AtNanos: d.w.now, Kind: invariants.EndpointDelivered, Instance: d.n, Backend: b.n, State: b.stage, StartedNanos: b.started})
	l := policy.Endpoint{Backend: policy.BackendID(b.n + 1), Zone: policy.ZoneID(b.n % d.w.s.Backends.Zones),
		Group: policy.GroupID(b.n % d.w.s.Backends.Groups), Capacity: 1, State: b.stage}
	if b.started > 0 {
		l.StartedAt = base + b.started
	}
	return l
}

func (d *door) die() {
	d.life++
	d.gate = nil
	d.w.rec.Observe(invariants.Event{AtNanos: d.w.now, Kind: invariants.InstanceDied, Instance: d.n})
	ids := make([]policy.RequestID, 0, len(d.open))
	for id := range d.open {
		ids = append(ids, id)
	}
	slices.Sort(ids) // map order must not show
	open := d.open
	d.open = nil
	for _, id := range ids {
		open[id].lose()
	}
}

func (d *door) take(t *try) {
	id := policy.RequestID(t.Submission)
	t.life = d.life
	d.open[id] = t
	c := d.w.people.Tenants[t.Tenant]
	t.handle = d.gate.Submit(base+d.w.now, policy.RequestSpec{
		ID:            id,
		Class:         policy.ClassID(t.Class),
		Plan:          policy.PlanID(t.Plan),
		Tenant:        policy.TenantID(t.Tenant + 1),
		Remaining:     max(t.DeadlineNanos-d.w.now, 0),
		Units:         t.Units,
		EntryPoints:   d.w.s.Load.EntryPoints,
		FirstInstance: c.FirstInstance,
	})
	d.keep(t)
}

// keep lets go of a try once nothing more can come for it.
func (d *door) keep(t *try) {
	if t.handle != nil && t.handle.Done() {
		delete(d.open, policy.RequestID(t.Submission))
	}
}

// Send sends a shot.
func (d *door) Send(id policy.RequestID, b policy.BackendID, expire, _ int64) { // the model sends at once
	w, t := d.w, d.open[id]
	until := t.DeadlineNanos
	if expire > 0 {
		until = min(until, expire-base)
	}
	s := &shot{t: t, n: policy.AttemptID(len(t.shots)), to: w.backends[b-1], sent: w.now}
	t.shots = append(t.shots, s)
	w.rec.Observe(invariants.Event{AtNanos: w.now, Kind: invariants.AttemptSent, Submission: t.Submission, Instance: d.n, Backend: s.to.n})
	w.at(until, func() { s.settle(policy.TimedOut) })
	w.at(w.now+w.hop(), func() { s.to.arrive(s) })
}

// Cancel gives a shot up.
func (d *door) Cancel(id policy.RequestID, n policy.AttemptID) {
	if t := d.open[id]; t != nil && int(n) < len(t.shots) {
		s := t.shots[n]
		s.dropped = true
		d.w.at(d.w.now, func() { s.settle(policy.Canceled) })
	}
}

// Reject gives a final answer.
func (d *door) Reject(id policy.RequestID, comeBack int64) {
	d.open[id].answer(invariants.Rejected, comeBack)
}

// Abort gives a final answer.
func (d *door) Abort(id policy.RequestID) { d.open[id].answer(invariants.Aborted, 0) }

// Admit is never called: scenarios have no profile that only counts.
func (d *door) Admit(policy.RequestID) {}

// WakeAt asks for a call at a time.
func (d *door) WakeAt(at int64, mark uint64) {
	if mark != 0 {
		d.mark = mark
	}
	life := d.life
	d.w.at(at-base, func() {
		if d.life == life && (mark == 0 || mark == d.mark) {
			d.gate.HandleTimer(base+d.w.now, mark)
		}
	})
}

// AddToCounter calls the counter.
func (d *door) AddToCounter(c policy.CounterKey, units float64, lifetime int64) {
	d.w.counter.call(d, c, units, lifetime)
}

// CheckHealth tests a backend.
func (d *door) CheckHealth(b policy.BackendID) {
	w, life, x := d.w, d.life, d.w.backends[b-1]
	w.at(w.now+2*w.hop(), func() {
		o := policy.Succeeded
		if !x.up || x.refuse > 0 || x.hang > 0 {
			o = policy.ConnectFailed
		}
		if d.life == life {
			d.gate.HandleHealthCheck(base+w.now, b, o)
		}
	})
}

// WatchEndpoints does nothing: discovery tells its news unasked.
func (d *door) WatchEndpoints() {}

// Log does nothing: notes are for people.
func (d *door) Log(string) {}

// shot is one sending of a try to a backend.
type shot struct {
	t       *try
	n       policy.AttemptID
	to      *backend
	sent    int64
	settled bool
	dropped bool // given up; a backend that has not begun it leaves it
	work    float64
}

// settle tells the door how the shot ended, once.
func (s *shot) settle(o policy.Outcome) {
	t, w := s.t, s.t.door.w
	if s.settled || t.door.life != t.life {
		return
	}
	s.settled, s.dropped = true, true
	if o == policy.Succeeded && !t.ended {
		t.answer(invariants.Succeeded, 0)
	}
	t.handle.HandleAttemptResult(base+w.now, policy.AttemptResult{
		Attempt:     s.n,
		Outcome:     o,
		Elapsed:     w.now - s.sent,
		RequestDone: t.ended,
	})
	t.door.keep(t)
}

// backend works on shots on so many cores, and lets a line wait.
type backend struct {
	w                                        *world
	n                                        int
	up                                       bool
	silent                                   bool // down, and says nothing: a machine that vanished
	stage                                    policy.EndpointState
	started                                  int64
	life                                     int
	running                                  []*shot
	line                                     []*shot
	factor                                   float64
	refuse, hang, reset, garble, fail, drain int
	away                                     int // taken off the list
}

// share is the part of its capacity that the backend has: from the cold share up to all of it.
func (b *backend) share() float64 {
	r := b.w.s.Rules
	age := b.w.now - b.started
	if b.started == 0 || age >= int64(r.SlowStart) {
		return 1
	}
	return r.InitialCapacity + (1-r.InitialCapacity)*float64(age)/float64(r.SlowStart)
}

func (b *backend) arrive(s *shot) {
	w := b.w
	if !b.up && b.silent {
		return // the shot's time runs out
	}
	if !b.up || b.refuse > 0 {
		w.at(w.now+w.hop(), func() { s.settle(policy.ConnectFailed) })
		return
	}
	s.work = w.people.WorkNanos(w.work, s.t.Units)
	w.rec.Observe(invariants.Event{AtNanos: w.now, Kind: invariants.AttemptArrived, Submission: s.t.Submission, Instance: s.t.door.n, Backend: b.n, StartedNanos: b.started,
		WorkSeconds: s.work / 1e9})
	switch {
	case b.hang > 0:
	case b.drain > 0, len(b.running) >= w.s.Backends.Cores && len(b.line) >= w.s.Backends.Queue:
		w.rec.Observe(invariants.Event{AtNanos: w.now, Kind: invariants.AttemptRefused, Submission: s.t.Submission, Backend: b.n})
		w.at(w.now+w.hop(), func() { s.settle(policy.Rejected) })
	case len(b.running) < w.s.Backends.Cores:
		b.begin(s)
	default:
		b.line = append(b.line, s)
	}
}

func (b *backend) begin(s *shot) {
	w, life := b.w, b.life
	b.running = append(b.running, s)
	w.at(w.now+int64(s.work*b.factor/b.share()), func() {
		if b.life == life {
			b.end(s)
		}
	})
}

func (b *backend) end(s *shot) {
	w := b.w
	b.running = slices.DeleteFunc(b.running, func(x *shot) bool { return x == s })
	for len(b.line) > 0 && len(b.running) < w.s.Backends.Cores {
		next := b.line[0]
		b.line = b.line[1:]
		if !next.dropped { // its connection is closed: nobody waits for it
			b.begin(next)
		}
	}
	o := policy.Succeeded
	switch {
	case b.hang > 0:
		return
	case b.reset > 0:
		o = policy.ConnectionLost
	case b.garble > 0, b.fail > 0:
		o = policy.Failed
	}
	w.at(w.now+w.hop(), func() { s.settle(o) })
}

// die ends all work; connections break, or say nothing more where the machine vanishes.
func (b *backend) die(silent bool) {
	w := b.w
	all := append(b.running, b.line...)
	b.up, b.silent, b.running, b.line = false, silent, nil, nil
	b.life++
	for _, s := range all {
		if !silent {
			w.at(w.now+w.hop(), func() { s.settle(policy.ConnectionLost) })
		}
	}
}

// rise starts the backend anew, cold.
func (b *backend) rise() {
	b.up, b.silent, b.started = true, false, b.w.now
	b.stage = policy.EndpointReady
	b.w.news.tell(b)
}

// number is one of the counter's.
type number struct {
	total float64
	until int64
}

// counter adds up numbers, one call at a time.
type counter struct {
	w            *world
	numbers      map[policy.CounterKey]*number
	free         int64 // when it has time for the next call
	refuse, hang int
	slow         int64
	cut          map[int]int // doors that it hears nothing from
	held         []func()
}

// call is one call of a door; answers for a name come in order.
type call struct {
	door  *door
	life  int
	name  policy.CounterKey
	done  bool
	o     policy.Outcome
	total float64
}

func (k *call) resolve(o policy.Outcome, total float64) {
	if k.done || k.door.life != k.life {
		return
	}
	k.done, k.o, k.total = true, o, total
	d := k.door
	for len(d.calls[k.name]) > 0 && d.calls[k.name][0].done {
		first := d.calls[k.name][0]
		if d.calls[k.name] = d.calls[k.name][1:]; len(d.calls[k.name]) == 0 {
			delete(d.calls, k.name)
		}
		d.w.rec.CountCounterCall(d.w.now, first.o != policy.Succeeded)
		d.gate.HandleCounterResult(base+d.w.now, first.o, k.name, first.total)
		if d.life != k.life {
			return
		}
	}
}

func (c *counter) call(d *door, name policy.CounterKey, units float64, lifetime int64) {
	w := c.w
	k := &call{door: d, life: d.life, name: name}
	d.calls[name] = append(d.calls[name], k)
	w.at(w.now+int64(w.s.Counter.Timeout), func() { k.resolve(policy.TimedOut, 0) })
	w.at(w.now+w.hop(), func() {
		add := func() {
			n := c.numbers[name]
			if n == nil || n.until <= w.now {
				n = &number{until: w.now + min(lifetime, 60e9)}
				c.numbers[name] = n
			}
			n.total = float64(float32(n.total + units)) // totals have seven digits
			total := n.total
			w.at(w.now+w.hop(), func() { k.resolve(policy.Succeeded, total) })
		}
		switch {
		case c.cut[d.n] > 0: // lost on the way
		case c.refuse > 0:
			w.at(w.now+w.hop(), func() { k.resolve(policy.ConnectFailed, 0) })
		case c.hang > 0:
			c.held = append(c.held, add)
		default:
			start := max(w.now, c.free)
			if w.s.Counter.Rate > 0 {
				if start-w.now > 4*int64(w.s.Counter.Timeout) { // its line is full
					w.at(w.now+w.hop(), func() { k.resolve(policy.Rejected, 0) })
					return
				}
				c.free = start + int64(1e9/w.s.Counter.Rate)
			}
			w.at(start+int64(w.s.Counter.Delay)+c.slow, add)
		}
	})
}

// forget empties the counter.
func (c *counter) forget() { clear(c.numbers) }

// news is discovery: it tells all doors of changes, later.
type news struct {
	stale int
	late  int64
	held  []func()
}

func (n *news) tell(b *backend) {
	w := b.w
	w.at(w.now+int64(w.s.Discovery.Delay)+n.late, func() {
		if n.stale > 0 {
			n.held = append(n.held, func() { w.spread(b) })
		} else {
			w.spread(b)
		}
	})
}

// spread tells all doors what the backend is now.
func (w *world) spread(b *backend) {
	for _, d := range w.doors {
		if d.gate != nil {
			d.gate.UpdateEndpoints(base+w.now, policy.Delta, []policy.Endpoint{d.told(b)})
		}
	}
}

// plan sets a fault's begin and end.
func (w *world) plan(f scenario.Fault) {
	from := int64(f.At)
	for i, n := range w.s.Targets(f) {
		at := from + int64(i)*int64(f.Stagger)
		w.at(at, func() { w.begin(f, n, at+int64(f.Duration)) })
	}
	if len(f.Targets) == 0 && f.Share == 0 {
		w.at(from, func() { w.begin(f, 0, from+int64(f.Duration)) })
	}
}

// during counts up while the fault holds: faults of a kind may overlap.
func (w *world) during(n *int, until int64, ended func()) {
	*n++
	w.at(until, func() {
		*n--
		if ended != nil && *n == 0 {
			ended()
		}
	})
}

func (w *world) begin(f scenario.Fault, n int, until int64) {
	c, b, d := &w.counter, (*backend)(nil), (*door)(nil)
	if n < len(w.backends) {
		b = w.backends[n]
	}
	if n < len(w.doors) {
		d = w.doors[n]
	}
	release := func(held *[]func()) func() {
		return func() {
			all := *held
			*held = nil
			for _, what := range all {
				what()
			}
		}
	}
	switch f.Kind {
	case scenario.BackendRefuse:
		w.during(&b.refuse, until, nil)
	case scenario.BackendHang:
		w.during(&b.hang, until, nil)
	case scenario.BackendReset:
		w.during(&b.reset, until, nil)
	case scenario.BackendGarble:
		w.during(&b.garble, until, nil)
	case scenario.BackendError:
		w.during(&b.fail, until, nil)
	case scenario.BackendSlow:
		b.factor *= f.Factor
		w.at(until, func() { b.factor /= f.Factor })
	case scenario.BackendDrain:
		b.stage = policy.EndpointDraining
		w.news.tell(b)
		w.during(&b.drain, until, func() {
			b.stage = policy.EndpointReady
			w.news.tell(b)
		})
	case scenario.BackendVanish:
		b.die(true)
		b.stage = policy.EndpointGone
		w.news.tell(b)
		w.at(until, b.rise)
	case scenario.BackendWithdraw:
		b.stage = policy.EndpointGone
		w.news.tell(b)
		w.during(&b.away, until, func() {
			b.stage, b.started = policy.EndpointReady, w.now
			w.news.tell(b)
		})
	case scenario.BackendRestart:
		b.die(false)
		w.at(until, b.rise)
	case scenario.CounterRefuse:
		w.during(&c.refuse, until, nil)
	case scenario.CounterHang:
		w.during(&c.hang, until, release(&c.held))
	case scenario.CounterSlow:
		c.slow += int64(f.Delay)
		w.at(until, func() { c.slow -= int64(f.Delay) })
	case scenario.CounterEmpty:
		c.forget()
	case scenario.CounterCut:
		c.cut[n]++
		w.at(until, func() { c.cut[n]-- })
	case scenario.DiscoveryStale, scenario.DiscoveryRefuse:
		w.during(&w.news.stale, until, release(&w.news.held))
	case scenario.DiscoveryLate:
		w.news.late += int64(f.Delay)
		w.at(until, func() { w.news.late -= int64(f.Delay) })
	case scenario.InstanceRestart:
		if d.gate == nil {
			return // down already
		}
		d.die()
		w.at(until, d.start)
	default:
		panic("model: no way to play " + string(f.Kind)) // the scenario was checked: a kind was added there alone
	}
}
