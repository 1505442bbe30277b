package policy

import (
	"slices"
	"time"
)

const (
	// fastestAnswerPercent is the percentage of the latency objective that the fastest answers are assumed to take.
	fastestAnswerPercent = 10
	// minTimeToSend is the time before the deadline in which no attempt is sent if a late answer still has value.
	minTimeToSend = time.Millisecond
)

// HandleAttemptResult handles the end of an attempt. The request then finishes, is retried, or is given up.
func (r *Request) HandleAttemptResult(now Instant, result AttemptResult) {
	if int(result.Attempt) >= len(r.attempts) || !r.attempts[result.Attempt].inFlight {
		return
	}
	a := r.attempts[result.Attempt]
	r.removeAttempt(a, result.Outcome)
	r.recordResult(now, a, &result)
	r.chargeActualUnits(&result)
	r.continueAfterAttempt(now, &result)
	r.engine.reportEndedAttempts(now, r.tenant)
}

// continueAfterAttempt decides how the request continues after the end of an attempt.
func (r *Request) continueAfterAttempt(now Instant, result *AttemptResult) {
	switch {
	case r.finished:
	case result.RequestDone || result.Outcome == Succeeded:
		r.plan.abandonment.recordAnswered()
		r.finish()
	case r.inFlight > 0: // the attempt that is still in flight may succeed
	case result.Outcome == NotSent || r.responseStarted || r.tooLateToSend(now):
		r.giveUp(r.retryAfterNoCapacity())
	default:
		r.forward(now)
	}
}

// tooLateToSend reports whether it is too late to send another attempt. If a late answer has no value, this is when
// even the fastest answer would come after answerDueAt. If a late answer has value, only the deadline counts here. In
// that case pickBackend still finds no backend once the latency budget is used up, which is at answerDueAt, or a
// little later for requests that cost less than the mean request.
func (r *Request) tooLateToSend(now Instant) bool {
	latest := r.answerDueAt.Add(-percentOf(r.class.LatencyObjective, fastestAnswerPercent))
	if r.class.LateValue > 0 {
		latest = r.deadline.Add(-minTimeToSend)
	}
	return !now.Before(latest)
}

// rejectionIsSafe reports whether the request may be rejected, which states to the client that a retry is safe.
func (r *Request) rejectionIsSafe() bool {
	c := r.class
	if c.Idempotency == Idempotent || c.Idempotency == IdempotentWithKey && c.DedupScope == DedupByAll {
		return true
	}
	return !slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.mayHaveRun })
}

// giveUp finishes a request of which no attempt succeeded. The final answer is a rejection with a Retry-After if a
// retry by the client is safe, and an abort otherwise. The only other abort is that of abortUnknownClassOrPlan.
func (r *Request) giveUp(retryAfter time.Duration) {
	if r.finished {
		return
	}
	r.finish()
	e := r.engine
	if !r.rejectionIsSafe() {
		e.effects.Abort(r.id)
		return
	}
	e.effects.Reject(r.id, e.advisedRetryAfter(retryAfter))
}
