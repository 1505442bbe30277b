package policy

import (
	"math"
	"time"

	"fawnplank/internal/monotime"
	"fawnplank/policy/internal/estimate"
)

const (
	// minWindowSeconds keeps plans whose burst refills at once from rolling over all the time.
	minWindowSeconds = 0.01
	// maxWindowSeconds keeps a window's count, and the next window's, within maxCountLifetime or close to it.
	maxWindowSeconds = 50
	// attemptWeightQuotas is how many windows' quotas an attempt in flight outweighs in a count, so that the
	// units counted beside it are not taken for attempts.
	attemptWeightQuotas = 64
	// maxAttemptWeightTotal bounds what a tenant's attempts in flight add to a count, in units; the counter
	// takes 1e9 at most.
	maxAttemptWeightTotal = 1e8
)

// plan is a row of the table of plans.
type plan struct {
	PlanSettings
	window           time.Duration // the time in which the rate fills one burst; 0: the plan has no rate
	quota            float64       // units a window
	attemptWeight    float64       // units that an attempt in flight adds to the count; 0: none are counted
	admittedFraction estimate.Mean // part of a request that the counter lately admitted
	abandonment      abandonment
}

func newPlan(settings PlanSettings) *plan {
	p := &plan{PlanSettings: settings}
	if p.Rate > 0 {
		p.window = monotime.DurationFromSeconds(min(max(p.Burst/p.Rate, minWindowSeconds), maxWindowSeconds))
		p.quota = monotime.Accrued(p.Rate, p.window)
		p.attemptWeight = attemptWeight(p.quota, p.ConcurrencyLimit)
	}
	return p
}

// attemptWeight returns what an attempt in flight adds to its tenant's count: a power of two far above any
// window's units, which stays exact when it is added to them. It returns 0 without a limit, and where the
// limit's attempts together would exceed maxAttemptWeightTotal.
//
// Inputs: the window's quota in units, the limit in attempts. Result: units.
func attemptWeight(quota float64, limit int) float64 {
	weight := math.Exp2(math.Ceil(math.Log2(attemptWeightQuotas * max(quota, 1))))
	if limit <= 0 || weight*float64(limit) > maxAttemptWeightTotal {
		return 0
	}
	return weight
}
