// Package policy holds every decision of one front door. Its interface (ids, outcomes, terms, and the Door
// that the decisions act through) is in api.go, and how to call it; what they remember is in state.go.
package policy

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"fawnplank/internal/pcg"
)

const slop = 0.01 // forgives rounding: the counter tells totals to seven digits

// New starts the decisions of a front door.
func New(now int64, seed uint64, terms Settings, door Effects) *Engine {
	g := &Engine{door: door, terms: terms, chance: pcg.New(seed), born: now, backends: map[BackendID]*backend{},
		calls: map[CounterKey][]*call{}, customers: map[TenantID]*customer{}, part: 1}
	g.UpdateSettings(terms)
	if terms.PollEndpoints { // many doors that start together ask one after another, within what asking may take
		apart := min(int64(terms.Instances-1)*50*ms, terms.PollTimeout/2, 3500*ms) // and its list by six seconds
		g.at(now+int64(g.chance.Float64()*float64(apart)), nil, func(int64) { door.WatchEndpoints() })
	}
	g.tick(now)
	return g
}

// UpdateSettings takes new terms. Rows of profiles and plans are only added: open transactions keep theirs.
func (g *Engine) UpdateSettings(terms Settings) {
	g.terms = terms
	g.askAgain = terms.DiscoveryTimeouts().RetryDelay
	for _, p := range terms.Classes[len(g.profiles):] {
		// The post's 45 of 300 ms is dear where calls wait in line. Four fifths: below the counter's own limit.
		wait := max(min(p.LatencyObjective/20, terms.CounterTimeout*4/5), ms)
		g.profiles = append(g.profiles, profile{p, wait})
		g.least = min(cmp.Or(g.least, math.Inf(1)), float64(p.LatencyObjective)/5)
	}
	for _, p := range terms.Plans[len(g.plans):] {
		row := plan{PlanSettings: p}
		if p.Rate > 0 {
			// The counter drops numbers after a minute; the lower bound keeps absurd plans from spinning.
			row.window = span(min(max(p.Burst/p.Rate, 0.01), 50))
			row.quota = p.Rate * float64(row.window) / float64(sec)
			// Far above any units of a window, and still told exactly beside them; the counter takes 1e9 at most.
			if mark := math.Exp2(math.Ceil(math.Log2(64 * max(row.quota, 1)))); mark*float64(p.ConcurrencyLimit) <= 1e8 {
				row.mark = mark * min(float64(p.ConcurrencyLimit), 1)
			}
		}
		g.plans = append(g.plans, row)
	}
}

// tick is the periodic work, every tenth of a second: rarer would let one order stand for too many shots.
func (g *Engine) tick(now int64) {
	g.pace, g.answers = g.pace+0.1*(g.answers*10-g.pace), 0 // over about a second
	// What a backend is seen to answer, over ten seconds, and the most: a jam takes none away. So with its size.
	g.seen += 0.01 * (g.pace*float64(max(g.terms.Instances, 1))/max(g.whole, 1) - g.seen)
	g.can, g.size = max(g.can*0.999, g.seen), max(g.size*0.999, g.sized/max(g.whole, slop))
	if g.firsts >= early/2 {
		// Falls with a quicker fleet in a second, and rises with a slower one in about a minute; in two seconds
		// while fewer are out than one a backend and none is full: it is slow of itself then, cold, say.
		rise := 0.002
		if now-g.full > sec && g.pace*g.all.value < g.each()*float64(sec) {
			rise = 0.05
		}
		g.quick += rise*(g.all.value-g.quick) + 0.1*min(g.all.value-g.quick, 0)
	}
	fade := 0.98 // what is known of a single backend fades in five seconds, of who leaves in ten
	// A door that took a jam for granted would send nothing more and learn nothing. While shots are out it does
	// learn: silence is the jam then. What is forgotten ends at the quiet time (met jammed, at a fifth of the
	// promised time, for which there is room): else all would look quick at last, and late answers stalled.
	if now-g.heard > sec && g.flying == 0 {
		fade *= 0.97
		g.all.value = max(g.all.value*0.97, min(g.all.value, g.quick, g.least)) // forgotten in three seconds
	}
	for i := range g.plans {
		g.plans[i].leaves.value *= 0.99
	}
	for _, b := range g.listed {
		b.pace.count *= fade
	}
	g.dropGone()
	g.rank(now)
	g.door.WakeAt(now+100*ms, markTick)
}

// Submit takes a transaction. left is the time until its client gives up; the customer's come in through
// entries front doors in a row from first on.
func (g *Engine) Submit(now int64, spec RequestSpec) *Request {
	t := &Request{gate: g, id: spec.ID, taken: now, units: max(spec.Units, 0), entries: float64(max(spec.EntryPoints, 1))}
	pr, pl := spec.Class, spec.Plan
	if int(pr) >= len(g.profiles) || int(pl) >= len(g.plans) {
		g.door.Log(fmt.Sprintf("transaction of unknown profile %d or plan %d broken off", pr, pl))
		t.over = true
		g.door.Abort(spec.ID)
		return t
	}
	t.profile, t.plan = &g.profiles[pr], &g.plans[pl]
	t.customer = g.customer(now, spec.Tenant, t)
	t.limit = now + max(spec.Remaining, 0)
	t.promised = min(now+t.profile.LatencyObjective, t.limit)
	if t.plan.leaves.value > 0.3 { // what can't be answered before the client leaves is not worth sending
		t.promised = min(t.promised, now+int64(t.plan.stay.value))
	}
	doors := max(g.terms.Instances, 1)
	t.place = ((g.terms.InstanceIndex-spec.FirstInstance)%doors + doors) % doors
	if t.plan.HardQuotaRate > 0 {
		if lacks := t.units - t.fillCeiling(now); lacks > 0 {
			t.end(now, span(lacks*t.entries/t.plan.HardQuotaRate))
			return t
		}
		t.customer.ceiling, t.drawn = t.customer.ceiling-t.units, t.units
	}
	switch {
	case t.plan.ConcurrencyLimit > 0 && (t.customer.out >= t.plan.ConcurrencyLimit || t.plan.Rate <= 0 && t.capped()):
		t.beyond(now)
	case t.plan.Rate <= 0:
		t.letIn(now, true)
	default:
		t.ask(now)
	}
	return t
}

// others is how many shots of the customer the other doors likely have out: what its rate keeps out, twice,
// since those who near the cap are the busy ones; without a rate, half the cap is a guess.
func (t *Request) others() float64 {
	elsewhere := 1 - t.customer.part(t.entries)
	if t.plan.Rate <= 0 {
		return elsewhere * float64(t.plan.ConcurrencyLimit) / 2
	}
	return 2 * elsewhere * t.plan.Rate / t.units * t.gate.all.value / float64(sec)
}

// capped says, without the counter, whether the customer has as many shots out as it may.
func (t *Request) capped() bool {
	out := float64(t.customer.out)
	return t.plan.ConcurrencyLimit > 0 && out > 0 && out+t.others() >= float64(t.plan.ConcurrencyLimit)
}

func (g *Engine) customer(now int64, id TenantID, t *Request) *customer {
	c, p := g.customers[id], t.plan
	if c == nil {
		c = &customer{id: id, plan: p, filled: g.born, at: now}
		g.customers[id] = c
		g.forget(now, c)
	}
	if c.plan != p {
		c.plan, c.name, c.known, c.owed = p, 0, 0, 0
	}
	c.close = 2*p.quota >= t.entries*max(g.sizes.units, 1) &&
		2*t.entries*float64(t.profile.wait) <= float64(p.window)
	c.turn(now, g.fails >= breakAt, t.entries)
	return c
}

// forget drops a customer's entry, unused for two windows and the minute that the counter keeps numbers for,
// once nothing of it is out and its ceiling's store would be full anyway.
func (g *Engine) forget(now int64, c *customer) {
	rest := max(2*c.plan.window, 60*sec) // ten seconds: seldom enough for plans of tiny windows
	if c.plan.HardQuotaRate > 0 {
		rest = max(rest, span(c.plan.HardQuotaBurst/c.plan.HardQuotaRate))
	}
	g.at(now+rest, nil, func(now int64) {
		delete(g.customers, c.id)
		if c.out > 0 || now-max(c.at, c.filled) < rest {
			g.customers[c.id] = c
			g.forget(now, c)
		}
	})
}

// fillCeiling reckons this door's part of the customer's ceiling. It fills from empty at the door's start,
// which can't tell what its earlier life sent on: rule 5 holds through restarts and counter failures alike.
func (t *Request) fillCeiling(now int64) float64 {
	c, part := t.customer, t.plan.HardQuotaRate/t.entries
	c.ceiling += float64(now-c.filled) / float64(sec) * part
	c.ceiling, c.filled = min(c.ceiling, t.plan.HardQuotaBurst/t.entries), now
	return c.ceiling
}

// turn goes on to the window of now. Windows start at a time of the customer's own: clients told to come back
// come apart. What the last one used beyond its refill is carried over: a turn grants no fresh burst.
func (c *customer) turn(now int64, open bool, entries float64) {
	w := c.plan.window
	if w == 0 || c.name != 0 && now < c.start+w {
		return
	}
	own := mix(uint64(c.id) + 0x9e3779b97f4a7c15)
	shifted := now + int64(own%uint64(w))
	start := now - shifted%w
	c.known = max(c.known+c.owed-c.plan.Rate*float64(start-c.start)/float64(sec), 0)
	if !c.close {
		c.known = 0
	} else if open && c.heard == 0 { // nothing was told: what the door's share holds stands for its part
		c.known = max(c.spent/c.part(entries)-c.plan.Rate*float64(start-c.at)/float64(sec), 0)
	}
	c.owed = 0 // what a long silence left owing has been refilled since, but for what is carried
	c.missing, c.heard, c.righted, c.lacks, c.answers = c.known, 0, 0, 0, 0
	// A count that holds shots too has a name of its own: doors that do not tell them could not read it.
	c.start, c.name, c.told = start, CounterKey(mix(own+uint64(shifted/w)+uint64(c.plan.mark))), 0
}

// refilled is what the rate has given since the window's start. Where few of a customer's doors see much of
// one none knows in time what is to be carried, and the plain count of the design holds: all tries, afresh.
func (c *customer) refilled(now, start int64) float64 {
	if !c.close {
		return 0
	}
	return c.plan.Rate * float64(now-start) / float64(sec)
}

// ask counts the transaction, if the breaker lets it call, and goes by the door's share if not.
func (t *Request) ask(now int64) {
	g, c := t.gate, t.customer
	switch {
	case !t.profile.CheckOnly && g.pick(now, t, 1) == nil:
		t.end(now, t.profile.LatencyObjective/8) // no backend has room: counted, it would shut others of the customer out
	case c.known+t.units > c.plan.quota+c.refilled(now, c.start)+slop:
		c.learn(0)
		t.beyond(now) // spent as far as is known: no call can say otherwise
	case !g.mayCall(now):
		t.decide(now, t.share(now), nil)
	default:
		t.asking = true
		c.asks++
		// A crowded counter hears of a part of the transactions only: each stands for the others let in too.
		k := g.count(now, c, t, t.units*(1+(1/max(g.part, 0.2)-1)*t.chance()), c.owed)
		c.owed = 0
		g.at(now+min(t.profile.wait, (t.limit-now)/2), &k.waits, func(now int64) {
			k.answered(g, now, false, t.share(now))
		})
	}
}

func (k *call) answered(g *Engine, now int64, ok, in bool) {
	k.waits = false
	g.called(now, ok)
	if k.t.asking { // its client has not left meanwhile
		k.c.asks--
		k.t.decide(now, in, k)
	}
}

func (g *Engine) count(now int64, c *customer, t *Request, units, more float64) *call {
	k := &call{c: c, t: t, start: c.start, amount: units + more, units: units, righted: c.righted,
		waits: t != nil}
	g.calls[c.name] = append(g.calls[c.name], k)
	k.shots = c.out + c.asks - c.told
	c.told += k.shots
	g.door.AddToCounter(c.name, k.amount+float64(k.shots)*c.plan.mark, min(c.start+2*c.plan.window-now+sec, 60*sec))
	return k
}

const breakAt = 5 // the post's threshold: five failures in a row are no chance

func (g *Engine) mayCall(now int64) bool {
	if g.fails < breakAt {
		return g.terms.CounterEnabled && (g.part >= 1 || g.chance.Float64() < g.part)
	}
	tries := !g.trial && now >= g.resume
	g.trial = g.trial || tries
	return tries
}

// called keeps the breaker, and the part of the transactions that call. Exception: a crowded counter seldom
// trips the breaker: each failure takes a fifth off the part, each answer gives a fiftieth back.
func (g *Engine) called(now int64, ok bool) {
	switch {
	case ok && g.fails >= breakAt:
		g.part = 0.5
	case ok:
		g.part = min(g.part+0.02, 1)
	case g.fails < breakAt:
		g.part = max(g.part*0.8, 0.05)
	}
	if g.trial, g.fails = false, g.fails+1; ok {
		g.fails = 0
	}
	// A second, and chance so that doors do not try together: the post's ten would outlast most failures.
	g.resume = now + sec + int64(g.chance.Float64()*float64(sec)/4)
}

// HandleCounterResult brings the answer to the oldest unanswered call for the count.
func (g *Engine) HandleCounterResult(now int64, o Outcome, name CounterKey, total float64) {
	line := g.calls[name]
	if len(line) == 0 {
		return
	}
	k, c, t := line[0], line[0].c, line[0].t
	if g.calls[name] = line[1:]; len(line) == 1 {
		delete(g.calls, name)
	}
	if o != Succeeded {
		if k.waits {
			k.answered(g, now, false, t.share(now))
		}
		if (o == Rejected || o == ConnectFailed) && k.start == c.start {
			c.told -= k.shots
		}
		// Else it was added, by a slow counter likely, or by one whose answer was spoilt (CutOff) for certain.
		if o != ConnectionLost && (o != TimedOut || g.fails >= breakAt) {
			c.owed += k.amount
		}
		if !k.in && c.close {
			c.owed -= k.units
		}
		return
	}
	out := 0.0
	if c.plan.mark > 0 {
		out = math.Round(total / c.plan.mark)
		total -= out * c.plan.mark
	}
	// The total lacks what the burst cannot hold of the refill, what the last window left used, and what a
	// counter lost that came back empty. The customer's doors put right what they know to be missing in an
	// order of the window's own, each if the ones before did not: two at once would shut the customer out.
	total += c.righted - k.righted // what was put right since the call went out
	before, refilled := total-k.amount, c.refilled(now, k.start)
	var right float64
	if t != nil && k.start == c.start {
		c.answers++
		if c.heard-before > c.plan.quota/2 && before < c.heard/2 { // it came back empty
			c.missing += c.heard
		} else if c.missing > 0 && before-c.heard >= c.missing/2 { // another door put it right, as far as it knew
			c.missing = max(c.known-before, 0)
		} else if c.heard > 0 {
			// Over about ten answers. Between a window's first and last lie n-1 of n for (n-1)/(n+1) of its time: a
			// door of few takes its part for a half larger. That is kept where a unit beyond costs half of one
			// inside or less, since what is let in too little costs all.
			n, dear := float64(c.answers), min(max(2*c.plan.OverQuotaCost-1, 0), 1)
			c.mine = 0.9*c.mine + k.amount*(1-dear*2/(n*(n+1)))
			c.others = 0.9*c.others + max(before-c.heard, 0)
		}
		c.missing = max(c.missing, refilled-before)
		total += c.missing
		if c.missing <= c.plan.quota/8 { // an eighth: a call for each small step would crowd the counter
			c.lacks = 0
		} else if c.lacks == 0 {
			c.lacks = now
		}
		turn := (t.place + int(uint64(c.name)%1024)) % int(t.entries)
		if c.lacks > 0 && now >= c.lacks+int64(turn)*t.profile.wait {
			right = c.missing
			c.missing, c.lacks = 0, 0
		}
	} else {
		total += c.missing
	}
	if k.waits {
		room := c.plan.quota + refilled - total + k.units - t.units
		over := c.plan.mark > 0 && out > float64(c.plan.ConcurrencyLimit) // what is let in without a call goes unseen
		k.answered(g, now, true, room+slop >= 0 && !over)
		c.learn(min(max(room+t.units, 0)/t.units, 1))
	}
	if !k.in && c.close {
		right -= k.units
		total -= k.units
		c.mine = max(c.mine-k.units, 0)
	}
	if k.start != c.start || now >= c.start+c.plan.window {
		return
	}
	c.known, c.heard = total, total-c.missing
	if math.Abs(right) > slop || c.lapsed(now) {
		c.righted += right
		g.count(now, c, nil, 0, right)
	}
}

// lapsed says whether the window's count holds more shots of this door than are out. The cap on shots out is
// counted beside the units, in the same call; only the end of a shot needs one of its own.
func (c *customer) lapsed(now int64) bool {
	return c.plan.mark > 0 && c.told > c.out+c.asks && now < c.start+c.plan.window
}

// share decides without the counter: by the profile's preset, or by the door's share of the quota.
func (t *Request) share(now int64) bool {
	g, c := t.gate, t.customer
	if preset := t.profile.FallbackMode; t.capped() || preset != LocalShare {
		return preset == FailOpen && !t.capped()
	}
	if share := t.allowance(now); c.spent+t.units > share+slop {
		return false
	}
	// Where backends are pressed, what was counted goes first: what is not may be beyond the quota, and costs
	// its utility even where nobody answers it. Six tenths: at a half big days lose, above a jam comes. Behind
	// an open breaker nothing is counted: there is nobody to go first.
	if g.terms.CounterEnabled && g.fails < breakAt && !t.profile.CheckOnly && g.pick(now, t, 0.6) == nil {
		return false
	}
	chance := t.chance()
	return chance >= 1 || g.chance.Float64() < chance
}

// chance is how likely the door's share lets a transaction in that it has room for. The floor of one a door
// adds up past small quotas: a share of a fraction of one is given as often as the counter let the customer
// in, or half way up from what it let in of the plan: it dismisses mostly few customers far beyond theirs.
func (t *Request) chance() float64 {
	part := t.plan.quota * t.customer.part(t.entries) / t.units
	if part+slop >= 1 || !t.gate.terms.CounterEnabled {
		return min(part+slop, 1)
	}
	return t.customer.granted.blend((1+t.plan.granted.blend(part, 1))/2, 1)
}

// allowance is the door's share of a window, at least the transaction's units, and reckons what of it has
// been refilled. Few transactions spread unevenly over many doors: a share of a fraction of one refills the
// quicker the less a unit beyond costs, two and a half times at the full utility.
func (t *Request) allowance(now int64) float64 {
	c := t.customer
	part := c.part(t.entries)
	pace := t.plan.Rate * part
	if t.plan.quota*part+slop < t.units {
		pace *= max(2.5/max(t.plan.OverQuotaCost, 0.1), 1)
	}
	c.spent, c.at = max(c.spent-pace*float64(now-c.at)/float64(sec), 0), now
	return max(t.plan.quota*part, t.units)
}

// part is the door's part of the customer's traffic: an even one, or as uneven as the counter showed it.
func (c *customer) part(entries float64) float64 {
	const even = 20 // units: twice what ten answers of one unit tell, so that chance does not pass for a part
	return (c.mine + even/entries) / (c.mine + c.others + even)
}

// decide ends the wait for the counter; k is the call that was made, if any.
func (t *Request) decide(now int64, in bool, k *call) {
	g := t.gate
	t.asking = false
	switch {
	case !in:
		t.beyond(now)
		return
	case k != nil:
		k.in = true
	case g.fails >= breakAt || !g.terms.CounterEnabled: // else the calls that are made stand for it
		t.customer.owed += t.units
	}
	t.letIn(now, true)
}

// beyond dismisses what is beyond the quota, until it has refilled enough. The exception: where a plan's
// transactions earn more beyond the quota than they cost, and a backend has room for one, it is let in.
func (t *Request) beyond(now int64) {
	c := t.customer
	if t.plan.OverQuotaValue > t.plan.OverQuotaCost && !t.profile.CheckOnly {
		if b := t.gate.pick(now, t, 1); b != nil && b.load() <= 1 {
			t.letIn(now, false)
			return
		}
	}
	again := t.profile.LatencyObjective
	if t.plan.Rate > 0 {
		lacks := c.known + t.units - t.plan.quota - c.refilled(now, c.start)
		again = span(max(lacks, t.units/8) / t.plan.Rate)
	}
	t.end(now, again)
}

func (t *Request) letIn(now int64, inside bool) {
	t.inside = inside
	if inside && t.plan.Rate > 0 {
		t.allowance(now)
		t.customer.spent += t.units
	}
	t.send(now)
}

// send sends a shot to the best backend, or gives the transaction up: the client may find room elsewhere.
func (t *Request) send(now int64) {
	if t.profile.CheckOnly {
		t.inside, t.drawn = false, 0 // nothing is sent, and what was counted stays
		t.finish()
		t.gate.door.Admit(t.id)
	} else if b := t.gate.pick(now, t, 1); b == nil || !t.shoot(now, b) {
		t.end(now, t.profile.LatencyObjective/8) // early enough for another try within the promised time
	}
}

// lastCall is the latest time at which a shot is still worth sending.
func (t *Request) lastCall() int64 {
	if t.profile.LateValue > 0 {
		return t.limit - ms
	}
	return t.promised - t.profile.LatencyObjective/10 // the quickest answers take about that
}

// allowed says whether a shot may go to b: the one gate of rules 1 to 4.
func (t *Request) allowed(now int64, b *backend) bool {
	g := t.gate
	if t.over || t.started || now >= t.limit || len(t.shots) >= g.terms.MaxAttempts || !b.ready ||
		t.out > 0 && !g.terms.Hedging {
		return false
	}
	for _, s := range t.shots {
		p := t.profile
		known := now < s.sent+p.DedupWindow && (p.DedupScope != DedupByZone || s.zone == b.zone) &&
			(p.DedupScope != DedupByGroup || s.group == b.group) // b knows a repeat of this shot by its number
		if s.harmed && (p.Idempotency == NonIdempotent || p.Idempotency == IdempotentWithKey && !known) {
			return false
		}
	}
	return t.coldRoom(now, b)
}

// harmless says whether dismissal may promise that trying again does no harm.
func (t *Request) harmless() bool {
	p := t.profile
	return p.Idempotency == Idempotent || p.Idempotency == IdempotentWithKey && p.DedupScope == DedupByAll ||
		!slices.ContainsFunc(t.shots, func(s *shot) bool { return s.harmed })
}

const early = 30 // first shots of a door that tell the answer time of quiet moments: enough to average

// shoot is the only place that sends.
func (t *Request) shoot(now int64, b *backend) bool {
	if !t.allowed(now, b) {
		return false
	}
	g, n := t.gate, len(t.shots)
	t.shots = append(t.shots, &shot{to: b, zone: b.zone, group: b.group, sent: now, out: true, harmed: true})
	t.out, t.customer.out, b.out = t.out+1, t.customer.out+1, b.out+1
	g.out, g.flying = g.out+1, g.flying+1
	t.shots[n].level, t.shots[n].early = float64(b.out), g.sent < early
	g.sent++
	if b.sent = now; g.cold(now, b) {
		b.turn = now
	}
	// Few take five times the usual for their units; a jam must show by seven tenths of the promised time.
	patience := max(int64(5*g.all.value*g.stretch(t.units)), t.profile.LatencyObjective*4/10)
	patience = min(patience, t.profile.LatencyObjective*7/10)
	var expire int64
	if !g.terms.Hedging && !g.terms.Cancellation && t.profile.Idempotency != NonIdempotent &&
		len(t.shots) < g.terms.MaxAttempts {
		// Nothing else makes room for another shot; beyond seven tenths too little time is left for one.
		expire = now + patience
	}
	begin := t.limit // a connection may come up late: b may have forgotten an earlier shot's number by then
	for _, s := range t.shots[:n] {
		if s.harmed && t.profile.Idempotency == IdempotentWithKey {
			begin = min(begin, s.sent+t.profile.DedupWindow)
		}
	}
	g.door.Send(t.id, b.id, expire, begin)
	g.at(now+patience, &t.shots[n].out, func(now int64) { t.look(now, n) })
	return true
}

// look asks whether a shot that takes long is stalled: its backend has answered nothing since.
func (t *Request) look(now int64, n int) {
	s, g := t.shots[n], t.gate
	s.overdue = true
	usual := g.all.value * g.stretch(t.units)
	if g.out--; t.over || t.started {
		return
	}
	s.to.measure(g, float64(now-s.sent)/g.stretch(t.units), s.level) // a jam shows here before its answers come
	if s.to.heard > s.sent || float64(now-s.sent) < 5*usual {
		return
	}
	s.to.strike(g, now)
	switch b := g.pick(now, t, 1); {
	case t.out > 1 || now >= t.lastCall() || !t.harmless():
	case g.terms.Hedging && b != nil && b != s.to:
		t.shoot(now, b)
	case !g.terms.Hedging && g.terms.Cancellation && len(t.shots) < g.terms.MaxAttempts:
		g.door.Cancel(t.id, AttemptID(n))
	}
}

// HandleAttemptResult tells how a shot ended. over says that the transaction is finished; trueUnits is what it really
// counted, if that is told afterwards.
func (t *Request) HandleAttemptResult(now int64, result AttemptResult) {
	n, o, elapsed, over, trueUnits := result.Attempt, result.Outcome, result.Elapsed, result.RequestDone, result.TrueUnits
	if int(n) >= len(t.shots) || !t.shots[n].out {
		return
	}
	s, g := t.shots[n], t.gate
	s.out, s.harmed = false, o != Rejected && o != ConnectFailed && o != NotSent
	t.out, t.customer.out = t.out-1, t.customer.out-1
	s.to.settled(g, now, s, o, elapsed, t.units)
	if o == Succeeded && g.terms.PostPaid && trueUnits > 0 && t.inside {
		t.customer.owed += trueUnits - t.units // goes along with the next call
		t.customer.spent += trueUnits - t.units
	}
	switch {
	case t.over:
	case over || o == Succeeded:
		t.plan.leaves.add(0, 20)
		t.finish()
	case t.out > 0:
	case o == NotSent || t.started || now >= t.lastCall():
		t.end(now, t.profile.LatencyObjective/8)
	default:
		t.send(now)
	}
	if t.customer.lapsed(now) && g.fails < breakAt && g.mayCall(now) {
		g.count(now, t.customer, nil, 0, 0)
	}
}

// HandleClientGone tells that the client is gone: no answer is owed any more.
func (t *Request) HandleClientGone(now int64) {
	if !t.over {
		if now < t.limit-10*ms {
			t.plan.leaves.add(1, 20)
			t.plan.stay.add(float64(now-t.taken), 20)
		}
		t.finish()
	}
}

// end is the only place that gives the final answer: a dismissal where that may promise no harm, with advice
// to come back after the time again, or else a break-off.
func (t *Request) end(now, again int64) {
	if t.over {
		return
	}
	t.finish()
	g := t.gate
	if !t.harmless() {
		g.door.Abort(t.id)
		return
	}
	var advice int64
	if g.terms.RetryAfter {
		// Spread over a quarter more, so that those dismissed together do not come back together.
		advice = min(again+int64(float64(again)*g.chance.Float64()/4), g.terms.MaxRetryAfter)
	}
	g.door.Reject(t.id, max(advice, 0))
}

func (t *Request) finish() {
	if t.asking {
		t.customer.asks--
	}
	t.over, t.asking = true, false
	if len(t.shots) == 0 {
		t.customer.ceiling += t.drawn
		if t.inside {
			t.customer.owed -= t.units
			t.customer.spent -= t.units
		}
	}
	for i := range t.shots {
		if t.shots[i].out && t.gate.terms.Cancellation && !t.started {
			t.gate.door.Cancel(t.id, AttemptID(i))
		}
	}
}

// DiscoveryTimeouts is how long a watch waits for news, how late its answer may be, how long a whole list may take, and
// how long after a failure one is asked for anew. Where lists are pushed, what the agent has counts at once,
// a call that an outage silenced is never answered, and asking costs nobody anything: a third, a quarter and
// a tenth of the drain's grace leave a third to the door. Elsewhere asking is work, but a change is due six
// seconds after it could be had: a silent watch is opened anew by 5.2; a whole list keeps its place in line.
func (t Settings) DiscoveryTimeouts() DiscoveryTimeouts {
	if t.PollEndpoints {
		return DiscoveryTimeouts{
			Watch:      min(max(2*sec, t.PollTimeout), 4500*ms),
			Lateness:   500 * ms,
			Snapshot:   3 * sec,
			RetryDelay: 200 * ms,
		}
	}
	grace := max(t.DrainGrace, 200*ms) // shorter, a door would do little but ask
	return DiscoveryTimeouts{Watch: grace / 3, Lateness: grace / 4, Snapshot: grace / 2, RetryDelay: grace / 10}
}

// UpdateEndpoints brings the list of backends, or changes to it.
func (g *Engine) UpdateEndpoints(now int64, how UpdateKind, list []Endpoint) {
	if how == UpdateFailed {
		// Spread by chance and, where asking is work, ever later: else the doors fill a crowded discovery's line
		// with calls that it answers too late, and none ever hears. Four: its news is due in six, whatever failed.
		g.at(now+int64((1+g.chance.Float64())/2*float64(g.askAgain)), nil, func(int64) { g.door.WatchEndpoints() })
		if g.terms.PollEndpoints {
			g.askAgain = min(g.askAgain*3, max(g.terms.PollTimeout, 500*ms), 4*sec)
		}
		return
	}
	g.askAgain = g.terms.DiscoveryTimeouts().RetryDelay
	if how != Delta {
		for _, b := range g.listed {
			b.ready, b.gone = false, true
		}
	}
	for _, l := range list {
		b := g.backends[l.Backend]
		if b == nil {
			b = &backend{id: l.Backend, sent: now - int64(g.chance.Float64()*10*float64(sec))}
			g.backends[l.Backend] = b
			g.listed = append(g.listed, b)
		}
		if l.StartedAt != b.started && l.State == EndpointReady {
			b.pace, b.strikes, b.errors, b.rest, b.turn = mean{}, 0, 0, 0, 0
		}
		b.zone, b.group, b.started = l.Zone, l.Group, l.StartedAt
		b.ready, b.gone, b.size = l.State == EndpointReady, l.State == EndpointGone, cmp.Or(max(l.Capacity, 0), 1) // none: alike
	}
	g.parts()
	g.rank(now)
}

// parts lays the ready backends out in a ring, in an order that all doors share, and reckons how many doors'
// parts each lies away from this door's own.
func (g *Engine) parts() {
	ring, total := []*backend{}, 0.0
	for _, b := range g.listed {
		if b.ready {
			ring, total = append(ring, b), total+b.size
		}
	}
	slices.SortFunc(ring, func(a, b *backend) int { return cmp.Compare(mix(uint64(a.id)), mix(uint64(b.id))) })
	part := total / float64(max(g.terms.Instances, 1))
	at := -part * float64(g.terms.InstanceIndex)
	for _, b := range ring {
		away := at
		if away < 0 {
			away += total
		}
		b.away = math.Floor(away/max(part, total/float64(len(ring))) + slop)
		at += b.size
	}
}

// rank orders the backends by the answer time against the fleet's, as far as it was measured, in steps of
// some 40% (finer is chance); then those of the own zone where crossing has a price; then by the doors'
// parts, the own first; then those not sent to for the longest, by size. Limits follow the answer time. A
// cold one has its budget alone, and goes first: its turns are few, and work may be what warms it.
func (g *Engine) rank(now int64) {
	g.ranked, g.whole, g.sized = g.ranked[:0], 0, 0
	for _, b := range g.listed {
		if !b.ready {
			continue
		}
		usual, warm := g.all.value, g.warmth(now, b)
		g.ranked, g.whole, g.sized = append(g.ranked, b), g.whole+warm, g.sized+warm*b.size
		if b.late = usual; !g.cold(now, b) {
			b.late = b.pace.blend(usual, 3)
		} else if g.firsts >= early/2 {
			b.late = min(usual, g.quick) // within its turns there is no line, however full the warm ones are
		}
		b.key = math.Round(2 * math.Log2(max(b.late, 1)/max(usual, 1)))
		b.limit = min(max(math.Exp2(-b.key/2), 0.25), 2) // in steps too, or chance alone would lift one over it
		if g.terms.CrossZoneCost > 0 && b.zone != g.terms.Zone {
			b.key += 0.5
		}
		if g.cold(now, b) {
			b.key--
		}
		b.due = float64(now-b.sent) * b.size
	}
	slices.SortFunc(g.ranked, func(a, b *backend) int {
		return cmp.Or(cmp.Compare(a.key, b.key), cmp.Compare(a.away, b.away), cmp.Compare(b.due, a.due),
			cmp.Compare(a.id, b.id))
	})
}

// each is a door's part of one shot at each backend.
func (g *Engine) each() float64 { return g.whole / float64(max(g.terms.Instances, 1)) }

// load is how full one more shot would make the backend, as a share of its limit.
func (b *backend) load() float64 { return float64(b.out+1) / b.limit }

// pick gives the first backend in the order that is below its limit, with none the least loaded, tried ones
// last; of those only that likely answer within two fifths of the promised time left (few take 2.5 times the
// likely) and 2.5 quiet times; haste shortens both. A door has no more out than one or two, its part of one
// for each backend, and what its pace of answers ends in that time and a third.
func (g *Engine) pick(now int64, t *Request, haste float64) *backend {
	var best *backend
	// What its units take beyond the mean leaves less of the time.
	least, most := math.Inf(1), (float64(t.promised-now)-(g.stretch(t.units)-1)*g.all.value)/2.5
	if g.firsts >= early/2 {
		most = min(most, 2.5*g.quick)
	}
	most *= haste
	if float64(g.out) >= min(2, 1+g.each())+g.each()+1.3*g.pace*most/float64(sec) {
		return nil
	}
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
		// Two: the others' share of a line is not known. One: the level of a backend that is not measured yet.
		if b.late*float64(b.out+3)/(max(b.level, 1)+2) > most {
			continue
		}
		if load <= 1 {
			return b
		}
		if load < least {
			best, least = b, load
		}
	}
	return best
}

// settled learns from how a shot ended.
func (b *backend) settled(g *Engine, now int64, s *shot, o Outcome, elapsed int64, units float64) {
	b.out, g.flying = b.out-1, g.flying-1
	if !s.overdue {
		g.out--
	}
	switch o {
	case Succeeded:
		g.answers++
		b.heard, g.heard, b.strikes, b.errors = now, now, 0, 0
		took := float64(elapsed) / g.stretch(units)
		if s.early { // the first shots of a door's life meet the lines before it has filled them
			g.firsts++
			g.quick += (took - g.quick) / g.firsts
		}
		b.measure(g, took, s.level)
		g.sizes.add(units, float64(elapsed), 200)
	case Rejected: // who gets into a full line is late, and a fleet of them is jammed
		b.heard, g.heard, g.full, b.rest = now, now, now, max(b.rest, now+50*ms) // a full line moves by then
		b.measure(g, 2*b.late, s.level)
	case Failed, ConnectionLost:
		b.heard = now
		if b.errors++; b.errors >= 3 { // rare single ones are normal; one that died refuses the next shot
			b.strike(g, now)
		}
	case ConnectFailed:
		b.strike(g, now)
	case Canceled: // clients who leave early would hide a jam: what took long by then would have taken longer
		if took := float64(elapsed) / g.stretch(units); took > b.late && !s.overdue {
			b.measure(g, took, s.level)
		}
	}
}

// measure smooths the answer time, over about ten of the backend and two seconds (8 to 30) of the fleet.
func (b *backend) measure(g *Engine, took, level float64) {
	b.pace.add(took, 10)
	b.level += (level - b.level) / b.pace.count
	if b.late > 0 {
		took = min(took, 3*b.late) // a few stalls say little of the others
	}
	g.all.add(took, min(max(2*g.pace, 8), 30))
}

// strike eases a backend out for a while that doubles with each symptom, and has it probed before its return.
func (b *backend) strike(g *Engine, now int64) {
	if now < b.rest {
		return
	}
	b.strikes++
	b.rest = now + 100*ms<<min(b.strikes, 5) // 0.2 to 3.2 s: a short stall costs little, a dead one few tries
	if g.terms.HealthChecks {
		g.at(b.rest, nil, func(now int64) {
			if b.ready && b.strikes > 0 && now >= b.rest {
				b.rest = now + sec // until the probe tells; a lost one ends by itself
				g.door.CheckHealth(b.id)
			}
		})
	}
}

// HandleHealthCheck brings a probe's answer: a good one lets a single shot try the backend.
func (g *Engine) HandleHealthCheck(now int64, id BackendID, o Outcome) {
	if b := g.backends[id]; b != nil && b.strikes > 0 {
		if b.rest = now; o != Succeeded {
			b.strike(g, now)
		}
	}
}

// cold says whether a backend may not be warm yet.
func (g *Engine) cold(now int64, b *backend) bool {
	return b.started > 0 && now-b.started < g.terms.SlowStartDuration
}

// warmth is the part of its capacity that a backend has by now, reckoned from its start: an even warm-up.
func (g *Engine) warmth(now int64, b *backend) float64 {
	if !g.cold(now, b) {
		return 1
	}
	risen := float64(max(now-b.started-g.terms.OverloadWindow, 0))
	return g.terms.SlowStartShare + (1-g.terms.SlowStartShare)*risen/float64(g.terms.SlowStartDuration)
}

// coldRoom keeps the doors together within half the multiple of what a cold backend bears, since transactions
// differ in work: a third for each span, of what a warm one of its size does (the mean at most): one core's
// work, of half as much again as the quiet answer time, or more as far as warm ones are seen to. Its shots
// are numbered from its start and go to the doors in turn, one each, for half a span: the rest of the half is
// for that, since a door of many seldom has something to send just then. So the sum holds for any number of
// doors without a word between them. A door just started waits a span: its earlier life may have sent much.
func (t *Request) coldRoom(now int64, b *backend) bool {
	g := t.gate
	if !g.cold(now, b) {
		return true
	}
	work := float64(t.profile.LatencyObjective) / 2 // nothing measured yet: few promises are tighter
	if g.firsts >= early/2 {
		work = g.quick * 1.5
	}
	share, warm, risen := g.terms.SlowStartShare, g.warmth(now, b), float64(max(now-b.started-g.terms.OverloadWindow, 0))
	rate, doors := g.terms.OverloadMultiple/3*max(1/max(work, 1), g.can/float64(sec)), float64(max(g.terms.Instances, 1))
	rate *= min(b.size/g.size, 1)
	number, pace := rate*(share*float64(max(now-b.started, 0))+(warm-share)*risen/2), rate*warm
	since := float64((mix(uint64(b.id)) + uint64(doors) - uint64(g.terms.InstanceIndex) + uint64(number)) % uint64(doors))
	// Three quarters of the time between a door's turns: a change in what is measured shifts the numbers.
	return now-g.born >= g.terms.OverloadWindow && since < max(1, pace*float64(g.terms.OverloadWindow)/2) &&
		(b.turn == 0 || float64(now-b.turn)*pace >= 0.75*doors)
}

// stretch is how much longer than the mean one a transaction of so many units takes, as far as was seen: a
// unit may stand for work. Without it a large one passes for a slow backend, and a small one for a quick one.
func (g *Engine) stretch(units float64) float64 {
	m := &g.sizes
	rise := max(m.across/(m.spread+1e-9), 0) * m.count / (m.count + 20)
	return max(1+rise*(units-m.units)/max(m.took, 1), 0.25)
}
