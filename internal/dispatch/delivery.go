package dispatch

import "fawnplank/policy"

// deliveryComplete is the fraction of a command that has been delivered completely.
const deliveryComplete = 1

// BeginDelivery states that the attempt's command may be long on its way to the backend. The caller, which writes the
// command, holds back its end until CompleteDelivery has allowed it to be written. Until then the attempt has certainly
// not run, and it is canceled when its request ends, whether or not the settings allow attempts to be canceled.
func (a *Attempt) BeginDelivery() {
	d := a.request.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	a.delivering = true
	a.deliveryBegunAt = d.now()
	a.progressAt = a.deliveryBegunAt
}

// ReportDelivery states which fraction of the command, below 1, the backend's machine has received. The time after
// which the attempt counts as stalled starts anew.
func (a *Attempt) ReportDelivery(fraction float64) {
	a.request.dispatcher.callEngine(func(now policy.Instant) {
		if a.state.load() == attemptStarted && a.delivering {
			a.handleDelivery(now, fraction)
		}
	})
}

// CompleteDelivery reports whether the end of the command may be written, after which the attempt may run. It may not
// if the attempt was given up. The attempt is given up if its start deadline has passed: the backends may no longer
// know the idempotency key of an earlier attempt. The caller then reports a NetworkError whose progress is below
// Written.
func (a *Attempt) CompleteDelivery() (allowed bool) {
	a.request.dispatcher.callEngine(func(now policy.Instant) {
		if a.state.load() == attemptStarted && !now.Before(a.startDeadline) {
			a.cancel(policy.Canceled)
		}
		switch a.state.load() {
		case attemptStarted:
			a.delivering = false
			a.handleDelivery(now, deliveryComplete)
			allowed = true
		case attemptSettled: // a response has arrived before the command was written
			allowed = true
		default:
		}
	})
	return allowed
}

// handleDelivery passes the progress of the command to the engine. The caller holds the dispatcher's lock.
func (a *Attempt) handleDelivery(now policy.Instant, fraction float64) {
	a.progressAt = now
	r := a.request
	expiresAt := r.engineRequest.HandleDelivery(now, policy.Delivery{Attempt: a.id, Fraction: fraction})
	r.dispatcher.moveResultDeadline(a, r.resultDeadline(expiresAt))
}

// cancelUnfinished cancels the attempts whose command is not completely written. The end of a command that is on its
// way to a backend is then never written, so it does not run after the final answer.
func (r *Request) cancelUnfinished() {
	for _, attempt := range r.attempts {
		if attempt.delivering && attempt.state.load() == attemptStarted {
			attempt.cancel(policy.Canceled)
		}
	}
}
