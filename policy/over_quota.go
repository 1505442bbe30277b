package policy

// handleOverQuota forwards a request beyond the quota if its value exceeds its cost and a backend has free
// capacity. Otherwise it rejects the request until the quota has refilled enough.
func (r *Request) handleOverQuota(now Instant) {
	if r.worthSendingOverQuota() && r.hasBackendWithinSoftInFlightLimit(now) {
		r.forward(now)
		return
	}
	r.giveUp(r.retryAfterOverQuota(now))
}

// worthSendingOverQuota reports whether the plan's requests earn more beyond the quota than they cost there.
// Requests of a check-only class are never sent.
func (r *Request) worthSendingOverQuota() bool {
	return r.plan.OverQuotaValue > r.plan.OverQuotaCost && !r.class.CheckOnly
}

// hasBackendWithinSoftInFlightLimit reports whether a backend can take another attempt without exceeding
// its softInFlightLimit.
func (r *Request) hasBackendWithinSoftInFlightLimit(now Instant) bool {
	b := r.engine.pickBackend(now, r, fullBudget)
	return b != nil && b.load() <= 1
}
