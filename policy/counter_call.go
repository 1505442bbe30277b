package policy

import (
	"math"
	"time"
)

const (
	// counterWaitPercent bounds the wait for the counter, as a part of the latency objective.
	counterWaitPercent = 5
	// counterTimeoutPercent bounds that wait as a part of the counter's own timeout, so that it ends first.
	counterTimeoutPercent = 80
	// minCounterWait is the lower bound of the wait, which applies to short latency objectives.
	minCounterWait = time.Millisecond
	// maxRequestsPerCall bounds the number of requests for which a single call counts units.
	maxRequestsPerCall = 5
)

// counterCall is one unanswered call to the counter.
type counterCall struct {
	tenant        *tenant
	request       *Request // nil: the call only corrects the count
	windowStart   Instant  // start of the window that the count belongs to
	amount        float64  // all units that the call adds, without the weight of attempts
	units         float64  // units of the request and of the uncounted requests that the call represents
	corrections   float64  // the window's corrections at the time of the call
	addedAttempts int      // attempts in flight that the call adds
	waiting       bool     // the request waits for the answer
	admitted      bool     // the request was admitted
}

// pendingCalls are the unanswered calls for each count, oldest first: the counter answers the calls for a count
// in the order in which they were made.
type pendingCalls map[CounterKey][]*counterCall

func (p pendingCalls) push(key CounterKey, call *counterCall) { p[key] = append(p[key], call) }

// pop removes and returns the oldest call for a count, or returns nil if there is none.
func (p pendingCalls) pop(key CounterKey) *counterCall {
	calls := p[key]
	if len(calls) == 0 {
		return nil
	}
	if p[key] = calls[1:]; len(calls) == 1 {
		delete(p, key)
	}
	return calls[0]
}

// counterWait returns how long a request of a class waits for the counter before it is decided without an
// answer.
//
// Inputs: the class's latency objective, the counter's own timeout.
func counterWait(objective, counterTimeout time.Duration) time.Duration {
	wait := percentOf(objective, counterWaitPercent)
	return max(min(wait, percentOf(counterTimeout, counterTimeoutPercent)), minCounterWait)
}

// callCounter counts the request on the counter. If the answer takes longer than the class's counterWait, or
// than half of the client's remaining time, the request is decided without it.
func (r *Request) callCounter(now Instant) {
	e, t := r.engine, r.tenant
	r.waitingForCounter = true
	t.waiting++
	units := r.units * (1 + e.uncountedPerCall()*r.localAdmissionProbability())
	call := e.addToCount(now, t, r, countedUnits{charged: units, correction: t.unreportedUnits})
	t.unreportedUnits = 0
	wait := min(r.class.counterWait, r.deadline.Sub(now)/2)
	e.schedule(now.Add(wait), &call.waiting, func(now Instant) { call.decideWithoutAnswer(now, TimedOut) })
}

// uncountedPerCall returns the number of requests without a call that each call represents. Only a share of the
// requests call an overloaded counter (breaker.go).
func (e *Engine) uncountedPerCall() float64 {
	return min(1/e.breaker.callShare, maxRequestsPerCall) - 1
}

// countedUnits are the units that a call adds to a count: those charged for the request and for the uncounted
// requests that the call represents, and a correction of the count, which may be negative.
type countedUnits struct{ charged, correction float64 }

// addToCount adds units to the tenant's count, and the attempts in flight that the count does not include yet. r
// is nil if the call only corrects the count.
func (e *Engine) addToCount(now Instant, t *tenant, r *Request, units countedUnits) *counterCall {
	w := &t.window
	call := &counterCall{
		tenant:        t,
		request:       r,
		windowStart:   w.start,
		amount:        units.charged + units.correction,
		units:         units.charged,
		corrections:   w.corrections,
		addedAttempts: t.inFlight + t.waiting - w.reportedInFlight,
		waiting:       r != nil,
	}
	e.pendingCalls.push(w.key, call)
	w.reportedInFlight += call.addedAttempts
	amount := call.amount + float64(call.addedAttempts)*t.plan.attemptWeight
	e.effects.AddToCounter(w.key, amount, t.countLifetime(now))
	return call
}

// reportEndedAttempts removes ended attempts from the tenant's count, if the counter may be called. It does not
// call while the breaker is open: the result of such a call is not recorded, so the breaker would remain
// half-open.
func (e *Engine) reportEndedAttempts(now Instant, t *tenant) {
	if t.countHoldsEndedAttempts(now) && e.breaker.IsClosed() && e.claimCounterCall(now) {
		e.addToCount(now, t, nil, countedUnits{})
	}
}

// HandleCounterResult handles the result of the oldest unanswered call for a count.
func (e *Engine) HandleCounterResult(now Instant, result CounterResult) {
	call := e.pendingCalls.pop(result.Key)
	switch {
	case call == nil:
	case result.Outcome == Succeeded:
		e.handleCounterTotal(now, call, result.Total)
	default:
		e.handleCounterFailure(now, call, result.Outcome)
	}
}

// countTotal is the total of a count, split into its parts.
type countTotal struct {
	units    float64 // units from the answer, plus the lost units once they are added
	refilled float64 // units that the rate has refilled since the window's start
	inFlight float64 // the tenant's attempts in flight at all instances
}

// handleCounterTotal processes the total of a count. Three amounts are added to the answered total: refill
// beyond a full bucket, units still used at the end of the previous window, and units that the counter has lost.
// The answer to a call of an earlier window decides its request with the lost units and the corrections of that
// window, and is not stored.
func (e *Engine) handleCounterTotal(now Instant, call *counterCall, answeredTotal float64) {
	t := call.tenant
	total := t.plan.splitTotal(answeredTotal)
	adjustment := t.adjustmentOf(call)
	total.units += adjustment.corrections - call.corrections // corrections made after the call
	total.refilled = t.refilled(now, call.windowStart)
	countsCurrentWindow := call.windowStart == t.window.start
	updatesWindow := call.request != nil && countsCurrentWindow
	if updatesWindow {
		t.observeTotal(total, call.amount)
		adjustment = t.window.adjustment()
	}
	total.units += adjustment.lostUnits
	correction := 0.0
	if updatesWindow {
		correction = call.request.claimLostUnits(now)
	}
	if call.waiting {
		call.decideByTotal(now, total)
	}
	if call.countedButNotAdmitted() {
		correction -= call.units
		total.units -= call.units
		t.traffic.removeOwnUnits(call.units)
	}
	if countsCurrentWindow && now.Before(t.windowEnd()) {
		e.storeTotal(now, t, total.units, correction)
	}
}

// decideByTotal decides the call's request by the count's total. Attempts that were admitted without a call are
// not included in the total.
func (c *counterCall) decideByTotal(now Instant, total countTotal) {
	t, units := c.tenant, c.request.units
	unitsLeft := t.plan.quota + total.refilled - total.units + c.units - units
	overLimit := t.plan.attemptWeight > 0 && total.inFlight > float64(t.plan.ConcurrencyLimit)
	decision := overQuota
	if unitsLeft+roundingTolerance >= 0 && !overLimit {
		decision = withinQuota
	}
	c.decide(now, Succeeded, decision)
	if units > 0 { // the fraction is undefined for a request of no units
		t.recordAdmittedFraction(min(max(unitsLeft+units, 0)/units, 1))
	}
}

// storeTotal stores the total of the current window. It sends a correction to the counter if there is one, or if
// the count includes attempts that have ended. The correction needs no claimCounterCall, because the counter has
// just answered.
func (e *Engine) storeTotal(now Instant, t *tenant, total, correction float64) {
	t.window.total = total
	t.window.counterTotal = total - t.window.lostUnits
	if math.Abs(correction) > roundingTolerance || t.countHoldsEndedAttempts(now) {
		t.window.corrections += correction
		e.addToCount(now, t, nil, countedUnits{correction: correction})
	}
}

// handleCounterFailure processes a call that failed: its request is decided without the counter, and the units
// that the call probably did not add are reported again. The failure is recorded before likelyAdded is
// evaluated, so that the breaker is already open for the call whose failure opens it.
func (e *Engine) handleCounterFailure(now Instant, call *counterCall, outcome Outcome) {
	t := call.tenant
	if call.waiting {
		call.decideWithoutAnswer(now, outcome)
	}
	// Attempts are reported again only if the counter has certainly not added them: counted twice, they would use
	// up the tenant's concurrency limit. Units are reported again unless they were probably added.
	certainlyNotAdded := outcome == Rejected || outcome == ConnectFailed
	countsCurrentWindow := call.windowStart == t.window.start
	if certainlyNotAdded && countsCurrentWindow {
		t.window.reportedInFlight -= call.addedAttempts
	}
	likelyAdded := e.likelyAdded(outcome)
	if !likelyAdded {
		t.unreportedUnits += call.amount
	}
	// The current window's count does not include units that were added in an earlier window.
	if call.countedButNotAdmitted() && (countsCurrentWindow || !likelyAdded) {
		t.unreportedUnits -= call.units
	}
}

// likelyAdded reports whether the counter probably added the units of a failed call: if its answer was malformed
// (ConnectionLost), or if it timed out while the breaker is closed, which means that the counter does answer,
// though slowly.
func (e *Engine) likelyAdded(outcome Outcome) bool {
	return outcome == ConnectionLost || outcome == TimedOut && e.breaker.IsClosed()
}

// countedButNotAdmitted reports whether the call's units were counted for a request that was not admitted, and
// have to be given back because the tenant's refill is tracked.
func (c *counterCall) countedButNotAdmitted() bool { return !c.admitted && c.tenant.refillTracked }

// decideWithoutAnswer decides the call's request by the fallback mode of its class.
func (c *counterCall) decideWithoutAnswer(now Instant, outcome Outcome) {
	c.decide(now, outcome, c.request.fallbackDecision(now))
}

// decide ends the request's wait for the call and applies the decision. outcome is the call's outcome, which is
// recorded for the breaker.
func (c *counterCall) decide(now Instant, outcome Outcome, decision quotaDecision) {
	r := c.request
	c.waiting = false
	r.engine.recordCounterCall(now, outcome)
	if !r.waitingForCounter {
		return // the client has left in the meantime
	}
	c.tenant.waiting--
	r.waitingForCounter = false
	c.admitted = decision == withinQuota
	r.applyQuotaDecision(now, decision)
}

// recordUncounted adds a request that was admitted without a call to the unreported units. It does nothing while
// the counter answers, since the calls of other requests represent this one.
func (r *Request) recordUncounted() {
	if !r.engine.breaker.IsClosed() || !r.engine.settings.CounterEnabled {
		r.tenant.unreportedUnits += r.units
	}
}

// splitTotal splits a count's total into its units and the attempts in flight that are encoded in it.
func (p *plan) splitTotal(total float64) countTotal {
	if p.attemptWeight <= 0 {
		return countTotal{units: total}
	}
	inFlight := math.Round(total / p.attemptWeight)
	return countTotal{units: total - inFlight*p.attemptWeight, inFlight: inFlight}
}
