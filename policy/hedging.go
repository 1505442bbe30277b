package policy

import "time"

const (
	// stallRatio is the multiple of the usual latency that few attempts exceed. An attempt is overdue then, within
	// the bounds below, and stalled if it has taken that long and its backend has answered nothing since.
	stallRatio = 5
	// minAttemptTimeoutPercent and maxAttemptTimeoutPercent bound the attempt timeout, as parts of the latency objective:
	// overload must show by then, and beyond it too little time is left for another attempt. Where the usual
	// latency exceeds a seventh of the objective, the upper bound comes first, and no attempt counts as stalled. Before
	// any answer it is 0, and an unanswered attempt counts as stalled at the lower bound.
	minAttemptTimeoutPercent = 40
	maxAttemptTimeoutPercent = 70
)

// attemptTimeout returns how long an attempt may take until it is overdue.
//
// Inputs: the usual latency for the request's units, the class's latency objective.
func (r *Request) attemptTimeout() time.Duration {
	e, objective := r.engine, r.class.LatencyObjective
	stallTime := time.Duration(stallRatio * e.latency.mean.Value * e.relativeCost(r.units))
	timeout := max(stallTime, percentOf(objective, minAttemptTimeoutPercent))
	return min(timeout, percentOf(objective, maxAttemptTimeoutPercent))
}

// handleOverdue measures an overdue attempt, and ejects its backend if it stalls: then a hedged attempt
// follows, or a retry after the cancellation. It runs once for an attempt, when its timeout is over.
func (r *Request) handleOverdue(now Instant, attemptIndex int) {
	e, a := r.engine, r.attempts[attemptIndex]
	a.overdue = true
	expected := e.latency.mean.Value * e.relativeCost(r.units) // before this attempt is measured
	e.inFlightNotOverdue--
	if r.finished || r.responseStarted {
		return
	}
	elapsed := float64(now.Sub(a.sentAt))
	// The elapsed time shows overload before its answers come.
	e.recordLatency(a.backend, elapsed/e.relativeCost(r.units), a.concurrency)
	if a.backend.lastAnswerAt.After(a.sentAt) || elapsed < stallRatio*expected {
		return
	}
	e.eject(now, a.backend)
	r.replaceStalled(now, AttemptID(attemptIndex))
}

// replaceStalled sends a hedged attempt beside a stalled one or, where hedging is not allowed, cancels the
// stalled one, so that a retry follows on its end. It does neither if another attempt is in flight already, if no
// time is left, or if a later rejection could not promise that nothing ran twice.
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
