package policy

import (
	"time"

	"fawnplank/internal/monotime"
	"fawnplank/policy/internal/estimate"
)

const (
	// abandonmentSamples is how many clients of a plan the shares reach back over.
	abandonmentSamples = 20
	// abandonmentThreshold is the part of a plan's clients from which on answers are due before they leave.
	abandonmentThreshold = 0.3
	// abandonmentFadePerTick halves what is known in about seven seconds, so that a burst of clients who leave is
	// forgotten.
	abandonmentFadePerTick = 0.99
	// minTimeAbandoned is what has to be left before the deadline for a client to count as having left early.
	minTimeAbandoned = 10 * time.Millisecond
)

// abandonment is how many of a plan's clients leave before their deadline, and when.
type abandonment struct {
	share estimate.Mean // of the clients
	wait  estimate.Mean // in nanoseconds
}

func (a *abandonment) recordStayed() { a.share.Add(0, abandonmentSamples) }

func (a *abandonment) recordLeft(wait time.Duration) {
	a.share.Add(1, abandonmentSamples)
	a.wait.Add(float64(wait), abandonmentSamples)
}

func (a *abandonment) fade() { a.share.Value *= abandonmentFadePerTick }

// answerDue returns when the request's answer is due: by the latency objective, and before the plan's clients
// likely leave, so that nothing is sent that cannot be answered in time.
func (r *Request) answerDue(now Instant) Instant {
	due := monotime.Earlier(now.Add(r.class.LatencyObjective), r.deadline)
	if r.plan.abandonment.share.Value > abandonmentThreshold {
		wait := time.Duration(r.plan.abandonment.wait.Value)
		due = monotime.Earlier(due, now.Add(wait))
	}
	return due
}

// HandleClientGone reports that the client is gone and no longer waits for an answer.
func (r *Request) HandleClientGone(now Instant) {
	if r.finished {
		return
	}
	if now.Before(r.deadline.Add(-minTimeAbandoned)) {
		r.plan.abandonment.recordLeft(now.Sub(r.submittedAt))
	}
	r.finish()
}
