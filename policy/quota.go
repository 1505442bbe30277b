package policy

import (
	"math"

	"fawnplank/internal/nanos"
)

const maxCountLifetime = 60 * second // the counter drops counts after a minute

// countLifetime returns how long the counter keeps the window's count: until a second after the next window.
func (t *tenant) countLifetime(now int64) int64 {
	return min(t.windowEnd()+t.plan.window+second-now, maxCountLifetime)
}

// tracksRefill reports whether the tenant's instances see enough of its count to compute its refill together.
func (r *Request) tracksRefill() bool {
	p := r.plan
	return 2*p.quota >= r.entryPoints*max(r.engine.latencyByUnits.MeanX, 1) &&
		2*r.entryPoints*float64(r.class.counterWait) <= float64(p.window)
}

// keepFor returns how long an unused tenant is remembered: for two windows and for the minute that the
// counter keeps counts, and until its hard quota would be full anyway.
func (t *tenant) keepFor() int64 {
	keep := max(2*t.plan.window, maxCountLifetime) // a minute keeps the checks rare for plans of tiny windows
	if t.plan.HardQuotaRate > 0 {
		keep = max(keep, nanos.FromSeconds(t.plan.HardQuotaBurst/t.plan.HardQuotaRate))
	}
	return keep
}

// rollOver starts the window of now and carries over what the last one used beyond its refill: it grants no
// fresh burst, and other unreported units have been refilled. Where few of the instances see much of a count,
// none knows in time what to carry: the plain count of all requests holds, from zero in each window.
func (t *tenant) rollOver(now int64, breakerOpen bool, entryPoints float64) {
	if t.plan.window == 0 || t.window.key != 0 && now < t.windowEnd() {
		return
	}
	next, carried := t.windowAt(now), 0.0
	switch {
	case !t.tracksRefill:
	case breakerOpen && t.window.counterTotal == 0: // nothing was reported: use the local share instead
		carried = t.localUsage.UnrefilledAt(next.start, t.trafficShare(entryPoints), t.plan.Rate)
	default:
		carried = max(t.window.total+t.unreported-nanos.Accrued(t.plan.Rate, next.start-t.window.start), 0)
	}
	t.unreported = 0
	next.total, next.lostUnits = carried, carried
	t.window = next
}

// askCounter counts the request on the counter if the breaker allows the call, and else uses the fallback.
func (r *Request) askCounter(now int64) {
	e, t := r.engine, r.tenant
	switch {
	case !r.class.CheckOnly && e.pickBackend(now, r, 1) == nil:
		r.giveUp(r.class.LatencyObjective / 8) // no capacity: a count would shut out the tenant's other requests
	case t.window.total+r.units > t.plan.quota+t.refilled(now, t.window.start)+roundingTolerance:
		t.recordAdmittedShare(0)
		r.handleOverQuota(now) // known to be used up: no call can say otherwise
	case !e.mayCallCounter(now):
		r.decideAdmission(now, r.fallbackAdmits(now), nil)
	default:
		r.waitingForCounter = true
		t.waiting++
		// An overloaded counter gets calls for some requests only: each also counts the others likely admitted.
		others := (1/max(e.callShare, 0.2) - 1) * r.admitChance()
		call := e.count(now, t, r, r.units*(1+others), t.unreported)
		t.unreported = 0
		wait := min(r.class.counterWait, (r.deadline-now)/2)
		e.schedule(now+wait, &call.waiting, func(now int64) { call.decide(now, false, r.fallbackAdmits(now)) })
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
	// Report it again unless a slow counter likely added it, or one with a spoilt answer (ConnectionLost) did.
	if outcome != ConnectionLost && (outcome != TimedOut || !e.breaker.IsClosed()) {
		t.unreported += call.amount
	}
	if !call.admitted && t.tracksRefill {
		t.unreported -= call.units
	}
}

// handleTotal processes the total of a count. The total lacks refill that the burst cannot hold, what the
// last window left used, and what was lost by a counter that came back empty.
func (e *Engine) handleTotal(now int64, call *counterCall, total float64) {
	t := call.tenant
	total, inFlight := t.plan.splitTotal(total)
	total += t.window.reconciled - call.reconciled // reconciled since the call was made
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
		units := call.request.units
		unitsLeft := t.plan.quota + refilled - total + call.units - units
		// Attempts admitted without a call are not seen here.
		overLimit := t.plan.concurrencyUnit > 0 && inFlight > float64(t.plan.ConcurrencyLimit)
		call.decide(now, true, unitsLeft+roundingTolerance >= 0 && !overLimit)
		t.recordAdmittedShare(min(max(unitsLeft+units, 0)/units, 1))
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

// observeTotal learns from a total of the current window; before is the total without the call's amount.
func (t *tenant) observeTotal(before, refilled, amount float64) {
	w := &t.window
	w.answers++
	switch {
	case w.counterTotal-before > t.plan.quota/2 && before < w.counterTotal/2: // the counter came back empty
		w.lostUnits += w.counterTotal
	case w.lostUnits > 0 && before-w.counterTotal >= w.lostUnits/2: // another reconciled what it knew of
		w.lostUnits = max(w.total-before, 0)
	case w.counterTotal > 0:
		// Estimate this instance's part of the traffic over about ten answers. From the first to the last answer of
		// a window come n-1 of n in (n-1)/(n+1) of its time: an instance with few overrates its part by half. Keep
		// that where a unit beyond the quota costs at most half of one within: admitting too little costs all.
		n, penalty := float64(w.answers), min(max(2*t.plan.OverQuotaCost-1, 0), 1)
		t.ownUnits = 0.9*t.ownUnits + amount*(1-penalty*2/(n*(n+1)))
		t.otherUnits = 0.9*t.otherUnits + max(before-w.counterTotal, 0)
	}
	w.lostUnits = max(w.lostUnits, refilled-before)
}

// claimLostUnits returns the lost units that this instance adds back now. The tenant's instances take turns
// in an order set by the window, each only if those before did not: two at once would shut the tenant out.
func (r *Request) claimLostUnits(now int64) float64 {
	w := &r.tenant.window
	if w.lostUnits <= r.plan.quota/8 { // an eighth: a call for each small step would overload the counter
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
