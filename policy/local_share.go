package policy

// recordAdmittedShare notes what part of a request the count admitted.
func (t *tenant) recordAdmittedShare(share float64) {
	t.admittedShare.Add(share, 4) // few: tenants change in seconds
	t.plan.admittedShare.Add(share, 50)
}

// fallbackAdmits decides without the counter, by the class's fallback mode.
func (r *Request) fallbackAdmits(now int64) bool {
	e, mode := r.engine, r.class.FallbackMode
	if reached := r.concurrencyReached(); reached || mode != LocalShare {
		return mode == FailOpen && !reached
	}
	if quota := r.localQuota(now); r.tenant.localUsage.Units+r.units > quota+roundingTolerance {
		return false
	}
	// Where backends are pressed, what was counted goes first: what is not may be beyond the quota, and costs
	// its value even where nobody answers it. Six tenths: at a half big days lose, above a jam comes. Behind an
	// open breaker nothing is counted: there is nobody to go first.
	counted := e.settings.CounterEnabled && e.breaker.IsClosed()
	if counted && !r.class.CheckOnly && e.pickBackend(now, r, 0.6) == nil {
		return false
	}
	chance := r.admitChance()
	return chance >= 1 || e.random.Float64() < chance
}

// admitChance is how likely the local share admits a request that fits it. One at least an instance adds up
// past small quotas: a share of a fraction of one is granted as often as the counter admitted the tenant, or
// half way up from what it admitted of the plan: it rejects mostly few tenants far beyond it.
func (r *Request) admitChance() float64 {
	share := r.plan.quota * r.tenant.trafficShare(r.entryPoints) / r.units
	if share+roundingTolerance >= 1 || !r.engine.settings.CounterEnabled {
		return min(share+roundingTolerance, 1)
	}
	return r.tenant.admittedShare.Blend((1+r.plan.admittedShare.Blend(share, 1))/2, 1)
}

// localQuota returns the local share of a window, at least the request's units, and brings up to date what of
// it has been refilled. Few requests spread unevenly over many instances: a share of a fraction of one
// refills the quicker the less a unit beyond the quota costs, two and a half times at the full value.
func (r *Request) localQuota(now int64) float64 {
	share := r.tenant.trafficShare(r.entryPoints)
	rate, quota := r.plan.Rate*share, r.plan.quota*share
	if quota+roundingTolerance < r.units {
		rate *= max(2.5/max(r.plan.OverQuotaCost, 0.1), 1)
	}
	r.tenant.localUsage.Refill(now, rate)
	return max(quota, r.units)
}

// trafficShare is this instance's part of the tenant's traffic: an even one, or as the counter showed it.
func (t *tenant) trafficShare(entryPoints float64) float64 {
	const evenUnits = 20 // twice what ten answers of one unit show, so that chance does not pass for a share
	return (t.ownUnits + evenUnits/entryPoints) / (t.ownUnits + t.otherUnits + evenUnits)
}
