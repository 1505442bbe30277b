package results

import (
	"time"

	"fawnplank/internal/lab/invariants"
	"fawnplank/internal/monotime"
	"fawnplank/policy"
)

// minLastAttemptDelay is recorded for a last attempt that arrived at the very time of the delivery, because a delay
// of 0 means that no attempt arrived.
const minLastAttemptDelay = time.Microsecond

// withdrawal is the removal of a backend as seen by one instance.
type withdrawal struct {
	deliveredAt      monotime.Instant // when the instance received the removal
	lastAttemptDelay time.Duration    // from deliveredAt to the arrival of the last attempt; 0: none arrived
}

func (r *Recorder) recordDelivery(event invariants.Event) {
	key := invariants.Route{Instance: event.Instance, Backend: event.Backend}
	r.endWithdrawal(key)
	if event.State == policy.EndpointGone {
		r.withdrawals[key] = &withdrawal{deliveredAt: event.At}
	}
}

// endWithdrawal adds a withdrawal to the results once the backend is listed again or the run is over.
func (r *Recorder) endWithdrawal(key invariants.Route) {
	w := r.withdrawals[key]
	if w == nil {
		return
	}
	delete(r.withdrawals, key)
	if r.run.Withdrawals == nil {
		r.run.Withdrawals = &Withdrawals{}
	}
	r.run.Withdrawals.Count++
	if w.lastAttemptDelay > 0 {
		r.run.Withdrawals.WithLateAttempt++
	}
	r.withdrawalTimes.record(w.lastAttemptDelay.Microseconds())
}

// summarizeWithdrawals sets the percentiles of the withdrawals if there were any.
func (r *Recorder) summarizeWithdrawals() {
	w := r.run.Withdrawals
	if w == nil {
		return
	}
	w.P50 = r.withdrawalTimes.millisAt(50)
	w.P99 = r.withdrawalTimes.millisAt(99)
	w.Max = r.withdrawalTimes.millisAt(100)
}
