package policy

import (
	"math"

	"fawnplank/internal/hash64"
	"fawnplank/internal/nanos"
	"fawnplank/internal/quotawindow"
)

// findTenant returns the tenant, in its window of now.
func (e *Engine) findTenant(now int64, id TenantID, r *Request) *tenant {
	t, p := e.tenants[id], r.plan
	if t == nil {
		t = &tenant{id: id, plan: p}
		t.localUsage.UpdatedAt, t.hardQuota.UpdatedAt = now, e.startedAt
		e.tenants[id] = t
		e.scheduleForgetting(now, t)
	}
	if t.plan != p {
		t.plan, t.unreported = p, 0
		t.window.key, t.window.total = 0, 0
	}
	t.tracksRefill = 2*p.quota >= r.entryPoints*max(e.latencyByUnits.MeanX, 1) &&
		2*r.entryPoints*float64(r.class.counterWait) <= float64(p.window)
	t.rollOver(now, e.breaker.state != breakerClosed, r.entryPoints)
	return t
}

// scheduleForgetting drops a tenant that was unused for two windows and the minute that the counter keeps
// counts for, once nothing of it is in flight and its hard quota would be full anyway.
func (e *Engine) scheduleForgetting(now int64, t *tenant) {
	unused := max(2*t.plan.window, 60*second) // a minute: seldom enough for plans of tiny windows
	if t.plan.HardQuotaRate > 0 {
		unused = max(unused, nanos.FromSeconds(t.plan.HardQuotaBurst/t.plan.HardQuotaRate))
	}
	e.schedule(now+unused, nil, func(now int64) {
		delete(e.tenants, t.id)
		if t.inFlight > 0 || now-max(t.localUsage.UpdatedAt, t.hardQuota.UpdatedAt) < unused {
			e.tenants[t.id] = t
			e.scheduleForgetting(now, t)
		}
	})
}

// rollOver goes on to the window of now. Windows start at a time of the tenant's own: clients that were
// rejected together come apart. What the last one used beyond its refill is carried over: a rollover grants
// no fresh burst. What a long silence left unreported has been refilled since, but for what is carried. Where
// few of a tenant's instances see much of its count none knows in time what is to be carried, and the plain
// count of the design holds: all requests, afresh in each window.
func (t *tenant) rollOver(now int64, breakerOpen bool, entryPoints float64) {
	if t.plan.window == 0 || t.window.key != 0 && now < t.windowEnd() {
		return
	}
	own := hash64.Mix(uint64(t.id) + 0x9e3779b97f4a7c15)
	next, carried := quotawindow.At(now, t.plan.window, own), 0.0
	switch {
	case !t.tracksRefill:
	case breakerOpen && t.window.counterTotal == 0: // nothing was reported: what the local share holds stands for it
		carried = t.localUsage.UnrefilledAt(next.Start, t.trafficShare(entryPoints), t.plan.Rate)
	default:
		carried = max(t.window.total+t.unreported-nanos.Accrued(t.plan.Rate, next.Start-t.window.start), 0)
	}
	t.unreported = 0
	// A count that holds attempts too has a key of its own: instances that do not report them could not read it.
	key := hash64.Mix(own + next.Index + uint64(t.plan.concurrencyUnit))
	t.window = quotaWindow{start: next.Start, key: CounterKey(key), total: carried, lostUnits: carried}
}

// askCounter counts the request, if the breaker lets it call, and goes by the local share if not.
func (r *Request) askCounter(now int64) {
	e, t := r.engine, r.tenant
	switch {
	case !r.class.CheckOnly && e.pickBackend(now, r, 1) == nil:
		// No backend has room: counted, it would shut others of the tenant out.
		r.giveUp(now, r.class.LatencyObjective/8)
	case t.window.total+r.units > t.plan.quota+t.refilled(now, t.window.start)+roundingTolerance:
		t.recordAdmittedShare(0)
		r.handleOverQuota(now) // used up as far as is known: no call can say otherwise
	case !e.mayCallCounter(now):
		r.decideAdmission(now, r.fallbackAdmits(now), nil)
	default:
		r.callCounter(now)
	}
}

func (r *Request) callCounter(now int64) {
	e, t := r.engine, r.tenant
	r.waitingForCounter = true
	t.waiting++
	// A crowded counter gets calls for a part of the requests only: each stands for the others admitted too.
	others := (1/max(e.breaker.callShare, 0.2) - 1) * r.admitChance()
	call := e.count(now, t, r, r.units*(1+others), t.unreported)
	t.unreported = 0
	wait := min(r.class.counterWait, (r.deadline-now)/2)
	e.schedule(now+wait, &call.waiting, func(now int64) { call.decide(now, false, r.fallbackAdmits(now)) })
}

// decide ends the wait of the call's request, by the counter's answer (ok) or without it.
func (c *counterCall) decide(now int64, ok, admitted bool) {
	c.waiting = false
	c.request.engine.recordCounterCall(now, ok)
	if c.request.waitingForCounter { // else its client has left meanwhile
		c.tenant.waiting--
		c.request.decideAdmission(now, admitted, c)
	}
}

// count adds units to the tenant's count, and the attempts in flight that it does not hold yet.
func (e *Engine) count(now int64, t *tenant, r *Request, units, more float64) *counterCall {
	call := &counterCall{tenant: t, request: r, windowStart: t.window.start, amount: units + more, units: units,
		reconciled: t.window.reconciled, attempts: t.inFlight + t.waiting - t.window.reportedInFlight, waiting: r != nil}
	e.pendingCalls.push(t.window.key, call)
	t.window.reportedInFlight += call.attempts
	lifetime := min(t.window.start+2*t.plan.window-now+second, 60*second)
	e.effects.AddToCounter(t.window.key, call.amount+float64(call.attempts)*t.plan.concurrencyUnit, lifetime)
	return call
}

// HandleCounterResult brings the answer to the oldest unanswered call for a count.
func (e *Engine) HandleCounterResult(now int64, outcome Outcome, key CounterKey, total float64) {
	call := e.pendingCalls.pop(key)
	switch {
	case call == nil:
	case outcome == Succeeded:
		e.handleTotal(now, call, total)
	default:
		e.handleCounterFailure(now, call, outcome)
	}
}

func (e *Engine) handleCounterFailure(now int64, call *counterCall, outcome Outcome) {
	t := call.tenant
	if call.waiting {
		call.decide(now, false, call.request.fallbackAdmits(now))
	}
	if (outcome == Rejected || outcome == ConnectFailed) && call.windowStart == t.window.start {
		t.window.reportedInFlight -= call.attempts
	}
	// Else it was added: likely by a slow counter, for certain by one whose answer was spoilt (ConnectionLost).
	if outcome != ConnectionLost && (outcome != TimedOut || e.breaker.state != breakerClosed) {
		t.unreported += call.amount
	}
	if !call.admitted && t.tracksRefill {
		t.unreported -= call.units
	}
}

// handleTotal takes in a count's total. It lacks what the burst cannot hold of the refill, what the last
// window left used, and what a counter lost that came back empty.
func (e *Engine) handleTotal(now int64, call *counterCall, total float64) {
	t := call.tenant
	total, inFlight := t.plan.splitTotal(total)
	total += t.window.reconciled - call.reconciled // what was reconciled since the call was made
	refilled := t.refilled(now, call.windowStart)
	current := call.request != nil && call.windowStart == t.window.start
	if current {
		t.observeTotal(total-call.amount, refilled, call.amount)
	}
	total += t.window.lostUnits
	correction := 0.0
	if current {
		correction = call.request.claimLostUnits(now)
	}
	if call.waiting {
		call.decideByTotal(now, total, refilled, inFlight)
	}
	if !call.admitted && t.tracksRefill { // it was counted and not sent
		correction -= call.units
		total -= call.units
		t.ownUnits = max(t.ownUnits-call.units, 0)
	}
	if call.windowStart != t.window.start || now >= t.windowEnd() {
		return
	}
	t.window.total, t.window.counterTotal = total, total-t.window.lostUnits
	if math.Abs(correction) > roundingTolerance || t.hasStaleInFlight(now) {
		t.window.reconciled += correction
		e.count(now, t, nil, 0, correction)
	}
}

// observeTotal learns from a total of the current window; before is what it was without the call's amount.
func (t *tenant) observeTotal(before, refilled, amount float64) {
	w := &t.window
	w.answers++
	switch {
	case w.counterTotal-before > t.plan.quota/2 && before < w.counterTotal/2: // the counter came back empty
		w.lostUnits += w.counterTotal
	case w.lostUnits > 0 && before-w.counterTotal >= w.lostUnits/2: // another instance reconciled, as far as it knew
		w.lostUnits = max(w.total-before, 0)
	case w.counterTotal > 0:
		t.observeTraffic(before, amount)
	}
	w.lostUnits = max(w.lostUnits, refilled-before)
}

// observeTraffic learns this instance's part of the tenant's traffic, over about ten answers. Between a
// window's first and last lie n-1 of n for (n-1)/(n+1) of its time: an instance of few takes its part for a
// half larger. That is kept where a unit beyond the quota costs half of one within it or less, since what is
// admitted too little costs all.
func (t *tenant) observeTraffic(before, amount float64) {
	n, penalty := float64(t.window.answers), min(max(2*t.plan.OverQuotaCost-1, 0), 1)
	t.ownUnits = 0.9*t.ownUnits + amount*(1-penalty*2/(n*(n+1)))
	t.otherUnits = 0.9*t.otherUnits + max(before-t.window.counterTotal, 0)
}

// claimLostUnits returns the units that this instance is to add for lost ones. The tenant's instances do so
// in an order of the window's own, each if the ones before did not: two at once would shut the tenant out.
func (r *Request) claimLostUnits(now int64) float64 {
	w := &r.tenant.window
	if w.lostUnits <= r.plan.quota/8 { // an eighth: a call for each small step would crowd the counter
		w.lostSince = 0
	} else if w.lostSince == 0 {
		w.lostSince = now
	}
	turn := (r.position + int(uint64(w.key)%1024)) % int(r.entryPoints)
	if w.lostSince <= 0 || now < w.lostSince+int64(turn)*r.class.counterWait {
		return 0
	}
	claimed := w.lostUnits
	w.lostUnits, w.lostSince = 0, 0
	return claimed
}

func (c *counterCall) decideByTotal(now int64, total, refilled, inFlight float64) {
	t, units := c.tenant, c.request.units
	room := t.plan.quota + refilled - total + c.units - units
	// What is admitted without a call goes unseen here.
	overLimit := t.plan.concurrencyUnit > 0 && inFlight > float64(t.plan.ConcurrencyLimit)
	c.decide(now, true, room+roundingTolerance >= 0 && !overLimit)
	t.recordAdmittedShare(min(max(room+units, 0)/units, 1))
}
