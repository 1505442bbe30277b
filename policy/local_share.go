package policy

import "fawnplank/policy/internal/tokenbucket"

const (
	// tenantAdmittedSamples and planAdmittedSamples are the numbers of recent samples that the admitted
	// fractions of a tenant and a plan average. It is small for a tenant, since its load changes within seconds.
	tenantAdmittedSamples = 4
	planAdmittedSamples   = 50
	// uncountedBudgetFactor scales the latency budget of uncounted requests while other requests are counted. It
	// leaves busy backends to the counted requests.
	uncountedBudgetFactor budgetFactor = 0.6
	// smallShareRefillFactor is the factor by which the refill of a share of less than one request is raised if
	// a unit beyond the quota costs as much as a unit within it earns.
	smallShareRefillFactor = 2.5
	// minOverQuotaCost is the lowest cost that smallShareRefillFactor is divided by, which bounds the refill.
	minOverQuotaCost = 0.1
	// trafficDecayFactor is the factor by which each answer reduces the weight of earlier units, so that the
	// traffic averages about ten answers.
	trafficDecayFactor = 0.9
	// evenSplitWeight is the weight, in units, of the prior assumption that the traffic is evenly split. It is
	// twice the units of ten answers of one unit each, so that random variation is not taken for an uneven
	// split.
	evenSplitWeight = 20
)

// localShareAdmits decides a request by the unused part of this instance's share of the quota, and by the
// backend capacity that uncounted requests leave to the others. If the share is less than one request, a request
// is admitted at random: a minimum of one request for each instance would exceed small quotas.
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

// mustLeaveCapacity reports whether the request has to leave the capacity of the backends to requests that are
// counted: an uncounted request may be beyond the quota, and then incurs the plan's OverQuotaCost even if no
// backend answers it. While the breaker is not closed no requests are counted, and none takes precedence.
func (r *Request) mustLeaveCapacity(now Instant) bool {
	e := r.engine
	countsOthers := e.settings.CounterEnabled && e.breaker.IsClosed()
	return countsOthers && !r.class.CheckOnly && e.pickBackend(now, r, uncountedBudgetFactor) == nil
}

// localAdmissionProbability returns the probability with which the local share admits a request that fits into
// it. Without a counter, it is the share in requests, and at most 1. With a counter and a share of less than one
// request, it is the fraction of a request that the counter recently admitted for the tenant. Few samples are
// blended with the mean of 1 and the plan's fraction, since most rejections of a plan concern a few tenants far
// beyond their quota.
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

// recordAdmittedFraction records the fraction of a request that the counter admitted.
func (t *tenant) recordAdmittedFraction(fraction float64) {
	t.admittedFraction.Add(fraction, tenantAdmittedSamples)
	t.plan.admittedFraction.Add(fraction, planAdmittedSamples)
}

// localShareUnits returns this instance's share of a window's quota, in units.
func (r *Request) localShareUnits() float64 {
	return r.plan.quota * r.tenant.traffic.share(r.entryPoints)
}

// refillLocalUsage refills the local usage at this instance's share of the rate. A share of less than one
// request refills faster, because few requests are spread unevenly over many instances. The lower the cost of a
// unit beyond the quota, the faster it refills.
func (r *Request) refillLocalUsage(now Instant) {
	rate := r.plan.Rate * r.tenant.traffic.share(r.entryPoints)
	if r.localShareUnits()+roundingTolerance < r.units {
		rate *= max(smallShareRefillFactor/max(r.plan.OverQuotaCost, minOverQuotaCost), 1)
	}
	r.tenant.localUsage.Refill(now, rate)
}

// estimateUnrefilledUnits estimates, from this instance's usage, how many of the units that the tenant has used
// at all instances are not refilled at an instant.
func (t *tenant) estimateUnrefilledUnits(at Instant, entryPoints float64) float64 {
	tenantTraffic := tokenbucket.TotalTraffic{MeasuredShare: t.traffic.share(entryPoints), Rate: t.plan.Rate}
	return t.localUsage.Extrapolate(tenantTraffic, at)
}

// traffic is a tenant's recent traffic in units, as observed from the counter's totals.
type traffic struct {
	ownUnits   float64 // counted by this instance
	otherUnits float64 // counted by the other instances
}

// share returns this instance's share of the tenant's traffic: an even share at first, and increasingly the
// observed one.
func (t *traffic) share(entryPoints float64) float64 {
	return (t.ownUnits + evenSplitWeight/entryPoints) / (t.ownUnits + t.otherUnits + evenSplitWeight)
}

// removeOwnUnits removes units that were counted for a request that was not admitted.
func (t *traffic) removeOwnUnits(units float64) { t.ownUnits = max(t.ownUnits-units, 0) }

// observeTraffic updates the traffic from a total of the current window. totalBefore is the total without the
// units that the call added.
//
// With n answers in a window, the instance observes n-1 of its own n calls, but the traffic of the others only
// between the first and the last answer, for (n-1)/(n+1) of the window on average. With two answers it
// overestimates its traffic in relation to the others' by half. The overestimate is fully corrected where a unit
// beyond the quota costs as much as a unit within it earns. It is kept where the unit costs at most half of
// that, since rejecting a request within the quota loses its whole value.
func (t *tenant) observeTraffic(totalBefore, addedUnits float64) {
	answers := float64(t.window.answerCount)
	correctionWeight := min(max(2*t.plan.OverQuotaCost-1, 0), 1)
	t.traffic.ownUnits = trafficDecayFactor*t.traffic.ownUnits + addedUnits*(1-correctionWeight*2/(answers*(answers+1)))
	t.traffic.otherUnits = trafficDecayFactor*t.traffic.otherUnits + max(totalBefore-t.window.counterTotal, 0)
}
