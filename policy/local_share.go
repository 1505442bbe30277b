package policy

import "fawnplank/policy/internal/tokenbucket"

const (
	// tenantAdmittedSamples and planAdmittedSamples are how many answers of the counter the admitted shares
	// reach back over. A tenant's is short, since tenants change in seconds.
	tenantAdmittedSamples = 4
	planAdmittedSamples   = 50
	// uncountedBudgetFactor is the latency budget of requests that no call counts, while others are counted: it
	// leaves busy backends to the counted ones.
	uncountedBudgetFactor budgetFactor = 0.6
	// smallShareRefillFactor is how much faster a share below one request refills where a unit beyond the quota costs
	// as much as one within it earns.
	smallShareRefillFactor = 2.5
	// minOverQuotaCost bounds the refill of shares below one request from above.
	minOverQuotaCost = 0.1
	// trafficDecayFactor is the weight that earlier units keep at each answer: they reach back over about ten.
	trafficDecayFactor = 0.9
	// evenSplitWeight is the weight, in units, of an even split of the traffic: twice what ten answers of one
	// unit show, so that chance does not pass for a share.
	evenSplitWeight = 20
)

// localShareAdmits decides by this instance's share of the quota, as far as it is not used up, and by the
// capacity that requests without a count leave to the others. One request per instance would add up past small
// quotas, so a share below one request admits by chance.
func (r *Request) localShareAdmits(now Instant) bool {
	r.refillLocalUsage(now)
	shareUnits := max(r.localShareUnits(), r.units)
	if r.tenant.localUsage.Units+r.units > shareUnits+roundingTolerance {
		return false
	}
	if r.mustLeaveCapacity(now) {
		return false
	}
	probability := r.localAdmissionProbability()
	return probability >= 1 || r.engine.random.Float64() < probability
}

// mustLeaveCapacity reports whether the request has to leave the backends' capacity to requests that are
// counted: an uncounted one may be beyond the quota, which costs its value even if nobody answers it.
// Behind an open breaker nothing is counted, so nothing has to go first.
func (r *Request) mustLeaveCapacity(now Instant) bool {
	e := r.engine
	countsOthers := e.settings.CounterEnabled && e.breaker.IsClosed()
	return countsOthers && !r.class.CheckOnly && e.pickBackend(now, r, uncountedBudgetFactor) == nil
}

// localAdmissionProbability returns how likely the local share admits a request that fits it. A share below one request
// admits as often as the counter admitted the tenant, or half way between what it admitted of the plan and
// all, as it rejects mostly few tenants far beyond it.
//
// Inputs: the quota and the request's size in units, this instance's share of the traffic. Result: 0 to 1.
func (r *Request) localAdmissionProbability() float64 {
	shareRequests := r.localShareUnits() / r.units
	if shareRequests+roundingTolerance >= 1 || !r.engine.settings.CounterEnabled {
		return min(shareRequests+roundingTolerance, 1)
	}
	planProbability := (1 + r.plan.admittedFraction.Blend(shareRequests, 1)) / 2
	return r.tenant.admittedFraction.Blend(planProbability, 1)
}

// recordAdmittedFraction records which part of a request the counter admitted.
func (t *tenant) recordAdmittedFraction(fraction float64) {
	t.admittedFraction.Add(fraction, tenantAdmittedSamples)
	t.plan.admittedFraction.Add(fraction, planAdmittedSamples)
}

// localShareUnits returns this instance's share of a window's quota, in units.
func (r *Request) localShareUnits() float64 {
	return r.plan.quota * r.tenant.traffic.share(r.entryPoints)
}

// refillLocalUsage refills the local usage at this instance's share of the rate. Few requests spread unevenly over
// many instances: a share below one request refills the faster the less a unit beyond the quota costs.
func (r *Request) refillLocalUsage(now Instant) {
	rate := r.plan.Rate * r.tenant.traffic.share(r.entryPoints)
	if r.localShareUnits()+roundingTolerance < r.units {
		rate *= max(smallShareRefillFactor/max(r.plan.OverQuotaCost, minOverQuotaCost), 1)
	}
	r.tenant.localUsage.Refill(now, rate)
}

// estimateUnrefilledUnits estimates, from this instance's usage, how many of the units that the tenant has used at all
// instances are not refilled at an instant.
func (t *tenant) estimateUnrefilledUnits(at Instant, entryPoints float64) float64 {
	tenantTraffic := tokenbucket.TotalTraffic{MeasuredShare: t.traffic.share(entryPoints), Rate: t.plan.Rate}
	return t.localUsage.Extrapolate(tenantTraffic, at)
}

// traffic is what the counter's totals showed lately of a tenant's traffic, in units.
type traffic struct {
	ownUnits   float64 // counted by this instance
	otherUnits float64 // counted by the other instances
}

// share returns this instance's part of the tenant's traffic: even, then as the counter shows it.
func (t *traffic) share(entryPoints float64) float64 {
	return (t.ownUnits + evenSplitWeight/entryPoints) / (t.ownUnits + t.otherUnits + evenSplitWeight)
}

// removeOwnUnits takes back units that were counted for a request that was not admitted.
func (t *traffic) removeOwnUnits(units float64) { t.ownUnits = max(t.ownUnits-units, 0) }

// observeTraffic updates the traffic by a total of the current window. before is the total without what the
// call added.
//
// From the first to the last answer of a window come n-1 of n in (n-1)/(n+1) of its time, so an instance with
// few answers overrates its part by half. That is kept where a unit beyond the quota costs at most half of one
// within: admitting too little costs all.
func (t *tenant) observeTraffic(totalBefore, addedUnits float64) {
	answers := float64(t.window.answerCount)
	correctionWeight := min(max(2*t.plan.OverQuotaCost-1, 0), 1)
	t.traffic.ownUnits = trafficDecayFactor*t.traffic.ownUnits + addedUnits*(1-correctionWeight*2/(answers*(answers+1)))
	t.traffic.otherUnits = trafficDecayFactor*t.traffic.otherUnits + max(totalBefore-t.window.counterTotal, 0)
}
