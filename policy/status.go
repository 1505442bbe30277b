package policy

import "fawnplank/internal/monotime"

// QuotaStatus is this instance's current view of a tenant's quota.
type QuotaStatus struct {
	Limit       float64 // units of a full quota; 0: the plan has no quota
	Rate        float64 // refill in units per second
	Used        float64 // units used and not refilled yet, with the refill computed up to now
	FromCounter bool    // Used is based on a total of the counter in this window; otherwise on the local share
	// HardQuotaLeft is the number of units left in this instance's part of the hard quota. For a tenant without state at
	// this instance it is the whole part. It is -1 if the plan has no hard quota.
	HardQuotaLeft float64
}

// QuotaQuery selects the quota of a tenant under a plan. EntryPoints is the number of instances through which the
// tenant's requests come in.
type QuotaQuery struct {
	Tenant      TenantID
	Plan        PlanID
	EntryPoints int
}

// QuotaStatus returns the current status of a tenant's quota without counting anything. ok is false if the plan is not
// in the settings.
func (e *Engine) QuotaStatus(now Instant, query QuotaQuery) (_ QuotaStatus, ok bool) {
	if int(query.Plan) >= len(e.plans) {
		return QuotaStatus{}, false
	}
	p := e.plans[query.Plan]
	entryPoints := float64(max(query.EntryPoints, 1))
	status := QuotaStatus{Limit: p.quota, Rate: p.Rate, HardQuotaLeft: -1}
	if p.HardQuotaRate > 0 {
		status.HardQuotaLeft = p.HardQuotaBurst / entryPoints
	}
	t := e.tenants[query.Tenant]
	if t == nil || t.plan != p {
		return status, true
	}
	if p.HardQuotaRate > 0 {
		refill := monotime.Seconds(now.Sub(t.hardQuotaBucket.UpdatedAt)) * p.HardQuotaRate / entryPoints
		status.HardQuotaLeft = min(t.hardQuotaBucket.Units+refill, status.HardQuotaLeft)
	}
	if !e.breaker.IsClosed() || t.window.counterTotal == 0 && t.window.total == 0 {
		status.Used = t.estimateUnrefilledUnits(now, entryPoints)
	} else {
		status.Used = max(t.window.total+t.unreportedUnits-monotime.Accrued(p.Rate, now.Sub(t.window.start)), 0)
		status.FromCounter = t.window.counterTotal > 0
	}
	return status, true
}

// BreakerOpen reports whether the circuit breaker of the counter is not closed, so that calls are stopped.
func (e *Engine) BreakerOpen() bool { return !e.breaker.IsClosed() }

// CounterStats are statistics on failures of the counter and on the resulting drift, as observed by this instance.
type CounterStats struct {
	BreakerOpen     bool    // the circuit breaker stops calls
	CallShare       float64 // share of requests that call the counter while the breaker is closed
	UnreportedUnits float64 // units admitted but not reported to the counter yet, of all tenants
	LostUnits       float64 // units known to be missing from the counts, of all tenants
	ReconciledUnits float64 // units by which this instance corrected the counts of the current windows, of all tenants
	DriftUnits      float64 // units by which admissions may differ from one shared count: unreported and lost
	Tenants         int     // number of tenants that the engine keeps state for
}

// CounterStats returns the current statistics of the counter.
func (e *Engine) CounterStats() CounterStats {
	stats := CounterStats{BreakerOpen: e.BreakerOpen(), CallShare: e.breaker.callShare, Tenants: len(e.tenants)}
	for _, t := range e.tenants {
		stats.UnreportedUnits += max(t.unreportedUnits, 0)
		stats.LostUnits += max(t.window.lostUnits, 0)
		stats.ReconciledUnits += max(t.window.corrections, 0)
	}
	stats.DriftUnits = stats.UnreportedUnits + stats.LostUnits
	return stats
}
