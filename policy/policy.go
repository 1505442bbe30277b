// Package policy holds every decision of one front door. Its interface (ids, outcomes, terms, and the Door that
// the decisions act through) is in api.go.
//
// How to call it: New makes a Gate from the terms; Backends feeds it the list. Take takes a transaction and
// gives its handle; Settled, Started and Left are called on that handle. Counted, Probed and Wake bring the
// answers of the counter, of probes and of the clock. Calls of one Gate come one at a time, in order of time.
// Each transaction is counted on the counter under a short wait; a breaker stops calling a counter that fails,
// and the front door's share of the quota decides instead. What is let in goes to the first backend of a ranked
// order that is below its learned limit. Only (*Transaction).shoot sends, and only end and Settled finish.
package policy

import (
	"fmt"
	"math"
	"sort"

	"fawnplank/internal/due"
	"fawnplank/internal/pcg"
)

const (
	ms  = int64(1e6)
	sec = int64(1e9)
	// slop forgives rounding: the counter tells totals to seven digits.
	slop = 0.01
)

// Marks of the two timers: the periodic one, and the one for the earliest due time.
const (
	markTick = iota
	markDue
)

// profile is a row of the table of profiles.
type profile struct {
	ProfileTerms
	wait     int64 // longest wait for the counter
	patience int64 // a shot that outlasts it on a silent backend is taken for stalled
}

// plan is a row of the table of plans.
type plan struct {
	PlanTerms
	window int64   // the time in which the rate fills one burst
	quota  float64 // units a window
}

// Gate is one front door's decisions and all that they remember.
type Gate struct {
	door      Door
	terms     Terms
	profiles  []profile
	plans     []plan
	chance    *pcg.Source
	born      int64
	due       due.Queue[func(now int64)]
	woken     int64 // the time of the earliest wake asked for; 0: none
	backends  map[BackendID]*backend
	ranked    []*backend
	counts    map[CountID]*count
	customers map[CustomerID]*customer
	held      []*Transaction // let in, waiting for room at a backend
	pace      float64        // answers a second
	answers   int            // since the last tick
	fails     int            // counter calls failed in a row
	resume    int64          // when a tripped breaker lets a trial call pass
	trial     bool           // the trial call is out
	askAgain  int64          // wait before the list is asked for again
}

// customer is what a customer uses of the limits that the front door holds by itself.
type customer struct {
	out     int // shots out
	ceiling float64
	filled  int64 // when the ceiling's store was last reckoned
}

// count is a customer's use in one window. The front door lets in let units and means to have told the counter
// just that, plus what it asks for right now; told and lost say what it did tell and what of that got lost.
type count struct {
	name       CountID
	plan       *plan
	ends       int64
	let, asked float64
	told, lost float64
	known      float64 // use by all front doors as last heard, less what was dismissed
	calls      []call  // unanswered, in the order they were made
}

type call struct {
	t            *Transaction // nil once decided without the answer
	amount, told float64
}

type shot struct {
	to          *backend
	zone        ZoneID
	group       GroupID
	sent        int64
	out, harmed bool // still out; may have run
}

// Transaction is the handle of a transaction that was taken.
type Transaction struct {
	gate            *Gate
	id              TransactionID
	profile         *profile
	plan            *plan
	customer        *customer
	count           *count
	units, entries  float64
	place           int // this door's place among the customer's entry points
	promised, limit int64
	asking, let     bool // waits for the counter; was let in
	inside, waiting bool // within the quota; held for room
	over, started   bool
	shots           []shot
	out             int
}

// New starts the decisions of a front door.
func New(now int64, seed uint64, terms Terms, door Door) *Gate {
	g := &Gate{door: door, terms: terms, chance: pcg.New(seed), born: now, backends: map[BackendID]*backend{},
		counts: map[CountID]*count{}, customers: map[CustomerID]*customer{}, askAgain: 500 * ms}
	for _, p := range terms.Profiles {
		// A twentieth of the promised time: the post's 45 of 300 ms is dear where the calls wait in line. Four
		// fifths of the counter's own limit keep the wait below it.
		wait := max(min(p.Promised/20, terms.CounterTimeout*4/5), ms)
		// Three tenths leave time for the stalled shot, another one and its answer.
		g.profiles = append(g.profiles, profile{p, wait, max(p.Promised*3/10, ms)})
	}
	for _, p := range terms.Plans {
		row := plan{PlanTerms: p}
		if p.Rate > 0 {
			// The counter drops numbers after a minute; the lower bound keeps absurd plans from spinning.
			row.window = int64(min(max(p.Burst/p.Rate, 0.01), 50) * float64(sec))
			row.quota = p.Rate * float64(row.window) / float64(sec)
		}
		g.plans = append(g.plans, row)
	}
	if terms.ListOnRequest {
		door.Follow()
	}
	g.tick(now)
	return g
}

// at calls what at the time when, or soon after.
func (g *Gate) at(when int64, what func(now int64)) {
	g.due.Add(when, what)
	if g.woken == 0 || when < g.woken {
		g.woken = when
		g.door.Wake(when, markDue)
	}
}

// Wake does what has fallen due.
func (g *Gate) Wake(now int64, mark uint64) {
	if mark == markTick {
		g.tick(now)
		return
	}
	if g.woken == 0 || now < g.woken {
		return
	}
	for {
		what, ok := g.due.Take(now)
		if !ok {
			break
		}
		what(now)
	}
	g.woken = 0
	if next, ok := g.due.Next(); ok {
		g.woken = next
		g.door.Wake(next, markDue)
	}
}

// tick is the periodic work. A tenth of a second gives even slow doors an answer or two between two orders.
func (g *Gate) tick(now int64) {
	const period = 100 * ms
	g.pace += 0.1 * (float64(g.answers)*float64(sec/period) - g.pace)
	g.answers = 0
	g.rank()
	g.fill(now)
	g.door.Wake(now+period, markTick)
}

// Take takes a transaction. left is the time until its client gives up; the customer's transactions come in
// through entries front doors in a row, the first of which is first.
func (g *Gate) Take(now int64, id TransactionID, pr ProfileID, pl PlanID, c CustomerID, left int64,
	units float64, entries, first int) *Transaction {
	t := &Transaction{gate: g, id: id, units: max(units, 0), entries: float64(max(entries, 1))}
	if int(pr) >= len(g.profiles) || int(pl) >= len(g.plans) {
		g.door.Note(fmt.Sprintf("transaction of unknown profile %d or plan %d broken off", pr, pl))
		t.over = true
		g.door.BreakOff(id)
		return t
	}
	t.profile, t.plan, t.customer = &g.profiles[pr], &g.plans[pl], g.customer(now, c)
	t.limit = now + max(left, 0)
	t.promised = min(now+t.profile.Promised, t.limit)
	t.place = ((g.terms.Me-first)%max(g.terms.Doors, 1) + max(g.terms.Doors, 1)) % max(g.terms.Doors, 1)
	if t.plan.CeilingRate > 0 {
		if lacks := t.units - t.fillCeiling(now); lacks > 0 {
			t.end(now, int64(lacks*t.entries/t.plan.CeilingRate*float64(sec)))
			return t
		}
		t.customer.ceiling -= t.units
	}
	if t.plan.Rate > 0 {
		t.count = g.countOf(now, c, t.plan)
	}
	if t.plan.Parallel > 0 && t.customer.out >= max(t.plan.Parallel/int(t.entries), 1) {
		t.beyond(now, t.profile.Promised)
	} else if t.count == nil {
		t.letIn(now, true)
	} else {
		t.ask(now)
	}
	return t
}

func (g *Gate) customer(now int64, id CustomerID) *customer {
	c := g.customers[id]
	if c == nil {
		c = &customer{filled: g.born}
		g.customers[id] = c
		g.forget(now, id, c)
	}
	return c
}

// forget drops a customer's entry once nothing of it is out and its ceiling's store would be full anyway.
func (g *Gate) forget(now int64, id CustomerID, c *customer) {
	rest := 10 * sec // how often to look, far above a plan's usual window
	for _, p := range g.plans {
		if p.CeilingRate > 0 {
			rest = max(rest, int64(min(p.CeilingBurst/p.CeilingRate, 3600)*float64(sec)))
		}
	}
	g.at(now+rest, func(now int64) {
		if c.out == 0 && now-c.filled >= rest {
			delete(g.customers, id)
		} else {
			g.forget(now, id, c)
		}
	})
}

// fillCeiling reckons this door's part of the customer's ceiling. The part starts empty and fills from the
// door's start on: a door that was restarted cannot tell what its earlier life sent on. Guards rule 5 through
// restarts and counter failures alike; it costs a customer of few doors the burst after a start.
func (t *Transaction) fillCeiling(now int64) float64 {
	c, p := t.customer, t.plan
	filled := float64(now-c.filled) / float64(sec) * p.CeilingRate / t.entries
	c.ceiling, c.filled = min(c.ceiling+filled, p.CeilingBurst/t.entries), now
	return c.ceiling
}

func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// countOf finds the customer's entry for the window of now. Windows start at a time of the customer's own, so
// that clients who were told to come back do not all come at once.
func (g *Gate) countOf(now int64, id CustomerID, p *plan) *count {
	own := mix(uint64(id) + 0x9e3779b97f4a7c15)
	shifted := now + int64(own%uint64(p.window))
	index := shifted / p.window
	name := CountID(mix(own + uint64(index)))
	c := g.counts[name]
	if c == nil {
		c = &count{name: name, plan: p, ends: now + p.window - shifted%p.window}
		g.counts[name] = c
		g.at(c.ends+sec, func(int64) { delete(g.counts, name) }) // a second: longer than any call is out
	}
	return c
}

// ask counts the transaction, if the breaker lets it call, and goes by the door's share if not.
func (t *Transaction) ask(now int64) {
	g, c := t.gate, t.count
	t.asking = true
	c.asked += t.units
	if !g.mayCall(now) {
		t.decide(now, t.share())
		return
	}
	// What is missing on the counter goes along: units that were let in without it, units that it lost when it
	// came back empty; and units that were counted and then dismissed come off.
	amount := c.let + c.asked - (c.told - c.lost)
	c.told += amount
	c.calls = append(c.calls, call{t, amount, c.told})
	g.door.Count(c.name, amount, min(c.ends-now+sec, 60*sec))
	g.at(now+min(t.profile.wait, (t.limit-now)/2), func(now int64) {
		if !t.asking {
			return
		}
		for i := range c.calls {
			if c.calls[i].t == t {
				c.calls[i].t = nil
			}
		}
		g.called(now, false)
		t.decide(now, t.share())
	})
}

// breakAt is the post's threshold: five failures in a row are no chance.
const breakAt = 5

func (g *Gate) mayCall(now int64) bool {
	if !g.terms.Counter {
		return false
	}
	if g.fails < breakAt {
		return true
	}
	if g.trial || now < g.resume {
		return false
	}
	g.trial = true
	return true
}

// called keeps the breaker.
func (g *Gate) called(now int64, ok bool) {
	g.trial = false
	if ok {
		g.fails = 0
		return
	}
	g.fails++
	// A second, with chance so that the doors do not try together: the post's ten would outlast most failures.
	g.resume = now + sec + int64(g.chance.Float64()*float64(sec)/4)
}

// Counted brings the answer to the oldest unanswered call for the count.
func (g *Gate) Counted(now int64, o Outcome, name CountID, total float64) {
	c := g.counts[name]
	if c == nil || len(c.calls) == 0 {
		return
	}
	k := c.calls[0]
	c.calls = c.calls[1:]
	switch {
	case o == Fulfilled:
		// Guards against a counter that came back empty, and against calls that timed out and were not added:
		// what this door told it must be there. Hurts if another door takes off more than it added.
		if lack := k.told - c.lost - total; lack > slop {
			c.lost += lack
			total += lack
		}
		c.known = total
	case o == Rejected || o == Unreached:
		c.lost += k.amount
	}
	if k.t == nil || !k.t.asking {
		return
	}
	g.called(now, o == Fulfilled)
	if o == Fulfilled {
		k.t.decide(now, total <= c.plan.quota+slop)
	} else {
		k.t.decide(now, k.t.share())
	}
}

// share decides without the counter: by the profile's preset, or by the door's share of the quota.
func (t *Transaction) share() bool {
	c := t.count
	switch t.profile.Silence {
	case LetAll:
		return true
	case DismissAll:
		return false
	}
	if c.known+t.units > c.plan.quota+slop {
		return false
	}
	share := c.plan.quota / t.entries
	if share < t.units && c.let == 0 {
		// The floor of one transaction a door adds up past small quotas: so many doors as the quota has room for
		// hold it, and the window's name says which.
		turn := (t.place + int(uint64(c.name)%1024)) % int(t.entries)
		return float64(turn+1)*t.units <= c.plan.quota+slop
	}
	return c.let+t.units <= share+slop
}

// decide ends the wait for the counter.
func (t *Transaction) decide(now int64, in bool) {
	t.asking = false
	t.count.asked -= t.units
	if in {
		t.letIn(now, true)
		return
	}
	t.count.known = max(t.count.known-t.units, 0)
	t.beyond(now, t.count.ends-now)
}

// beyond dismisses what is beyond the quota, until the quota's next turn. The exception: where a plan's
// transactions earn more beyond the quota than they cost, and a backend has room for one, it is let in.
func (t *Transaction) beyond(now, turn int64) {
	if t.plan.BeyondEarns > t.plan.BeyondCosts && len(t.gate.held) == 0 {
		if b := t.gate.pick(now, t); b != nil && b.load() <= 1 {
			t.letIn(now, false)
			return
		}
	}
	t.end(now, turn)
}

// letIn sends a transaction on its way.
func (t *Transaction) letIn(now int64, inside bool) {
	t.let, t.inside = true, inside
	if inside && t.count != nil {
		t.count.let += t.units
	}
	t.send(now)
}

// send sends a shot to the best backend, or holds the transaction for room, or gives it up.
func (t *Transaction) send(now int64) {
	g := t.gate
	if b := g.pick(now, t); b != nil && t.shoot(now, b) {
		return
	}
	// Only as many are held as the pace of answers takes up within a fifth of the promised time.
	most := int(g.pace*float64(t.profile.Promised)/float64(sec)/5) + 4
	last := t.lastCall()
	if t.waiting || len(g.held) >= most || now >= last || len(t.shots) >= g.terms.MostShots {
		t.end(now, t.profile.Promised)
		return
	}
	t.waiting = true
	g.held = append(g.held, t)
	g.at(last, func(now int64) {
		if t.waiting {
			t.end(now, t.profile.Promised)
		}
	})
}

// lastCall is the latest time at which a shot is still worth sending.
func (t *Transaction) lastCall() int64 {
	if t.profile.LateUtility > 0 {
		return t.limit - ms
	}
	return t.promised - t.profile.Promised/10
}

// fill gives held transactions the room that there is now.
func (g *Gate) fill(now int64) {
	held := g.held
	for i, t := range held {
		if !t.waiting {
			continue
		}
		b := g.pick(now, t)
		if b == nil {
			g.held = held[i:]
			return
		}
		t.waiting = false
		if !t.shoot(now, b) {
			t.end(now, t.profile.Promised)
		}
	}
	g.held = nil
}

// allowed says whether a shot may go to b: the one gate of rules 1 to 4.
func (t *Transaction) allowed(now int64, b *backend) bool {
	g := t.gate
	if t.over || t.started || now >= t.limit || len(t.shots) >= g.terms.MostShots || !b.ready {
		return false
	}
	if t.out > 0 && !g.terms.SecondCopies {
		return false
	}
	for i := range t.shots {
		s := &t.shots[i]
		if !s.harmed {
			continue
		}
		switch t.profile.Effect {
		case AtMostOnce:
			return false
		case Numbered:
			if now >= s.sent+t.profile.Memory || t.profile.Reach == ReachZone && s.zone != b.zone ||
				t.profile.Reach == ReachGroup && s.group != b.group {
				return false
			}
		}
	}
	return g.coldRoom(now, b)
}

// harmless says whether dismissal may promise that trying again does no harm.
func (t *Transaction) harmless() bool {
	if t.profile.Effect == Reissuable || t.profile.Effect == Numbered && t.profile.Reach == ReachAll {
		return true
	}
	for i := range t.shots {
		if t.shots[i].harmed {
			return false
		}
	}
	return true
}

// shoot is the only place that sends.
func (t *Transaction) shoot(now int64, b *backend) bool {
	if !t.allowed(now, b) {
		return false
	}
	g, n := t.gate, len(t.shots)
	t.shots = append(t.shots, shot{to: b, zone: b.zone, group: b.group, sent: now, out: true, harmed: true})
	t.out++
	t.customer.out++
	b.out++
	if b.cold(g, now) {
		b.sends = append(b.sends, now)
	}
	g.door.Shoot(t.id, b.id, 0)
	g.at(now+t.profile.patience, func(now int64) { t.look(now, n) })
	return true
}

// look asks whether a shot that takes long is stalled: its backend has answered nothing since. Guards against
// backends that hang, stand still or are cut off, whatever the cause. Hurts when a transaction is merely long and
// its backend has no other traffic from this door: work is done twice.
func (t *Transaction) look(now int64, n int) {
	s, g := &t.shots[n], t.gate
	if !s.out || t.over || t.started || s.to.heard > s.sent {
		return
	}
	if now >= s.to.rest {
		s.to.strike(g, now)
	}
	if t.out > 1 || now >= t.lastCall() || t.profile.Effect == AtMostOnce {
		return
	}
	if g.terms.SecondCopies {
		if b := g.pick(now, t); b != nil && b != s.to {
			t.shoot(now, b)
		}
	} else if g.terms.Recalls && len(t.shots) < g.terms.MostShots {
		g.door.Recall(t.id, ShotID(n))
	}
}

// Started tells that a stream's answer has begun: the client owns that shot now.
func (t *Transaction) Started(now int64, n ShotID) {
	t.started = true
	if int(n) < len(t.shots) {
		t.shots[n].to.heard = now
	}
}

// Settled tells how a shot ended. over says that the transaction is finished; trueUnits is what it really
// counted, if that is told afterwards; queue is the backend's own report of waiting transactions, or below 0.
func (t *Transaction) Settled(now int64, n ShotID, o Outcome, elapsed int64, over bool, trueUnits, queue float64) {
	if int(n) >= len(t.shots) || !t.shots[n].out {
		return
	}
	s, g := &t.shots[n], t.gate
	s.out, s.harmed = false, o != Rejected && o != Unreached && o != Moot
	t.out--
	t.customer.out--
	g.answers++
	s.to.settled(g, now, s, o, elapsed, queue)
	if o == Fulfilled && g.terms.PostPaid && trueUnits > 0 && t.inside && t.count != nil {
		t.count.let += trueUnits - t.units // goes along with the window's next call
	}
	switch {
	case t.over:
	case over || o == Fulfilled:
		t.finish()
	case t.out > 0:
	case o == Moot || t.started || now >= t.lastCall():
		t.end(now, t.profile.Promised)
	default:
		t.send(now)
	}
	g.fill(now)
}

// Left tells that the client is gone: no answer is owed any more.
func (t *Transaction) Left(now int64) {
	if !t.over {
		t.finish()
	}
}

// Done says that nothing more will come for this handle.
func (t *Transaction) Done() bool { return t.over && t.out == 0 }

// end is the only place that gives the final answer: a dismissal where that may promise no harm, with advice to
// come back after the time again, or else a break-off.
func (t *Transaction) end(now, again int64) {
	if t.over {
		return
	}
	t.finish()
	g := t.gate
	if !t.harmless() {
		g.door.BreakOff(t.id)
		return
	}
	var advice int64
	if g.terms.Advice {
		// Spread over a quarter more, so that those dismissed together do not come back together.
		advice = min(again+int64(float64(again)*g.chance.Float64()/4), g.terms.LongestAdvice)
	}
	g.door.Dismiss(t.id, max(advice, 0))
}

// finish marks a transaction as answered and gives back what it did not use.
func (t *Transaction) finish() {
	t.over, t.waiting = true, false
	if t.asking {
		t.asking = false
		t.count.asked -= t.units
	}
	if len(t.shots) == 0 && t.let {
		if t.inside && t.count != nil {
			t.count.let -= t.units
		}
		if t.plan.CeilingRate > 0 {
			t.customer.ceiling += t.units
		}
	}
	for i := range t.shots {
		if t.shots[i].out && t.gate.terms.Recalls && !t.started {
			t.gate.door.Recall(t.id, ShotID(i))
		}
	}
}

// backend is what this door knows of a backend.
type backend struct {
	id          BackendID
	zone        ZoneID
	group       GroupID
	size        float64
	started     int64
	ready       bool
	out         int
	limit       float64 // shots out at which it still answers about as fast as idle
	late, quick float64 // smoothed answer time, and that of its quiet moments; 0: unknown
	heard       int64   // when it last answered
	rest        int64   // no shots before
	strikes     int     // symptoms of illness since the last good answer
	errors      int     // errors in a row
	sends       []int64 // shots while cold, within the last span
	tie         uint64
}

// Backends brings the list of backends, or changes to it.
func (g *Gate) Backends(now int64, how Listing, list []Listed) {
	if how == ListFailed {
		g.at(now+g.askAgain, func(int64) { g.door.Follow() })
		g.askAgain = min(g.askAgain*2, max(g.terms.AskWithin/2, 500*ms))
		return
	}
	g.askAgain = 500 * ms
	if how != Changes {
		for _, b := range g.backends {
			b.ready = false
		}
	}
	for _, l := range list {
		b := g.backends[l.Backend]
		if b == nil {
			b = &backend{id: l.Backend, tie: g.chance.Uint64(), limit: 2}
			g.backends[l.Backend] = b
		}
		if l.Started != b.started && l.Stage == Ready {
			b.limit, b.strikes, b.errors, b.rest = 2, 0, 0, 0
		}
		b.zone, b.group, b.size, b.started, b.ready = l.Zone, l.Group, l.Size, l.Started, l.Stage == Ready
	}
	g.rank()
	g.fill(now)
}

// rank renews the order of the backends: the quicker first, by steps of about 40%, since finer differences are
// chance; then those of the own zone where crossing has a price; then in an order of this door's own, so that
// the doors do not crowd the same ones.
func (g *Gate) rank() {
	g.ranked = g.ranked[:0]
	key := map[*backend]float64{}
	for _, b := range g.backends {
		if !b.ready {
			continue
		}
		g.ranked = append(g.ranked, b)
		key[b] = math.Round(2 * math.Log2(max(b.quick, float64(ms))))
		if b.quick == 0 {
			key[b] = 0
		}
		if g.terms.CrossZonePrice > 0 && b.zone != g.terms.Zone {
			key[b] += 0.5
		}
	}
	sort.Slice(g.ranked, func(i, j int) bool {
		a, b := g.ranked[i], g.ranked[j]
		if key[a] != key[b] {
			return key[a] < key[b]
		}
		return a.tie < b.tie || a.tie == b.tie && a.id < b.id
	})
}

// load is how full one more shot would make the backend, as a share of its limit.
func (b *backend) load() float64 { return float64(b.out+1) / b.limit }

// pick gives the first backend in the order that is below its limit; with none, the least loaded that can still
// answer within half of the promised time left. It avoids those the transaction has tried.
func (g *Gate) pick(now int64, t *Transaction) *backend {
	var best *backend
	least := math.Inf(1)
	for _, b := range g.ranked {
		if now < b.rest || b.strikes > 0 && b.out > 0 || !t.allowed(now, b) {
			continue
		}
		load := b.load()
		for i := range t.shots {
			if t.shots[i].to == b {
				load += 2
			}
		}
		if load <= 1 {
			return b
		}
		if load < least && max(load, 1)*b.late < float64(t.promised-now)/2 {
			best, least = b, load
		}
	}
	return best
}

// settled learns from how a shot ended.
func (b *backend) settled(g *Gate, now int64, s *shot, o Outcome, elapsed int64, queue float64) {
	full := b.load() > 1
	b.out--
	switch o {
	case Fulfilled:
		b.heard, b.strikes, b.errors = now, 0, 0
		b.measure(float64(elapsed), full, queue)
	case Errored:
		b.heard = now
		b.errors++
		if b.errors >= 3 { // rare single errors are normal
			b.strike(g, now)
		}
	case Rejected:
		b.heard = now
		b.limit = max(b.limit*0.7, 1)
		b.rest = max(b.rest, now+50*ms) // about what a full line takes to move on
	case Unreached, CutOff:
		if now >= b.rest {
			b.strike(g, now)
		}
	case TimedOut, Recalled:
		if float64(elapsed) > b.late {
			b.measure(float64(elapsed), full, queue)
		}
	}
}

// measure learns the answer time and from it the limit: it grows while a full backend stays near its quick
// moments and shrinks when it slows to three times them.
func (b *backend) measure(took float64, full bool, queue float64) {
	if b.late == 0 {
		b.late, b.quick = took, took
	}
	b.late += 0.1 * (took - b.late)
	if b.late < b.quick {
		b.quick = b.late
	} else {
		b.quick += 0.005 * (b.late - b.quick)
	}
	switch {
	case b.late > 3*b.quick || queue > 1:
		b.limit = max(b.limit-0.3/b.limit, 1)
	case full && b.late < 2*b.quick:
		b.limit += 0.3 / b.limit
	}
}

// strike eases a backend out for a while that doubles with each symptom, and has it probed before its return.
func (b *backend) strike(g *Gate, now int64) {
	b.strikes++
	b.limit = max(b.limit/2, 1)
	b.rest = now + 100*ms<<min(b.strikes, 5) // 0.2 to 3.2 s: a short stall costs little, a dead one few tries
	if g.terms.Probes {
		g.at(b.rest, func(now int64) {
			if b.ready && b.strikes > 0 && now >= b.rest {
				b.rest = now + sec // until the probe tells; a lost one ends by itself
				g.door.Probe(b.id)
			}
		})
	}
}

// Probed brings a probe's answer: a good one lets a single shot try the backend.
func (g *Gate) Probed(now int64, id BackendID, o Outcome) {
	b := g.backends[id]
	if b == nil || b.strikes == 0 {
		return
	}
	if o == Fulfilled {
		b.rest = now
		g.fill(now)
	} else {
		b.strike(g, now)
	}
}

// cold says whether the backend started too lately to do its full work.
func (b *backend) cold(g *Gate, now int64) bool {
	return b.started > 0 && now-b.started < g.terms.WarmUp
}

// coldRoom keeps this door's part of what a cold backend bears in any span: half of it, since transactions
// differ in work. The work is taken for one core's at the pace of the slowest backend's quick moments, so more
// cores only add safety. A door that has itself just started waits a span: its earlier life may have spent it.
func (g *Gate) coldRoom(now int64, b *backend) bool {
	if !b.cold(g, now) {
		return true
	}
	if now-g.born < g.terms.FallSpan {
		return false
	}
	for len(b.sends) > 0 && b.sends[0] <= now-g.terms.FallSpan {
		b.sends = b.sends[1:]
	}
	var work float64
	for _, o := range g.ranked {
		work = max(work, o.quick)
	}
	age := float64(max(now-b.started-g.terms.FallSpan, 0)) / float64(max(g.terms.WarmUp, 1))
	part := g.terms.ColdShare + (1-g.terms.ColdShare)*age
	room := g.terms.FallMultiple * part * float64(g.terms.FallSpan) / float64(max(g.terms.Doors, 1)) / 2
	return work > 0 && float64(len(b.sends)+1)*work <= room
}
