package results

import (
	"math"

	"fawnplank/internal/lab/invariants"
	"fawnplank/internal/monotime"
)

// exactQuota compares the units that gateways forwarded for a tenant with those that one exact counter would have
// admitted of the same submissions. It has two token buckets that start full and refill at the plan's rate:
// forwarded units are drawn from sentTokens, and units admitted by the exact counter from exactTokens.
type exactQuota struct {
	sentTokens  float64
	exactTokens float64
	refilledAt  monotime.Instant
	sentUnits   float64 // units forwarded since the start of the run
	exactUnits  float64 // units that the exact counter has admitted since then
}

// drift returns how many units, rounded to whole ones, the tenant got beyond or below what the exact counter would
// have admitted.
func (q *exactQuota) drift() (over, under float64) {
	over = math.Max(math.Round(q.sentUnits-q.exactUnits), 0)
	under = math.Max(math.Round(q.exactUnits-q.sentUnits), 0)
	return over, under
}

// refilledQuota returns the quota of a submission's tenant, refilled up to the given time. It returns nil if the
// tenant's plan has no quota.
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

// applyExactQuota draws a submission's units from the exact counter's tokens if these suffice.
func (r *Recorder) applyExactQuota(submission invariants.Event) {
	quota := r.refilledQuota(submission.At, submission)
	if quota == nil || quota.exactTokens < submission.Units {
		return
	}
	quota.exactTokens -= submission.Units
	quota.exactUnits += submission.Units
	r.row.UnitsExact += submission.Units
}

// recordSentUnits records the units of a submission that an instance forwarded to a backend.
func (r *Recorder) recordSentUnits(at monotime.Instant, submission invariants.Event) {
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
