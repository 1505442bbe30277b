package policy

// roundingTolerance, in units, allows for rounding: the counter reports totals with seven digits.
const roundingTolerance = 0.01

// checkQuota decides whether the tenant has units left for the request: immediately if the quota is known to be
// exhausted, by the counter if a call may be made (counter_call.go), and otherwise without the counter
// (fallback.go). The first check precedes the fallback mode. A class that fails open therefore also rejects
// requests while the last total, or the units carried over at a rollover, leave none.
func (r *Request) checkQuota(now Instant) quotaDecision {
	if r.quotaKnownExhausted(now) {
		r.tenant.recordAdmittedFraction(0)
		return overQuota
	}
	if r.engine.claimCounterCall(now) {
		r.callCounter(now)
		return awaitingCounter
	}
	decision := r.fallbackDecision(now)
	if decision == withinQuota {
		r.recordUncounted()
	}
	return decision
}

// quotaKnownExhausted reports whether the last total leaves no units for the request. A call would rarely change
// that, because within a window a total decreases only when units are given back.
//
// Inputs: the window's last total, the quota and its refill since the window's start, the request's units.
func (r *Request) quotaKnownExhausted(now Instant) bool {
	t := r.tenant
	return t.window.total+r.units > t.plan.quota+t.refilled(now, t.window.start)+roundingTolerance
}

// tracksRefill reports whether the tenant's instances receive enough totals of its count to account for the
// refill consistently. The quota has to cover half a request of the mean size for each of the instances, and
// half a window has to be long enough for each of them in turn to add lost units.
func (r *Request) tracksRefill() bool {
	p := r.plan
	return 2*p.quota >= r.entryPoints*max(r.engine.latency.byUnits.MeanX, 1) &&
		2*r.entryPoints*float64(r.class.counterWait) <= float64(p.window)
}

// chargeActualUnits charges the units that a request within the quota actually used, if they are known only
// after it. The difference is reported with the tenant's next call.
func (r *Request) chargeActualUnits(result *AttemptResult) {
	known := r.engine.settings.PostPaid && result.ActualUnits > 0
	if known && result.Outcome == Succeeded && r.withinQuota {
		r.tenant.unreportedUnits += result.ActualUnits - r.units
		r.tenant.localUsage.Units += result.ActualUnits - r.units
	}
}
