package policy

import "fawnplank/internal/monotime"

// QuotaStatus is what this instance knows about a tenant's quota, for callers that ask without counting.
type QuotaStatus struct {
	Limit         float64 // units that the quota holds when it is full; 0: the plan has none
	Rate          float64 // refill in units a second
	Used          float64 // units that are used and not refilled yet; the refill is always computed
	FromCounter   bool    // the counter reported this window; else the numbers are those of the local share
	HardQuotaLeft float64 // units left of this instance's part of the hard quota, all for an unknown tenant; -1: none
}

// QuotaQuery names the quota that is asked for: that of a tenant under a plan, whose requests come in through
// EntryPoints instances.
type QuotaQuery struct {
	Tenant      TenantID
	Plan        PlanID
	EntryPoints int
}

// QuotaStatus returns what is known about a tenant's quota now. It counts nothing. ok is false if the plan is
// out of range.
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

// BreakerOpen reports whether the breaker stops calls to the counter.
func (e *Engine) BreakerOpen() bool { return !e.breaker.IsClosed() }

// CounterStats are statistics on the counter's failures as this instance saw them.
type CounterStats struct {
	BreakerOpen     bool    // calls are stopped
	CallShare       float64 // share of the requests that make a call otherwise
	UnreportedUnits float64 // units admitted and not reported yet, of all tenants
	LostUnits       float64 // units that the counts are known to lack, of all tenants
	ReconciledUnits float64 // units by which the counts of the current windows were corrected, of all tenants
	DriftUnits      float64 // by which the instances may differ from one count: unreported and lost
	Tenants         int     // remembered
}

// CounterStats returns the current statistics.
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
