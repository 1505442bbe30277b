package policy

import (
	"fawnplank/internal/estimate"
	"fawnplank/internal/nanos"
	"fawnplank/internal/tokenbucket"
)

// tenant is what this instance knows of a tenant: of its quota, and of the limits that the instance enforces
// alone.
type tenant struct {
	id       TenantID
	plan     *plan
	window   quotaWindow
	inFlight int // attempts
	waiting  int // requests that wait for the counter

	unreported   float64 // units to be added by the next call: admitted without the counter, or counted and not sent
	ownUnits     float64 // units that this instance lately counted
	otherUnits   float64 // units that the others did
	tracksRefill bool    // its instances see enough of the count to reckon its refill together

	admittedShare estimate.Mean
	localUsage    tokenbucket.Usage  // units admitted here, less what the local share has refilled
	hardQuota     tokenbucket.Bucket // this instance's part of the hard quota
}

// quotaWindow is what is known of the count of a tenant's current window. The count is compared with what the
// rate has refilled since the window's start: the tenant has used total - refilled of its burst.
type quotaWindow struct {
	start            int64
	key              CounterKey
	total            float64 // as last reported, with the lost units
	counterTotal     float64 // as last reported
	lostUnits        float64 // that the count lacks: at least what the last window left used, until it is reconciled
	lostSince        int64   // since when the count lacks much; 0: it does not
	reconciled       float64 // units that were added to make up for lost ones, in all
	answers          int     // of the counter
	reportedInFlight int     // attempts of this instance that the count holds
}

// windowEnd returns when the tenant's current window ends.
func (t *tenant) windowEnd() int64 { return t.window.start + t.plan.window }

// refilled returns what the rate has given since a window's start.
func (t *tenant) refilled(now, windowStart int64) float64 {
	if !t.tracksRefill {
		return 0
	}
	return nanos.Accrued(t.plan.Rate, now-windowStart)
}

// hasStaleInFlight reports whether the window's count holds more attempts of this instance than are in
// flight. The concurrency limit is counted beside the units, in the same call; only the end of an attempt
// needs one of its own.
func (t *tenant) hasStaleInFlight(now int64) bool {
	return t.plan.concurrencyUnit > 0 && t.window.reportedInFlight > t.inFlight+t.waiting && now < t.windowEnd()
}
