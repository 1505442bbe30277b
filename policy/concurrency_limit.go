package policy

import "time"

// busyTenantFactor raises the estimate of the attempts in flight elsewhere above what the rate keeps there on
// average, since tenants near their limit are the busy ones.
const busyTenantFactor = 2

// atConcurrencyLimit reports whether the tenant has its limit of attempts in flight, as far as this instance
// knows before it calls the counter. Where a plan has a rate, the counter's total adds what is in flight at
// other instances (counter_call.go).
func (r *Request) atConcurrencyLimit() bool {
	limit := r.plan.ConcurrencyLimit
	if limit <= 0 {
		return false
	}
	return r.tenant.inFlight >= limit || r.plan.Rate <= 0 && r.estimatedAtConcurrencyLimit()
}

// estimatedAtConcurrencyLimit estimates, without the counter, whether the tenant has its limit of attempts in flight
// over all instances. A tenant with nothing in flight here always may send one.
func (r *Request) estimatedAtConcurrencyLimit() bool {
	limit := float64(r.plan.ConcurrencyLimit)
	inFlight := float64(r.tenant.inFlight)
	return limit > 0 && inFlight > 0 && inFlight+r.estimateInFlightElsewhere() >= limit
}

// estimateInFlightElsewhere estimates the tenant's attempts in flight at other instances: busyTenantFactor times what
// its rate keeps there. Without a rate, or for a request of no units, half the limit is taken as in use.
//
// Inputs: this instance's share of the traffic, the rate in units a second, the usual latency.
func (r *Request) estimateInFlightElsewhere() float64 {
	otherShare := 1 - r.tenant.traffic.share(r.entryPoints)
	if r.plan.Rate <= 0 || r.units <= 0 {
		return otherShare * float64(r.plan.ConcurrencyLimit) / 2
	}
	return busyTenantFactor * otherShare * r.plan.Rate / r.units * r.engine.latency.mean.Value / float64(time.Second)
}
