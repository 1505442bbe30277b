package policy

import "time"

// Delivery is how far the command of an attempt has come to its backend.
type Delivery struct {
	Attempt AttemptID
	// Fraction is the part of the command that the backend's machine has received, from 0 to 1. Below 1 the attempt has
	// certainly not run: the caller holds back the end of the command.
	Fraction float64
}

// HandleDelivery handles the progress of a command that is long on its way to its backend. The attempt timeout counts
// from the last progress: an attempt whose backend still reads the command, or has just received its end, is not
// stalled. HandleDelivery returns when the attempt now expires, as in AttemptSpec.ExpiresAt.
func (r *Request) HandleDelivery(now Instant, delivery Delivery) (expiresAt Instant) {
	if int(delivery.Attempt) >= len(r.attempts) || !r.attempts[delivery.Attempt].inFlight {
		return Instant{}
	}
	a := r.attempts[delivery.Attempt]
	a.waitingSince = now
	a.deliveredFraction = delivery.Fraction
	return r.attemptExpiry(now, a.timeout)
}

// handleLateDelivery is called at the timeout of an attempt whose command made progress after it was sent. It looks
// at the attempt again when there has been no progress for its timeout. A command that will arrive too late is sent
// to another backend instead, if there is time for that. It is replaced once at most: a second backend that reads as
// slowly shows that the command's size or the network is the cause.
func (r *Request) handleLateDelivery(now Instant, id AttemptID) {
	a := r.attempts[id]
	if len(r.attempts) == 1 && !r.finished && !r.deliveredInTime(now, a) && r.hasTimeForRetry(now) {
		r.replaceStalled(now, id)
	}
	r.engine.schedule(a.waitingSince.Add(a.timeout), &a.inFlight, func(now Instant) { r.handleOverdue(now, id) })
}

// deliveredInTime reports whether the rest of the command is likely to arrive while an answer still has value.
func (r *Request) deliveredInTime(now Instant, a *attempt) bool {
	latest := r.answerDueAt
	if r.class.LateValue > 0 {
		latest = r.deadline
	}
	elapsed := float64(now.Sub(a.sentAt))
	return elapsed < a.deliveredFraction*float64(latest.Sub(a.sentAt))
}

// hasTimeForRetry reports whether a backend with the mean latency could still answer in time.
func (r *Request) hasTimeForRetry(now Instant) bool {
	return r.engine.latency.mean.Value <= r.engine.latencyBudget(now, r, fullBudget)
}

// timeoutPassed reports whether an attempt has been without progress for its timeout.
func (a *attempt) timeoutPassed(now Instant) bool { return !now.Before(a.waitingSince.Add(a.timeout)) }

// waitingFor returns how long the attempt has been without progress.
func (a *attempt) waitingFor(now Instant) time.Duration { return now.Sub(a.waitingSince) }
