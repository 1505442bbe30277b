package policy

// recordAdmittedShare records which part of a request the counter admitted.
func (t *tenant) recordAdmittedShare(share float64) {
	t.admittedShare.Add(share, 4) // few samples: tenants change in seconds
	t.plan.admittedShare.Add(share, 50)
}

// fallbackAdmits decides without the counter, by the fallback mode of the class.
func (r *Request) fallbackAdmits(now int64) bool {
	e, mode := r.engine, r.class.FallbackMode
	if reached := r.concurrencyReached(); reached || mode != LocalShare {
		return mode == FailOpen && !reached
	}
	if quota := r.refillLocalUsage(now); r.tenant.localUsage.Units+r.units > quota+roundingTolerance {
		return false
	}
	// Where backends are busy, counted requests go first: an uncounted one may be beyond the quota, which
	// costs its value even if nobody answers it. 0.6: with 0.5 busy days lose value, above 0.6 overload comes.
	// Behind an open breaker nothing is counted, so nothing has to go first.
	counted := e.settings.CounterEnabled && e.breaker.IsClosed()
	if counted && !r.class.CheckOnly && e.pickBackend(now, r, 0.6) == nil {
		return false
	}
	chance := r.admitChance()
	return chance >= 1 || e.random.Float64() < chance
}

// admitChance returns how likely the local share admits a request that fits it. One request per instance
// would add up past small quotas: a share below one is granted as often as the counter admitted the tenant,
// or half way between what it admitted of the plan and all, as it rejects mostly few tenants far beyond it.
func (r *Request) admitChance() float64 {
	share := r.plan.quota * r.tenant.trafficShare(r.entryPoints) / r.units
	if share+roundingTolerance >= 1 || !r.engine.settings.CounterEnabled {
		return min(share+roundingTolerance, 1)
	}
	return r.tenant.admittedShare.Blend((1+r.plan.admittedShare.Blend(share, 1))/2, 1)
}

// refillLocalUsage refills the local usage and returns the share of a window, at least the request's units.
// Few requests spread unevenly over many instances: a share below one request refills the faster the less a
// unit beyond the quota costs, 2.5 times as fast where it costs the full value.
func (r *Request) refillLocalUsage(now int64) float64 {
	share := r.tenant.trafficShare(r.entryPoints)
	rate, quota := r.plan.Rate*share, r.plan.quota*share
	if quota+roundingTolerance < r.units {
		rate *= max(2.5/max(r.plan.OverQuotaCost, 0.1), 1)
	}
	r.tenant.localUsage.Refill(now, rate)
	return max(quota, r.units)
}

// trafficShare returns this instance's part of the tenant's traffic: even, then as the counter shows it.
func (t *tenant) trafficShare(entryPoints float64) float64 {
	const evenUnits = 20 // twice what ten answers of one unit show, so that chance does not pass for a share
	return (t.ownUnits + evenUnits/entryPoints) / (t.ownUnits + t.otherUnits + evenUnits)
}
