package results

import (
	"math"

	"fawnplank/internal/lab/invariants"
	"fawnplank/internal/monotime"
)

// exactQuota compares a tenant's use with that of one exact counter. It has two token buckets, which start full
// and refill at the plan's rate: sentTokens pays for the units that gateways sent on, exactTokens for those that
// the exact counter would have admitted of the same submissions.
type exactQuota struct {
	sentTokens  float64
	exactTokens float64
	refilledAt  monotime.Instant
	sentUnits   float64 // since the start
	exactUnits  float64
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
func (r *Recorder) refilledQuota(at monotime.Instant, submission invariants.Event) *exactQuota {
	plan := r.scenario.Plans[submission.Plan]
	if plan.Rate <= 0 {
		return nil
	}
	quota := r.quotas[submission.Tenant]
	if quota == nil {
		quota = &exactQuota{sentTokens: plan.Burst, exactTokens: plan.Burst, refilledAt: at}
		r.quotas[submission.Tenant] = quota
	}
	refill := monotime.Seconds(at.Sub(quota.refilledAt)) * plan.Rate
	quota.sentTokens = min(quota.sentTokens+refill, plan.Burst)
	quota.exactTokens = min(quota.exactTokens+refill, plan.Burst)
	quota.refilledAt = at
	return quota
}

// admitExact makes the exact counter decide on a submission.
func (r *Recorder) admitExact(submission invariants.Event) {
	quota := r.refilledQuota(submission.At, submission)
	if quota == nil || quota.exactTokens < submission.Units {
		return
	}
	quota.exactTokens -= submission.Units
	quota.exactUnits += submission.Units
	r.row.UnitsExact += submission.Units
}

// drawExact draws the units of a submission that an instance sent on.
func (r *Recorder) drawExact(at monotime.Instant, submission invariants.Event) {
	quota := r.refilledQuota(at, submission)
	if quota == nil {
		return
	}
	quota.sentUnits += submission.Units
	if quota.sentTokens >= submission.Units {
		quota.sentTokens -= submission.Units
		r.row.UnitsWithinQuota += submission.Units
	} else {
		r.row.UnitsOverQuota += submission.Units
	}
}
