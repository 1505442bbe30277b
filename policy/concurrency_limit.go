package policy

import "time"

// busyTenantFactor raises the estimate of the attempts in flight at other instances above the average that the
// rate allows, since tenants near their limit are busier than average.
const busyTenantFactor = 2

// atConcurrencyLimit reports whether the tenant has as many attempts in flight as its limit allows, from what
// this instance can tell without calling the counter. If the plan has a rate, the total from the counter also
// includes the attempts in flight at other instances (counter_call.go).
func (r *Request) atConcurrencyLimit() bool {
	limit := r.plan.ConcurrencyLimit
	if limit <= 0 {
		return false
	}
	return r.tenant.inFlight >= limit || r.plan.Rate <= 0 && r.estimatedAtConcurrencyLimit()
}

// estimatedAtConcurrencyLimit estimates, without the counter, whether the tenant has as many attempts in flight
// over all instances as its limit allows. It is false if the tenant has no attempt in flight at this instance.
func (r *Request) estimatedAtConcurrencyLimit() bool {
	limit := float64(r.plan.ConcurrencyLimit)
	inFlight := float64(r.tenant.inFlight)
	return limit > 0 && inFlight > 0 && inFlight+r.estimateInFlightElsewhere() >= limit
}

// estimateInFlightElsewhere estimates the tenant's attempts in flight at other instances: busyTenantFactor times
// the average that results from their part of the rate. For a plan without a rate, or a request of no units,
// their part of half the limit is assumed to be in use.
//
// Inputs: this instance's share of the traffic, the rate in units a second, the mean latency.
func (r *Request) estimateInFlightElsewhere() float64 {
	otherShare := 1 - r.tenant.traffic.share(r.entryPoints)
	if r.plan.Rate <= 0 || r.units <= 0 {
		return otherShare * float64(r.plan.ConcurrencyLimit) / 2
	}
	return busyTenantFactor * otherShare * r.plan.Rate / r.units * r.engine.latency.mean.Value / float64(time.Second)
}
