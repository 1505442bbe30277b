package policy

import (
	"slices"
	"time"
)

const (
	// fastestAnswerPercent is the part of the latency objective that the fastest answers take.
	fastestAnswerPercent = 10
	// minTimeToSend is what has to be left before the deadline where a late answer still has a value.
	minTimeToSend = time.Millisecond
)

// HandleAttemptResult reports how an attempt ended. The request then ends with it, is retried, or is given up.
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

// continueAfterAttempt decides what follows on an attempt's end.
func (r *Request) continueAfterAttempt(now Instant, result *AttemptResult) {
	switch {
	case r.finished:
	case result.RequestDone || result.Outcome == Succeeded:
		r.plan.abandonment.recordAnswered()
		r.finish()
	case r.inFlight > 0: // the other attempt may succeed
	case result.Outcome == NotSent || r.responseStarted || r.tooLateToSend(now):
		r.giveUp(r.retryAfterNoCapacity())
	default:
		r.forward(now)
	}
}

// tooLateToSend reports whether an attempt sent now is unlikely to be worth its cost: where a late answer has
// no value, the fastest answer would miss answerDueAt. Where it has one, the deadline bounds it here, but
// pickBackend finds no backend once the latency budget is used up: at answerDueAt, or a little later for requests
// that cost less than the mean one.
func (r *Request) tooLateToSend(now Instant) bool {
	latest := r.answerDueAt.Add(-percentOf(r.class.LatencyObjective, fastestAnswerPercent))
	if r.class.LateValue > 0 {
		latest = r.deadline.Add(-minTimeToSend)
	}
	return !now.Before(latest)
}

// rejectionIsSafe reports whether a rejection may promise that trying again does no harm.
func (r *Request) rejectionIsSafe() bool {
	c := r.class
	if c.Idempotency == Idempotent || c.Idempotency == IdempotentWithKey && c.DedupScope == DedupByAll {
		return true
	}
	return !slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.mayHaveRun })
}

// giveUp gives the final answer when no attempt succeeded: a rejection, with the time to come back after, if
// that can promise that a retry does no harm; otherwise an abort. Only abortUnknownClassOrPlan answers so too.
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
