package results

import (
	"time"

	"fawnplank/internal/lab/invariants"
	"fawnplank/internal/monotime"
	"fawnplank/policy"
)

// minWithdrawal distinguishes a last attempt that arrived at the time of the delivery from no attempt, which
// is 0.
const minWithdrawal = time.Microsecond

// withdrawal is when a backend was delivered as gone, and how long after that the last attempt came.
type withdrawal struct {
	deliveredAt monotime.Instant
	lastAttempt time.Duration // after that; 0: none came
}

func (r *Recorder) recordDelivery(event invariants.Event) {
	key := invariants.Route{Instance: event.Instance, Backend: event.Backend}
	r.settleWithdrawal(key)
	if event.State == policy.EndpointGone {
		r.withdrawals[key] = &withdrawal{deliveredAt: event.At}
	}
}

// settleWithdrawal records how a withdrawal ended, once the backend is back or the run is over.
func (r *Recorder) settleWithdrawal(key invariants.Route) {
	w := r.withdrawals[key]
	if w == nil {
		return
	}
	delete(r.withdrawals, key)
	if r.run.Withdrawals == nil {
		r.run.Withdrawals = &Withdrawals{}
	}
	r.run.Withdrawals.Count++
	if w.lastAttempt > 0 {
		r.run.Withdrawals.WithLateAttempt++
	}
	r.withdrawalTimes.record(w.lastAttempt.Microseconds())
}

// finishWithdrawals reads the percentiles of the withdrawals, if there were any.
func (r *Recorder) finishWithdrawals() {
	w := r.run.Withdrawals
	if w == nil {
		return
	}
	w.P50 = r.withdrawalTimes.millisAt(50)
	w.P99 = r.withdrawalTimes.millisAt(99)
	w.Max = r.withdrawalTimes.millisAt(100)
}
