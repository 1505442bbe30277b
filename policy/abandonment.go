package policy

import (
	"time"

	"fawnplank/internal/monotime"
	"fawnplank/policy/internal/estimate"
)

const (
	// abandonmentSamples is how many clients of a plan the shares reach back over.
	abandonmentSamples = 20
	// abandonmentThreshold is the left share from which on a plan's answers are due before its clients leave.
	abandonmentThreshold = 0.3
	// minAbandonmentSamples is how many clients of a plan have to be known for that: of fewer, a single one that left
	// is a share above the threshold.
	minAbandonmentSamples = 4
	// abandonmentDecayPerTick halves what is known in about seven seconds, so that a burst of clients who leave is
	// forgotten.
	abandonmentDecayPerTick = 0.99
	// earlyAbandonmentMargin is what has to be left before the deadline for a client to count as having left early.
	earlyAbandonmentMargin = 10 * time.Millisecond
)

// abandonment is how many of a plan's clients leave before their deadline, and when. Clients that are rejected
// are not counted, as it is not known how long they would have stayed.
type abandonment struct {
	abandonedShare    estimate.Mean // of the clients that left or got an answer from a backend
	timeToAbandonment estimate.Mean // until they left, in nanoseconds
}

func (a *abandonment) recordAnswered() { a.abandonedShare.Add(0, abandonmentSamples) }

func (a *abandonment) recordAbandoned(timeToAbandonment time.Duration) {
	a.abandonedShare.Add(1, abandonmentSamples)
	a.timeToAbandonment.Add(float64(timeToAbandonment), abandonmentSamples)
}

func (a *abandonment) decay() { a.abandonedShare.Value *= abandonmentDecayPerTick }

// expectsAbandonment reports whether so many of the plan's clients leave early that the next one likely does.
func (a *abandonment) expectsAbandonment() bool {
	return a.abandonedShare.Count >= minAbandonmentSamples && a.abandonedShare.Value > abandonmentThreshold
}

// answerDue returns when the request's answer is due: by the latency objective, and before the plan's clients
// likely leave, so that nothing is sent that cannot be answered in time.
func (r *Request) answerDue(now Instant) Instant {
	due := monotime.Earlier(now.Add(r.class.LatencyObjective), r.deadline)
	if r.plan.abandonment.expectsAbandonment() {
		timeToAbandonment := time.Duration(r.plan.abandonment.timeToAbandonment.Value)
		due = monotime.Earlier(due, now.Add(timeToAbandonment))
	}
	return due
}

// HandleClientGone reports that the client is gone and no longer waits for an answer.
func (r *Request) HandleClientGone(now Instant) {
	if r.finished {
		return
	}
	if now.Before(r.deadline.Add(-earlyAbandonmentMargin)) {
		r.plan.abandonment.recordAbandoned(now.Sub(r.submittedAt))
	}
	r.finish()
}
