package policy

import "time"

const (
	// stallRatio is the multiple of the mean latency that few attempts exceed. An attempt that takes longer is overdue,
	// within the bounds below. It is stalled if it has taken that long and its backend has answered no attempt since it
	// was sent.
	stallRatio = 5
	// minAttemptTimeoutPercent and maxAttemptTimeoutPercent bound the attempt timeout, as percentages of the latency
	// objective. Overload has to be detected by the upper bound, and after it too little time is left for another
	// attempt. If the mean latency exceeds a seventh of the objective, the upper bound is reached before stallRatio,
	// and no attempt counts as stalled. Before the first answer the mean latency is 0, and an unanswered attempt
	// counts as stalled at the lower bound.
	minAttemptTimeoutPercent = 40
	maxAttemptTimeoutPercent = 70
)

// attemptTimeout returns the time after which an attempt is overdue. It depends on the mean latency for the request's
// units and on the latency objective of the class.
func (r *Request) attemptTimeout() time.Duration {
	e, objective := r.engine, r.class.LatencyObjective
	stallTime := time.Duration(stallRatio * e.latency.mean.Value * e.relativeCost(r.units))
	timeout := max(stallTime, percentOf(objective, minAttemptTimeoutPercent))
	return min(timeout, percentOf(objective, maxAttemptTimeoutPercent))
}

// handleOverdue records the elapsed time of an overdue attempt as a latency. If the attempt is stalled, it ejects the
// backend and replaces the attempt. It runs at the attempt timeout, and again later if the command of the attempt is
// still on its way.
func (r *Request) handleOverdue(now Instant, id AttemptID) {
	e, a := r.engine, r.attempts[id]
	if !a.timeoutPassed(now) {
		r.handleLateDelivery(now, id)
		return
	}
	a.overdue = true
	expected := e.latency.mean.Value * e.relativeCost(r.units) // computed before this attempt is recorded
	e.inFlightNotOverdue--
	if r.finished || r.responseStarted {
		return
	}
	elapsed := float64(a.waitingFor(now))
	// Recording the elapsed time now detects overload before the late answers arrive.
	e.recordLatency(a.backend, elapsed/e.relativeCost(r.units), a.concurrency)
	if a.backend.lastAnswerAt.After(a.waitingSince) || elapsed < stallRatio*expected {
		return
	}
	e.eject(now, a.backend)
	r.replaceStalled(now, id)
}

// replaceStalled sends a hedged attempt in parallel to a stalled one. Where hedging is not allowed, it cancels the
// stalled attempt, whose end is followed by a retry. It does neither if another attempt is in flight already, if too
// little time is left, or if the request could not be rejected safely afterward.
func (r *Request) replaceStalled(now Instant, id AttemptID) {
	e := r.engine
	if r.inFlight > 1 || r.tooLateToSend(now) || !r.rejectionIsSafe() {
		return
	}
	if e.settings.Hedging {
		b := e.pickBackend(now, r, fullBudget)
		if b != nil && b != r.attempts[id].backend {
			r.sendAttempt(now, b)
		}
		return
	}
	if e.settings.Cancellation && len(r.attempts) < e.settings.MaxAttempts {
		e.effects.Cancel(r.id, id)
	}
}
