package policy

// handleOverQuota rejects a request beyond the quota until the quota has refilled enough, or forwards it where
// that is worth its cost.
func (r *Request) handleOverQuota(now Instant) {
	if r.worthSendingOverQuota() && r.hasBackendBelowPreferredLoad(now) {
		r.forward(now)
		return
	}
	r.giveUp(r.retryAfterOverQuota(now))
}

// worthSendingOverQuota reports whether the plan's requests earn more beyond the quota than they cost there. A class
// that only counts sends nothing.
func (r *Request) worthSendingOverQuota() bool {
	return r.plan.OverQuotaValue > r.plan.OverQuotaCost && !r.class.CheckOnly
}

// hasBackendBelowPreferredLoad reports whether a backend takes one more attempt within its softInFlightLimit.
func (r *Request) hasBackendBelowPreferredLoad(now Instant) bool {
	b := r.engine.pickBackend(now, r, fullBudget)
	return b != nil && b.load() <= 1
}
