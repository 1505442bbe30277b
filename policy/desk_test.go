package policy

import (
	"fmt"
	"slices"
	"testing"
)

// desk stands in for all around one gate: it does what the gate asks for, checks the rules at every action,
// and keeps a log of the actions.
type desk struct {
	t       testing.TB
	g       *Engine
	terms   Settings
	now     int64
	log     []string
	wakes   []wake
	state   map[BackendID]Endpoint
	taken   map[RequestID]*taken
	order   []RequestID
	asked   []asked // calls to the counter without an answer
	counter map[CounterKey]float64
	probes  []BackendID
	follows int
	drawn   map[TenantID]float64 // first shots' units of customers under a ceiling
	sends   map[BackendID][]int64
	done    []int64 // when shots were answered well
	peak    int     // most of them within a second
}

type wake struct {
	at   int64
	mark uint64
}

type asked struct {
	name  CounterKey
	units float64
}

type taken struct {
	h        *Request
	profile  ClassSettings
	plan     PlanSettings
	customer TenantID
	units    float64
	entries  int
	limit    int64
	shots    []outShot
	ended    string // how the final answer was given
	advice   int64
	streamed bool
}

type outShot struct {
	to     Endpoint
	sent   int64
	expire int64
	begin  int64 // not begun then or later
	out    bool
	harmed bool // may have run
}

func newDesk(t testing.TB, terms Settings, backends ...Endpoint) *desk {
	d := &desk{t: t, terms: terms, now: 1000 * second, state: map[BackendID]Endpoint{},
		taken: map[RequestID]*taken{}, counter: map[CounterKey]float64{}, drawn: map[TenantID]float64{},
		sends: map[BackendID][]int64{}}
	d.g = New(d.now, 7, terms, d)
	d.list(CachedSnapshot, backends...)
	return d
}

func (d *desk) list(how UpdateKind, list ...Endpoint) {
	if how == FullSnapshot || how == CachedSnapshot {
		for id, l := range d.state {
			l.State = EndpointGone
			d.state[id] = l
		}
	}
	for _, l := range list {
		if l.StartedAt != d.state[l.Backend].StartedAt {
			d.sends[l.Backend] = nil // rule 4 counts what is sent by those that were told
		}
		d.state[l.Backend] = l
	}
	d.g.UpdateEndpoints(d.now, how, list)
}

func (d *desk) note(format string, x ...any) {
	d.log = append(d.log, fmt.Sprintf("%d ", d.now)+fmt.Sprintf(format, x...))
}

func (d *desk) Send(id RequestID, b BackendID, expire, begin int64) {
	d.note("shoot %d at %d until %d", id, b, expire)
	x, to := d.taken[id], d.state[b]
	if x.ended != "" || x.streamed || d.now >= x.limit {
		d.t.Errorf("rule 1: shot for %d, which is over (%q)", id, x.ended)
	}
	if to.State != EndpointReady {
		d.t.Errorf("rule 3: shot at %d, which is not ready", b)
	}
	d.sends[b] = append(d.sends[b], d.now)
	if to.StartedAt > 0 && d.now-to.StartedAt < d.terms.SlowStartDuration {
		n := 0
		for _, at := range d.sends[b] {
			if at > d.now-d.terms.OverloadWindow {
				n++
			}
		}
		age := float64(d.now-to.StartedAt) / float64(d.terms.SlowStartDuration)
		part := d.terms.SlowStartShare + (1-d.terms.SlowStartShare)*age
		// A transaction's work on one core is a fifth of a second in these tests; more cores show in what is
		// answered.
		ready := 0
		for _, l := range d.state {
			if l.State == EndpointReady {
				ready++
			}
		}
		rate := max(5, float64(d.peak*d.terms.Instances)/float64(ready))
		can := d.terms.OverloadMultiple * part * float64(d.terms.OverloadWindow) / float64(second) * rate
		if n > 1 && float64(n*d.terms.Instances) > can { // a single shot does not tell a door's pace
			d.t.Errorf("rule 4: %d shots of %d doors at cold %d, which bears %.1f", n, d.terms.Instances, b, can)
		}
	}
	x.shots = append(x.shots, outShot{to: to, sent: d.now, expire: expire, begin: begin, out: true, harmed: true})
	d.shotRules(x)
}

// shotRules checks rule 2 for the newest shot, and rule 5 for the first.
func (d *desk) shotRules(x *taken) {
	last := len(x.shots) - 1
	for _, s := range x.shots[:last] {
		if s.out && !d.terms.Hedging {
			d.t.Errorf("rule 2: two shots out")
		}
		if !s.harmed {
			continue
		}
		to := x.shots[last].to
		switch p := x.profile; {
		case p.Idempotency == NonIdempotent:
			d.t.Errorf("rule 2: another shot of an at-most-once transaction")
		case p.Idempotency == IdempotentWithKey && (d.now >= s.sent+p.DedupWindow || p.DedupScope == DedupByZone && s.to.Zone != to.Zone ||
			p.DedupScope == DedupByGroup && s.to.Group != to.Group):
			d.t.Errorf("rule 2: numbered transaction sent outside its group or memory")
		}
	}
	if last == 0 && x.plan.HardQuotaRate > 0 {
		d.drawn[x.customer] += x.units
		n := float64(x.entries)
		if d.drawn[x.customer] > x.plan.HardQuotaRate/n*float64(d.now-1000*second)/float64(second)+roundingTolerance {
			d.t.Errorf("rule 5: %.1f units drawn by %d ns", d.drawn[x.customer], d.now-1000*second)
		}
	}
}

func (d *desk) Cancel(id RequestID, n AttemptID) { d.note("recall %d of %d", n, id) }
func (d *desk) WakeAt(at int64, mark uint64)     { d.wakes = append(d.wakes, wake{at, mark}) }
func (d *desk) CheckHealth(b BackendID)          { d.probes = append(d.probes, b) }
func (d *desk) WatchEndpoints()                  { d.follows++ }
func (d *desk) Log(text string)                  { d.note("%s", text) }
func (d *desk) AddToCounter(c CounterKey, units float64, lifetime int64) {
	if lifetime <= 0 || lifetime > 60*second {
		d.t.Errorf("count for %d ns", lifetime)
	}
	d.note("count %d by %.3f", c, units)
	d.asked = append(d.asked, asked{c, units})
}
func (d *desk) Reject(id RequestID, comeBack int64) { d.ends(id, "dismissed", comeBack) }
func (d *desk) Admit(id RequestID)                  { d.ends(id, "granted", 0) }
func (d *desk) Abort(id RequestID)                  { d.ends(id, "broken off", 0) }

func (d *desk) ends(id RequestID, how string, advice int64) {
	d.note("%d %s, back in %d", id, how, advice)
	x := d.taken[id]
	if x.ended != "" {
		d.t.Errorf("rule 1: %d got two final answers", id)
	}
	x.ended, x.advice = how, advice
	for _, s := range x.shots {
		e := x.profile.Idempotency
		if how == "dismissed" && s.harmed && e != Idempotent && (e != IdempotentWithKey || x.profile.DedupScope != DedupByAll) {
			d.t.Errorf("rule 2: %d dismissed, may have run", id)
		}
	}
	if advice < 0 || advice > d.terms.MaxRetryAfter {
		d.t.Errorf("advice of %d ns", advice)
	}
}

// take takes a transaction that comes in through two doors.
func (d *desk) take(id RequestID, pr ClassID, pl PlanID, c TenantID, left int64,
	units float64) *taken {
	x := &taken{customer: c, units: units, entries: 2, limit: d.now + left}
	if int(pr) < len(d.terms.Classes) && int(pl) < len(d.terms.Plans) {
		x.profile, x.plan = d.terms.Classes[pr], d.terms.Plans[pl]
	}
	d.taken[id] = x
	d.order = append(d.order, id)
	x.h = d.g.Submit(d.now, RequestSpec{ID: id, Class: pr, Plan: pl, Tenant: c, Remaining: left, Units: units,
		EntryPoints: 2})
	return x
}

// check looks for transactions whose answer is overdue.
func (d *desk) check() {
	for _, id := range d.order {
		if x := d.taken[id]; x.ended == "" && d.now > x.limit+16*millisecond && !x.streamed {
			d.t.Errorf("rule 1: %d has no answer %d ns after its time", id, d.now-x.limit)
			x.ended = "lost"
		}
	}
}

// settle ends a shot.
func (d *desk) settle(x *taken, n int, o Outcome) {
	s := &x.shots[n]
	if !s.out {
		return
	}
	s.out, s.harmed = false, o != Rejected && o != ConnectFailed && o != NotSent
	over := x.ended != "" || o == Succeeded
	if o == Succeeded && x.ended == "" {
		x.ended = "fulfilled"
	}
	if o == Succeeded {
		d.done = append(d.done, d.now)
		for d.done[0] <= d.now-second {
			d.done = d.done[1:]
		}
		d.peak = max(d.peak, len(d.done))
	}
	x.h.HandleAttemptResult(d.now, AttemptResult{Attempt: AttemptID(n), Outcome: o, Elapsed: d.now - s.sent,
		RequestDone: over})
	d.check()
}

// answer brings the counter's answer to the oldest call.
func (d *desk) answer(o Outcome) {
	k := d.asked[0]
	d.asked = d.asked[1:]
	if o == Succeeded {
		d.counter[k.name] += k.units
	}
	d.g.HandleCounterResult(d.now, o, k.name, d.counter[k.name])
	d.check()
}

// pass lets time go on, a step of the wire at a time: wakes come due, and shots end with their client's
// patience.
func (d *desk) pass(span int64) {
	for end := d.now + span; d.now < end; {
		d.now = min(d.now+4*millisecond, end)
		due := d.wakes
		d.wakes = nil
		slices.SortStableFunc(due, func(a, b wake) int { return int(min(max(a.at-b.at, -1), 1)) })
		for _, w := range due {
			if w.at <= d.now {
				d.g.HandleTimer(d.now, w.mark)
			} else {
				d.wakes = append(d.wakes, w)
			}
		}
		for _, id := range d.order {
			x := d.taken[id]
			for n := range x.shots {
				if s := x.shots[n]; s.out && !x.streamed && (d.now >= x.limit || s.expire > 0 && d.now >= s.expire) {
					d.settle(x, n, TimedOut)
				}
			}
		}
		d.check()
	}
}
