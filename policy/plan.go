package policy

import (
	"math"
	"time"

	"fawnplank/internal/monotime"
	"fawnplank/policy/internal/estimate"
)

const (
	// minWindowSeconds keeps plans whose burst refills almost at once from rolling over continuously.
	minWindowSeconds = 0.01
	// maxWindowSeconds keeps the lifetime of a window's count, and of the next window's, within maxCountLifetime
	// or close to it.
	maxWindowSeconds = 50
	// attemptWeightQuotas is the least weight of an attempt in flight in a count, in quotas of a window. It
	// keeps the units in the same count from being read as attempts.
	attemptWeightQuotas = 64
	// maxAttemptWeightTotal bounds the total weight of a tenant's attempts in flight in a count, in units. The
	// counter accepts at most 1e9 units.
	maxAttemptWeightTotal = 1e8
)

// plan is a row of the plan table.
type plan struct {
	PlanSettings
	window           time.Duration // time in which the rate refills one burst; 0: the plan has no rate
	quota            float64       // units per window
	attemptWeight    float64       // units that an attempt in flight adds to the count; 0: attempts are not counted
	admittedFraction estimate.Mean // recent mean of the fraction of a request that the counter admitted
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

// attemptWeight returns the units that an attempt in flight adds to its tenant's count: a power of two far above
// the units of any window, so that the sum of both is exact. It returns 0 if there is no limit, or if the
// attempts of the limit together would exceed maxAttemptWeightTotal.
//
// Inputs: the window's quota in units, the limit in attempts. Result: units.
func attemptWeight(quota float64, limit int) float64 {
	weight := math.Exp2(math.Ceil(math.Log2(attemptWeightQuotas * max(quota, 1))))
	if limit <= 0 || weight*float64(limit) > maxAttemptWeightTotal {
		return 0
	}
	return weight
}
