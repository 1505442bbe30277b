package policy

import (
	"math"
	"slices"

	"fawnplank/internal/pcg"
	"fawnplank/internal/timerqueue"
)

// This file lays out what the decisions remember, and keeps the timers. It decides nothing.

const (
	ms  = int64(1e6)
	sec = int64(1e9)
	// markTick marks the periodic timer; the one for the earliest due time is marked by its number, from 1.
	markTick = 0
)

// profile is a row of the table of profiles.
type profile struct {
	ClassSettings
	wait int64 // longest wait for the counter
}

// plan is a row of the table of plans.
type plan struct {
	PlanSettings
	window  int64   // the time in which the rate fills one burst
	quota   float64 // units a window
	mark    float64 // what a shot out counts beside the units, under a cap on shots out; 0: there is none
	granted mean
	leaves  mean // part of the clients that leave before their time, and after how long
	stay    mean
}

// mean is a mean of what was measured lately, and of how many.
type mean struct{ value, count float64 }

// add takes in one more, over the last most or so.
func (m *mean) add(x, most float64) {
	m.count = min(m.count+1, most)
	m.value += (x - m.value) / m.count
}

// blend is the mean with a guess that weighs as much as so many measured ones.
func (m *mean) blend(guess, weight float64) float64 {
	return (m.value*m.count + guess*weight) / (m.count + weight)
}

// sizes is what was seen lately of how the answer time follows the units.
type sizes struct{ count, units, took, spread, across float64 } // number, means, variance, covariance

func (m *sizes) add(units, took, most float64) {
	m.count = min(m.count+1, most)
	du, dt := units-m.units, took-m.took
	m.units += du / m.count
	m.took += dt / m.count
	m.spread += (du*(units-m.units) - m.spread) / m.count
	m.across += (du*(took-m.took) - m.across) / m.count
}

// Engine is one front door's decisions and all that they remember.
type Engine struct {
	door          Effects
	terms         Settings
	profiles      []profile
	plans         []plan
	chance        *pcg.Source
	born          int64
	due           timerqueue.Queue[task]
	woken         int64  // the time of the earliest wake asked for; 0: none
	wakes         uint64 // its number
	backends      map[BackendID]*backend
	listed        []*backend             // in the order they were first heard of
	ranked        []*backend             // those that are ready, the best first
	calls         map[CounterKey][]*call // unanswered, in the order they were made
	customers     map[TenantID]*customer
	all           mean // answer time of the backends together
	sizes         sizes
	heard         int64   // when any last answered
	full          int64   // when any last turned a shot away
	least         float64 // answer time that is taken for granted at least
	quick         float64 // the usual answer time of quiet moments; 0: unknown
	out, flying   int     // shots out that are not overdue; all of them
	answers, pace float64 // since the last tick; a second
	whole, sized  float64 // the backends that are ready, a cold one as far as it is warm; and by their sizes
	size          float64 // of a backend, on average; the most of that lately
	seen, can     float64 // answers of a backend a second, of all doors alike; the most of them lately
	sent          int     // shots in this door's life
	firsts        float64 // of the first ones, answered
	fails         int     // counter calls failed in a row
	resume        int64   // when a tripped breaker lets a trial call pass
	trial         bool    // the trial call is out
	part          float64 // of the transactions that call, while a crowded counter answers only some
	askAgain      int64   // longest wait before the list is asked for again after a failure
}

// customer is what this door knows of a customer: of its quota, and of the limits that the door holds by
// itself. The count of a window is reckoned against what the rate has refilled since the window's start: the
// customer has used total - refilled of its burst.
type customer struct {
	id      TenantID
	plan    *plan
	start   int64 // of the window
	name    CounterKey
	known   float64 // the window's total as last heard, and what it lacked
	heard   float64 // the window's total alone
	missing float64 // what it lacked: as long as nobody puts it right, what the last window left used, at least
	lacks   int64   // since when the count was seen to lack much; 0: it does not
	righted float64 // what was put right on the counter's numbers, all told
	owed    float64 // units to be told with the next call: let in without the counter, or counted and not sent
	mine    float64 // units told lately by this door
	others  float64 // and by the others
	answers int     // told for this window
	close   bool    // its doors see enough of it to reckon its store together
	granted mean
	spent   float64 // units let in here that the door's share has not refilled yet
	at      int64   // when spent was last reckoned
	out     int     // shots out
	asks    int     // transactions that wait for the counter
	told    int     // of both, what this window's count holds
	ceiling float64
	filled  int64 // when the ceiling's store was last reckoned
}

// call is one unanswered call to the counter.
type call struct {
	c             *customer
	t             *Request // nil: puts the count right
	start         int64    // of the window that the count belongs to
	amount, units float64
	righted       float64 // the customer's, when the call was made
	shots         int     // told along
	waits, in     bool    // decides t when it is answered; t was let in
}

type shot struct {
	to          *backend
	zone        ZoneID
	group       GroupID
	sent        int64
	level       float64 // shots out at the backend from here, this one too
	out, harmed bool    // still out; may have run
	overdue     bool    // past patience
	early       bool    // one of the first of the door's life
}

// Request is the handle of a transaction that was taken.
type Request struct {
	gate                  *Engine
	id                    RequestID
	profile               *profile
	plan                  *plan
	customer              *customer
	units, entries        float64
	drawn                 float64 // from the ceiling
	place                 int     // this door's place among the customer's entry points
	taken                 int64
	promised, limit       int64
	asking                bool // the counter
	inside, over, started bool
	shots                 []*shot
	out                   int
}

// backend is what this door knows of a backend.
type backend struct {
	id       BackendID
	zone     ZoneID
	group    GroupID
	started  int64
	ready    bool
	gone     bool
	out      int
	size     float64 // what it is said to take, against the others
	pace     mean    // its own answer time
	level    float64 // shots out while that was measured
	late     float64 // answer time as reckoned; 0: unknown
	limit    float64 // shots out up to which it is filled in its turn
	heard    int64   // when it last answered
	sent     int64   // when it was last sent to
	turn     int64   // when it had its last shot since its start, while cold; 0: not yet
	rest     int64   // no shots before
	strikes  int     // symptoms of illness since the last good answer
	errors   int     // errors in a row
	key, due float64 // of its rank
	away     float64 // doors' parts between this door's own and the one it lies in
}

// BreakerStatus tells, for figures, whether calls to the counter are stopped, and else which part of the transactions calls.
func (g *Engine) BreakerStatus() (open bool, part float64) { return g.fails >= breakAt, g.part }

// QuotaStatus is what the door knows of a customer's quota, for those who ask without counting.
type QuotaStatus struct {
	Limit         float64 // units that the store holds when it is full; 0: the plan has no such quota
	Rate          float64 // units a second that come back
	Used          float64 // units used and not refilled yet
	FromCounter   bool    // the counter told of this window; else the figures are the door's own share's
	HardQuotaLeft float64 // units left of this door's part of the ceiling; -1: the plan has none
}

// QuotaStatus tells what is known of a customer's quota now, and counts nothing. ok is false for a plan out of range.
func (g *Engine) QuotaStatus(now int64, id TenantID, pl PlanID, entries int) (q QuotaStatus, ok bool) {
	if int(pl) >= len(g.plans) {
		return q, false
	}
	p := &g.plans[pl]
	q = QuotaStatus{Limit: p.quota, Rate: p.Rate, HardQuotaLeft: -1}
	if p.HardQuotaRate > 0 {
		q.HardQuotaLeft = p.HardQuotaBurst / float64(max(entries, 1))
	}
	c := g.customers[id]
	if c == nil || c.plan != p {
		return q, true
	}
	if p.HardQuotaRate > 0 {
		part := float64(now-c.filled) / float64(sec) * p.HardQuotaRate / float64(max(entries, 1))
		q.HardQuotaLeft = min(c.ceiling+part, q.HardQuotaLeft)
	}
	if open, _ := g.BreakerStatus(); open || c.heard == 0 && c.known == 0 {
		part := c.part(float64(max(entries, 1)))
		q.Used = max(c.spent/part-p.Rate*float64(now-c.at)/float64(sec), 0)
	} else {
		q.Used = max(c.known+c.owed-p.Rate*float64(now-c.start)/float64(sec), 0)
		q.FromCounter = c.heard > 0
	}
	return q, true
}

// CounterStats are figures on the counter's failures, as this door met them.
type CounterStats struct {
	BreakerOpen     bool    // calls are stopped
	CallShare       float64 // part of the transactions that call otherwise
	UnreportedUnits float64 // units let in and not told yet, of all customers
	LostUnits       float64 // units that the counter's numbers are known to lack, of all customers
	ReconciledUnits float64 // units put right on the counter's numbers, of all customers remembered
	DriftUnits      float64 // units that the doors may be apart from one count: owed and lacking, together
	Tenants         int     // remembered
}

// CounterStats tells them.
func (g *Engine) CounterStats() CounterStats {
	o := CounterStats{Tenants: len(g.customers)}
	o.BreakerOpen, o.CallShare = g.BreakerStatus()
	for _, c := range g.customers {
		o.UnreportedUnits += max(c.owed, 0)
		o.LostUnits += max(c.missing, 0)
		o.ReconciledUnits += max(c.righted, 0)
	}
	o.DriftUnits = o.UnreportedUnits + o.LostUnits
	return o
}

// WarmStartState is what a door knows of the backends' answer times, for one that is started after it.
type WarmStartState struct {
	BaselineLatency float64            `json:"usual_ns"` // of all together
	Samples         float64            `json:"count"`    // of answers that stand behind it
	Backends        []BackendWarmStart `json:"backends"`
}

// BackendWarmStart is one backend's part.
type BackendWarmStart struct {
	Backend         BackendID `json:"backend"`
	StartedAt       int64     `json:"started"` // of the life that it was learned of
	BaselineLatency float64   `json:"usual_ns"`
	Samples         float64   `json:"count"`
}

// ExportState tells what is known, of the backends listed.
func (g *Engine) ExportState() WarmStartState {
	l := WarmStartState{BaselineLatency: g.all.value, Samples: g.all.count}
	for _, b := range g.listed {
		if b.pace.count > 0 {
			l.Backends = append(l.Backends, BackendWarmStart{b.id, b.started, b.pace.value, b.pace.count})
		}
	}
	return l
}

// ImportState takes over what an earlier life of the door knew, aged: it counts for as much less as it would have faded in
// the meantime, the backends' own times by half in 3.4 s (tick's fade), that of all together by half in ten minutes,
// for a fleet changes in the course of a day. What is known already stays, and so do the figures that rule 4
// rests on: those are learned anew.
func (g *Engine) ImportState(now int64, l WarmStartState, age int64) {
	const half = 600 * sec
	keep := func(count float64, halves float64) float64 { return min(max(count, 0), 30) * math.Exp2(-halves) }
	fine := func(usual float64) bool { return usual > 0 && usual < 1e12 }
	if n := keep(l.Samples, float64(max(age, 0))/float64(half)); n > g.all.count && fine(l.BaselineLatency) {
		g.all = mean{l.BaselineLatency, n}
	}
	for _, x := range l.Backends {
		b := g.backends[x.Backend]
		n := keep(x.Samples, float64(max(age, 0))/(3.4*float64(sec)))
		if b != nil && b.started == x.StartedAt && n > b.pace.count && fine(x.BaselineLatency) {
			b.pace = mean{x.BaselineLatency, n}
		}
	}
	g.rank(now)
}

// dropGone forgets the backends that are gone once nothing is out there: others come under new ids for ever.
func (g *Engine) dropGone() {
	g.listed = slices.DeleteFunc(g.listed, func(b *backend) bool {
		if b.gone && b.out == 0 {
			delete(g.backends, b.id)
			return true
		}
		return false
	})
}

// HandleResponseStarted tells that a stream's answer has begun: the client owns that shot now.
func (t *Request) HandleResponseStarted(now int64, n AttemptID) {
	t.started = true
	if int(n) < len(t.shots) {
		t.shots[n].to.heard = now
	}
}

// Done says that nothing more will come for this handle.
func (t *Request) Done() bool { return t.over && t.out == 0 }

// learn notes what part of a transaction the count let in.
func (c *customer) learn(in float64) {
	c.granted.add(in, 4) // few: customers change in seconds
	c.plan.granted.add(in, 50)
}

// task is something to do at its time, unless while (where there is one) says by then that it is needless.
type task struct {
	while *bool
	what  func(now int64)
}

func (t task) needless() bool { return t.while != nil && !*t.while }

// at calls what at the time when, or soon after, if while still holds. Most of what is set for a transaction
// is needless by then, and nothing wakes for it.
func (g *Engine) at(when int64, while *bool, what func(now int64)) {
	g.due.Push(when, task{while, what})
	if g.woken == 0 || when < g.woken {
		g.wakeAt(when)
	}
}

func (g *Engine) wakeAt(when int64) {
	g.woken = when
	g.wakes++
	g.door.WakeAt(when, g.wakes)
}

// HandleTimer does what has fallen due.
func (g *Engine) HandleTimer(now int64, mark uint64) {
	if mark == markTick {
		g.tick(now)
		return
	}
	if mark != g.wakes {
		return // an earlier one has been asked for since
	}
	for t, ok := g.due.PopDue(now); ok; t, ok = g.due.PopDue(now) {
		if !t.needless() {
			t.what(now)
		}
	}
	g.woken = 0
	// A clock coarser than ours may wake a little early: then this asks again for the same time.
	if next, ok := g.due.NextDue(task.needless); ok {
		g.wakeAt(max(next, now+1))
	}
}

// mix spreads a number over 64 bits.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// span turns seconds into a time that later sums cannot overflow, whatever a plan's figures are.
func span(seconds float64) int64 { return int64(min(max(seconds, 0), 1e8) * float64(sec)) }
