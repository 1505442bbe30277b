package results

import (
	"math"

	"fawnplank/internal/lab/invariants"
)

// exactQuota is a tenant's token bucket as one exact counter would keep it. It starts full and refills at the
// plan's rate. Units that the gateways sent on are drawn from tokens. Units that the exact counter would have
// admitted of the same submissions, which need not be the same ones, are drawn from exactTokens.
type exactQuota struct {
	tokens          float64
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
		quota = &exactQuota{tokens: plan.Burst, exactTokens: plan.Burst, refilledAtNanos: atNanos}
		r.quotas[submission.Tenant] = quota
	}
	refill := float64(atNanos-quota.refilledAtNanos) / 1e9 * plan.Rate
	quota.tokens = min(quota.tokens+refill, plan.Burst)
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
	if quota.tokens >= submission.Units {
		quota.tokens -= submission.Units
		r.row.UnitsInside += submission.Units
	} else {
		r.row.UnitsOver += submission.Units
	}
}
