package policy

import (
	"math"
	"time"
)

const (
	// counterWaitPercent is the part of the latency objective that a request waits for the counter at most.
	counterWaitPercent = 5
	// counterTimeoutPercent keeps that wait below the counter's own timeout.
	counterTimeoutPercent = 80
	// minCounterWait is the shortest wait, for objectives that leave less.
	minCounterWait = time.Millisecond
	// maxRequestsPerCall bounds for how many requests one call may count.
	maxRequestsPerCall = 5
)

// counterCall is one unanswered call to the counter.
type counterCall struct {
	tenant        *tenant
	request       *Request // nil: the call only corrects the count
	windowStart   Instant  // of the window that the count belongs to
	amount        float64  // units that were added
	units         float64  // units of the request and of the requests that it stands for
	corrections   float64  // the window's corrections when the call was made
	addedAttempts int      // attempts in flight that were added
	waiting       bool     // the answer decides the request
	admitted      bool     // the request was admitted
}

// pendingCalls are the unanswered calls by their count, in the order in which they were made: the counter
// answers the calls for a count in that order.
type pendingCalls map[CounterKey][]*counterCall

func (p pendingCalls) push(key CounterKey, call *counterCall) { p[key] = append(p[key], call) }

// pop returns the oldest call for a count; nil: there is none.
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

// counterWait returns how long a request of a class waits for the counter before it is decided without it.
//
// Inputs: the class's latency objective, the counter's own timeout.
func counterWait(objective, counterTimeout time.Duration) time.Duration {
	wait := percentOf(objective, counterWaitPercent)
	return max(min(wait, percentOf(counterTimeout, counterTimeoutPercent)), minCounterWait)
}

// callCounter counts the request on the counter, and decides it without the answer if that takes longer than
// the class's counterWait, or than half of the client's remaining time.
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

// uncountedPerCall returns for how many requests without a call each call stands: an overloaded counter gets
// calls for a share of the requests only (breaker.go).
func (e *Engine) uncountedPerCall() float64 {
	return min(1/e.breaker.callShare, maxRequestsPerCall) - 1
}

// countedUnits are the units that a call adds to a count: those of the request and of the requests that it
// stands for, and a correction of the count, which may be negative.
type countedUnits struct{ charged, correction float64 }

// addToCount adds units to the tenant's count, and the attempts in flight that the count does not hold yet. r is
// nil if the call only corrects the count.
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

// reportEndedAttempts counts the end of the tenant's attempts, if the counter may be called. An open breaker is not
// tried with it, since such a call is not recorded and would leave it half-open.
func (e *Engine) reportEndedAttempts(now Instant, t *tenant) {
	if t.countHoldsEndedAttempts(now) && e.breaker.IsClosed() && e.claimCounterCall(now) {
		e.addToCount(now, t, nil, countedUnits{})
	}
}

// HandleCounterResult reports the answer to the oldest unanswered call for a count.
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

// countTotal is a count's total as an answer gave it.
type countTotal struct {
	units    float64 // as answered; lost units are added as far as they are known
	refilled float64 // units that the rate has refilled since the window's start
	inFlight float64 // the tenant's attempts in flight at all instances
}

// handleCounterTotal processes the total of a count. Three things are added to the answer: refill beyond a full
// bucket, what the last window left used, and units that an emptied counter lost. The answer to a call of an
// earlier window decides its request with the lost units and the corrections of that window, and is not stored.
func (e *Engine) handleCounterTotal(now Instant, call *counterCall, answeredTotal float64) {
	t := call.tenant
	total := t.plan.splitTotal(answeredTotal)
	adjustment := t.adjustmentOf(call)
	total.units += adjustment.corrections - call.corrections // added since the call was made
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

// decideByTotal decides the call's request by the count's total. Attempts that were admitted without a call
// are not in the total.
func (c *counterCall) decideByTotal(now Instant, total countTotal) {
	t, units := c.tenant, c.request.units
	unitsLeft := t.plan.quota + total.refilled - total.units + c.units - units
	overLimit := t.plan.attemptWeight > 0 && total.inFlight > float64(t.plan.ConcurrencyLimit)
	decision := overQuota
	if unitsLeft+roundingTolerance >= 0 && !overLimit {
		decision = withinQuota
	}
	c.decide(now, Succeeded, decision)
	if units > 0 { // a request of no units shows no share
		t.recordAdmittedFraction(min(max(unitsLeft+units, 0)/units, 1))
	}
}

// storeTotal keeps the total of the current window and writes a correction to the counter, if there is one or
// if attempts have ended that the count still holds. The counter has just answered, so the call is not claimed.
func (e *Engine) storeTotal(now Instant, t *tenant, total, correction float64) {
	t.window.total = total
	t.window.counterTotal = total - t.window.lostUnits
	if math.Abs(correction) > roundingTolerance || t.countHoldsEndedAttempts(now) {
		t.window.corrections += correction
		e.addToCount(now, t, nil, countedUnits{correction: correction})
	}
}

// handleCounterFailure processes a call that failed: its request is decided without the counter, and what the
// call likely did not add is reported again. The failure is recorded first, so that the one that opens the breaker
// already finds it open.
func (e *Engine) handleCounterFailure(now Instant, call *counterCall, outcome Outcome) {
	t := call.tenant
	if call.waiting {
		call.decideWithoutAnswer(now, outcome)
	}
	// Attempts are reported again only if the counter has certainly not added them: counted twice, they would use
	// up the tenant's limit. Units are reported again unless they were likely added.
	certainlyNotAdded := outcome == Rejected || outcome == ConnectFailed
	countsCurrentWindow := call.windowStart == t.window.start
	if certainlyNotAdded && countsCurrentWindow {
		t.window.reportedInFlight -= call.addedAttempts
	}
	likelyAdded := e.likelyAdded(outcome)
	if !likelyAdded {
		t.unreportedUnits += call.amount
	}
	// The current window's count does not hold units that were added in an earlier window.
	if call.countedButNotAdmitted() && (countsCurrentWindow || !likelyAdded) {
		t.unreportedUnits -= call.units
	}
}

// likelyAdded reports whether a call that failed was likely added all the same: by a counter whose answer was
// malformed (ConnectionLost), or by one that is slow but does answer.
func (e *Engine) likelyAdded(outcome Outcome) bool {
	return outcome == ConnectionLost || outcome == TimedOut && e.breaker.IsClosed()
}

// countedButNotAdmitted reports whether the call's units were counted for a request that was not admitted, where such
// units have to be taken back.
func (c *counterCall) countedButNotAdmitted() bool { return !c.admitted && c.tenant.refillTracked }

// decideWithoutAnswer decides the call's request by the fallback mode of its class.
func (c *counterCall) decideWithoutAnswer(now Instant, outcome Outcome) {
	c.decide(now, outcome, c.request.fallbackDecision(now))
}

// decide ends the wait of the call's request. The outcome is that of the call; the breaker learns from it.
func (c *counterCall) decide(now Instant, outcome Outcome, decision quotaDecision) {
	r := c.request
	c.waiting = false
	r.engine.recordCounterCall(now, outcome)
	if !r.waitingForCounter {
		return // its client has left in the meantime
	}
	c.tenant.waiting--
	r.waitingForCounter = false
	c.admitted = decision == withinQuota
	r.applyQuotaDecision(now, decision)
}

// recordUncounted notes that a request was admitted without a call. While the counter answers, the calls of
// other requests stand for it.
func (r *Request) recordUncounted() {
	if !r.engine.breaker.IsClosed() || !r.engine.settings.CounterEnabled {
		r.tenant.unreportedUnits += r.units
	}
}

// splitTotal separates a count's total into its units and the attempts in flight that are counted beside
// them.
func (p *plan) splitTotal(total float64) countTotal {
	if p.attemptWeight <= 0 {
		return countTotal{units: total}
	}
	inFlight := math.Round(total / p.attemptWeight)
	return countTotal{units: total - inFlight*p.attemptWeight, inFlight: inFlight}
}
