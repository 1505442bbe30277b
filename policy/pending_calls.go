package policy

import "math"

// counterCall is one unanswered call to the counter.
type counterCall struct {
	tenant      *tenant
	request     *Request // nil: the call only corrects the count
	windowStart int64    // of the window that the count belongs to
	amount      float64  // units that were added
	units       float64  // units of the request and of the requests that it stands for
	reconciled  float64  // the window's reconciled units when the call was made
	attempts    int      // attempts in flight that were added
	waiting     bool     // the answer decides the request
	admitted    bool     // the request was admitted
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

// count adds units and more to the tenant's count, and the attempts in flight that the count does not hold
// yet. r is nil if the call only corrects the count, by more.
func (e *Engine) count(now int64, t *tenant, r *Request, units, more float64) *counterCall {
	w := &t.window
	call := &counterCall{
		tenant:      t,
		request:     r,
		windowStart: w.start,
		amount:      units + more,
		units:       units,
		reconciled:  w.reconciled,
		attempts:    t.inFlight + t.waiting - w.reportedInFlight,
		waiting:     r != nil,
	}
	e.pendingCalls.push(w.key, call)
	w.reportedInFlight += call.attempts
	amount := call.amount + float64(call.attempts)*t.plan.concurrencyUnit
	e.effects.AddToCounter(w.key, amount, t.countLifetime(now))
	return call
}

// splitTotal separates a count's total into its units and the attempts in flight that are counted beside
// them.
func (p *plan) splitTotal(total float64) (units, inFlight float64) {
	if p.concurrencyUnit <= 0 {
		return total, 0
	}
	inFlight = math.Round(total / p.concurrencyUnit)
	return total - inFlight*p.concurrencyUnit, inFlight
}

// decide ends the wait of the call's request, by the counter's answer (ok) or without it.
func (c *counterCall) decide(now int64, ok, admitted bool) {
	c.waiting = false
	c.request.engine.recordCounterCall(now, ok)
	if c.request.waitingForCounter { // else its client has left in the meantime
		c.tenant.waiting--
		c.request.decideAdmission(now, admitted, c)
	}
}

// HandleCounterResult reports the answer to the oldest unanswered call for a count.
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
