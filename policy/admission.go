package policy

// quotaDecision is the result of checking a request against its tenant's quota.
type quotaDecision uint8

const (
	overQuota       quotaDecision = iota // beyond the quota, as far as the instance can tell
	withinQuota                          // admitted and charged to the quota
	awaitingCounter                      // decided by the counter's answer
)

func (d quotaDecision) String() string {
	return enumName(int(d), "over quota", "within quota", "awaiting counter")
}

// Submit starts a request and decides whether it is admitted, or calls the counter for that decision. It issues
// the first effects before it returns.
func (e *Engine) Submit(now Instant, spec RequestSpec) *Request {
	r := newRequest(e, now, spec)
	if int(spec.Class) >= len(e.classes) || int(spec.Plan) >= len(e.plans) {
		r.abortUnknownClassOrPlan(spec)
		return r
	}
	r.class = e.classes[spec.Class]
	r.plan = e.plans[spec.Plan]
	r.tenant = e.findOrAddTenant(now, spec.Tenant, r)
	r.answerDueAt = r.answerDue(now)
	r.checkAdmission(now)
	return r
}

// checkAdmission checks a request in this order: hard quota (hard_quota.go), concurrency limit
// (concurrency_limit.go), capacity of the backends (capacity.go), quota (quota.go). A request that fails the
// concurrency limit or the quota may still be worth sending (over_quota.go).
func (r *Request) checkAdmission(now Instant) {
	if shortfall := r.takeFromHardQuota(now); shortfall > 0 {
		r.giveUp(r.retryAfterHardQuota(shortfall))
		return
	}
	if r.atConcurrencyLimit() {
		r.handleOverQuota(now)
		return
	}
	if r.plan.Rate <= 0 {
		r.admit(now)
		return
	}
	if r.lacksCapacity(now) { // units counted for it would have other requests of the tenant rejected
		r.giveUp(r.retryAfterNoCapacity())
		return
	}
	r.applyQuotaDecision(now, r.checkQuota(now))
}

// applyQuotaDecision admits the request or handles it as over quota. It does nothing while the counter's answer
// is awaited.
func (r *Request) applyQuotaDecision(now Instant, decision quotaDecision) {
	switch decision {
	case withinQuota:
		r.admit(now)
	case overQuota:
		r.handleOverQuota(now)
	case awaitingCounter:
	}
}

// admit charges the request to the tenant's local usage and forwards it.
func (r *Request) admit(now Instant) {
	r.withinQuota = true
	if r.plan.Rate > 0 {
		r.refillLocalUsage(now)
		r.tenant.localUsage.Units += r.units
	}
	r.forward(now)
}

// forward sends an attempt to the best backend. Without one it rejects the request, so that the client may find
// capacity elsewhere. A request of a check-only class is admitted without an attempt.
func (r *Request) forward(now Instant) {
	if r.class.CheckOnly {
		r.finishCheckOnly()
		return
	}
	b := r.engine.pickBackend(now, r, fullBudget)
	if b == nil || !r.sendAttempt(now, b) {
		r.giveUp(r.retryAfterNoCapacity())
	}
}

// finishCheckOnly admits a request of a check-only class. No attempt is sent, and the counted units stay
// counted.
func (r *Request) finishCheckOnly() {
	r.withinQuota = false // so that finish does not give the units back
	r.hardQuotaUnits = 0
	r.finish()
	r.engine.effects.Admit(r.id)
}
