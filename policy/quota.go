package policy

// roundingTolerance, in units, forgives rounding: the counter reports totals to seven digits.
const roundingTolerance = 0.01

// checkQuota decides whether the tenant has units left for the request: at once if the quota is known to be
// used up, by the counter if a call may be made (counter_call.go), and else without it (fallback.go). The first
// check comes before the fallback mode, so a class that fails open rejects too while the last total, or what a
// rollover carried over, leaves no units.
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

// quotaKnownExhausted reports whether the last total leaves no units for the request. A call would hardly say
// otherwise: totals grow but for units that are taken back, until the window rolls over.
//
// Inputs: the window's last total, the quota and its refill since the window's start, the request's units.
func (r *Request) quotaKnownExhausted(now Instant) bool {
	t := r.tenant
	return t.window.total+r.units > t.plan.quota+t.refilled(now, t.window.start)+roundingTolerance
}

// tracksRefill reports whether the tenant's instances see enough of its count to compute its refill together:
// there are units for half a request of the mean size for each of them, and all of them have the time to add
// lost units, one after another, within half a window.
func (r *Request) tracksRefill() bool {
	p := r.plan
	return 2*p.quota >= r.entryPoints*max(r.engine.latency.byUnits.MeanX, 1) &&
		2*r.entryPoints*float64(r.class.counterWait) <= float64(p.window)
}

// chargeActualUnits charges what a request within the quota really counted, where that is known only afterwards.
// The difference is reported with the tenant's next call.
func (r *Request) chargeActualUnits(result *AttemptResult) {
	known := r.engine.settings.PostPaid && result.ActualUnits > 0
	if known && result.Outcome == Succeeded && r.withinQuota {
		r.tenant.unreportedUnits += result.ActualUnits - r.units
		r.tenant.localUsage.Units += result.ActualUnits - r.units
	}
}
