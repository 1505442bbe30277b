package results

import (
	"math"

	"fawnplank/internal/lab/invariants"
)

// exactQuota compares a tenant's use with that of one exact counter. It has two token buckets, which start full
// and refill at the plan's rate: sentTokens pays for the units that gateways sent on, exactTokens for those that
// the exact counter would have admitted of the same submissions.
type exactQuota struct {
	sentTokens      float64
	exactTokens     float64
	refilledAtNanos int64
	sentUnits       float64 // since the start
	exactUnits      float64
}

// drift returns by how many whole units the tenant had more, or less, than the exact counter would have
// admitted.
func (q *exactQuota) drift() (over, under float64) {
	over = math.Max(math.Round(q.sentUnits-q.exactUnits), 0)
	under = math.Max(math.Round(q.exactUnits-q.sentUnits), 0)
	return over, under
}

// refilledQuota returns the quota of a submission's tenant refilled up to a time, or nil if its plan has
// none.
func (r *Recorder) refilledQuota(atNanos int64, submission invariants.Event) *exactQuota {
	plan := r.scenario.Plans[submission.Plan]
	if plan.Rate <= 0 {
		return nil
	}
	quota := r.quotas[submission.Tenant]
	if quota == nil {
		quota = &exactQuota{sentTokens: plan.Burst, exactTokens: plan.Burst, refilledAtNanos: atNanos}
		r.quotas[submission.Tenant] = quota
	}
	refill := float64(atNanos-quota.refilledAtNanos) / 1e9 * plan.Rate
	quota.sentTokens = min(quota.sentTokens+refill, plan.Burst)
	quota.exactTokens = min(quota.exactTokens+refill, plan.Burst)
	quota.refilledAtNanos = atNanos
	return quota
}

// admitExact makes the exact counter decide on a submission.
func (r *Recorder) admitExact(submission invariants.Event) {
	quota := r.refilledQuota(submission.AtNanos, submission)
	if quota == nil || quota.exactTokens < submission.Units {
		return
	}
	quota.exactTokens -= submission.Units
	quota.exactUnits += submission.Units
	r.row.UnitsExact += submission.Units
}

// drawExact draws the units of a submission that an instance sent on.
func (r *Recorder) drawExact(atNanos int64, submission invariants.Event) {
	quota := r.refilledQuota(atNanos, submission)
	if quota == nil {
		return
	}
	quota.sentUnits += submission.Units
	if quota.sentTokens >= submission.Units {
		quota.sentTokens -= submission.Units
		r.row.UnitsInside += submission.Units
	} else {
		r.row.UnitsOver += submission.Units
	}
}
