package policy

import (
	"time"

	"fawnplank/internal/monotime"
	"fawnplank/policy/internal/estimate"
)

const (
	// abandonmentSamples is the number of a plan's most recent clients that its abandonment averages cover.
	abandonmentSamples = 20
	// abandonmentThreshold is the abandoned share above which the answers of a plan are due by the time at which its
	// clients usually abandon their requests.
	abandonmentThreshold = 0.3
	// minAbandonmentSamples is the number of clients below which the abandoned share of a plan is not used: with fewer,
	// a single abandonment would exceed abandonmentThreshold.
	minAbandonmentSamples = 4
	// abandonmentDecayPerTick halves the abandoned share in about seven seconds, so that a burst of abandonments has no
	// lasting effect.
	abandonmentDecayPerTick = 0.99
	// earlyAbandonmentMargin is the shortest time before the deadline at which a client that is gone counts as an
	// abandonment.
	earlyAbandonmentMargin = 10 * time.Millisecond
)

// abandonment measures which share of a plan's clients abandon their requests before the deadline, and after what time.
// Rejected clients are not counted, since it is unknown how long they would have waited.
type abandonment struct {
	abandonedShare    estimate.Mean // of the clients that abandoned their request or were answered by a backend
	timeToAbandonment estimate.Mean // from submission to abandonment, in nanoseconds
}

func (a *abandonment) recordAnswered() { a.abandonedShare.Add(0, abandonmentSamples) }

func (a *abandonment) recordAbandoned(timeToAbandonment time.Duration) {
	a.abandonedShare.Add(1, abandonmentSamples)
	a.timeToAbandonment.Add(float64(timeToAbandonment), abandonmentSamples)
}

func (a *abandonment) decay() { a.abandonedShare.Value *= abandonmentDecayPerTick }

// expectsAbandonment reports whether the abandoned share is high enough to expect that the next client abandons its
// request too.
func (a *abandonment) expectsAbandonment() bool {
	return a.abandonedShare.Count >= minAbandonmentSamples && a.abandonedShare.Value > abandonmentThreshold
}

// answerDue returns when the request's answer is due: at the end of the latency objective or at the deadline, whichever
// is earlier. It is due earlier still if the plan's clients are expected to abandon their requests before that time, so
// that no attempt is sent whose answer would come too late.
func (r *Request) answerDue(now Instant) Instant {
	due := monotime.Earlier(now.Add(r.class.LatencyObjective), r.deadline)
	if r.plan.abandonment.expectsAbandonment() {
		timeToAbandonment := time.Duration(r.plan.abandonment.timeToAbandonment.Value)
		due = monotime.Earlier(due, now.Add(timeToAbandonment))
	}
	return due
}

// HandleClientGone finishes the request after its client has gone and no longer waits for an answer.
func (r *Request) HandleClientGone(now Instant) {
	if r.finished {
		return
	}
	if now.Before(r.deadline.Add(-earlyAbandonmentMargin)) {
		r.plan.abandonment.recordAbandoned(now.Sub(r.submittedAt))
	}
	r.finish()
}
