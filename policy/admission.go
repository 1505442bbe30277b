package policy

import "fawnplank/internal/nanos"

// Submit starts a request and decides on its admission. It issues the first effects before it returns.
func (e *Engine) Submit(now int64, spec RequestSpec) *Request {
	r := newRequest(e, now, spec)
	if int(spec.Class) >= len(e.classes) || int(spec.Plan) >= len(e.plans) {
		r.abortUnknown(spec)
		return r
	}
	r.class, r.plan = &e.classes[spec.Class], &e.plans[spec.Plan]
	r.tenant = e.findOrAddTenant(now, spec.Tenant, r)
	r.objectiveAt = min(now+r.class.LatencyObjective, r.deadline)
	if r.plan.leaverShare.Value > 0.3 { // do not send what cannot be answered before the client leaves
		r.objectiveAt = min(r.objectiveAt, now+int64(r.plan.leaverWait.Value))
	}
	if r.drawHardQuota(now) {
		r.checkQuota(now)
	}
	return r
}

// drawHardQuota takes the units from this instance's part of the hard quota, or rejects. The bucket starts
// empty, since an earlier incarnation may have sent much: rule 5 holds through restarts and counter failures.
func (r *Request) drawHardQuota(now int64) bool {
	rate, bucket := r.plan.HardQuotaRate, &r.tenant.hardQuota
	if rate > 0 {
		missing := r.units - bucket.Refill(now, rate/r.entryPoints, r.plan.HardQuotaBurst/r.entryPoints)
		if missing > 0 {
			r.giveUp(nanos.FromSeconds(missing * r.entryPoints / rate))
			return false
		}
		bucket.Units -= r.units
		r.hardQuotaUnits = r.units
	}
	return true
}

func (r *Request) checkQuota(now int64) {
	limit := r.plan.ConcurrencyLimit
	switch {
	case limit > 0 && (r.tenant.inFlight >= limit || r.plan.Rate <= 0 && r.concurrencyReached()):
		r.handleOverQuota(now)
	case r.plan.Rate <= 0:
		r.admit(now)
	default:
		r.askCounter(now)
	}
}

// concurrencyReached reports, without the counter, whether the tenant has its limit of attempts in flight.
func (r *Request) concurrencyReached() bool {
	inFlight, limit := float64(r.tenant.inFlight), r.plan.ConcurrencyLimit
	return limit > 0 && inFlight > 0 && inFlight+r.inFlightElsewhere() >= float64(limit)
}

// inFlightElsewhere estimates the tenant's attempts in flight at other instances: twice what the rate keeps
// there, since tenants near the limit are the busy ones; without a rate, half the limit is a guess.
func (r *Request) inFlightElsewhere() float64 {
	elsewhere := 1 - r.tenant.trafficShare(r.entryPoints)
	if r.plan.Rate <= 0 {
		return elsewhere * float64(r.plan.ConcurrencyLimit) / 2
	}
	return 2 * elsewhere * r.plan.Rate / r.units * r.engine.latency.Value / float64(second)
}

// decideAdmission ends the wait for the counter; call is the call that was made, or nil if there was none.
func (r *Request) decideAdmission(now int64, admitted bool, call *counterCall) {
	r.waitingForCounter = false
	switch {
	case !admitted:
		r.handleOverQuota(now)
		return
	case call != nil:
		call.admitted = true
	case !r.engine.breaker.IsClosed() || !r.engine.settings.CounterEnabled:
		r.tenant.unreported += r.units // otherwise the calls of other requests stand for it
	}
	r.admit(now)
}

// handleOverQuota rejects a request beyond the quota until the quota has refilled enough. Exception: where a
// plan's requests earn more beyond it than they cost, and a backend has capacity, it admits the request.
func (r *Request) handleOverQuota(now int64) {
	t := r.tenant
	if r.plan.OverQuotaValue > r.plan.OverQuotaCost && !r.class.CheckOnly {
		if b := r.engine.pickBackend(now, r, 1); b != nil && b.load() <= 1 {
			r.forward(now)
			return
		}
	}
	retryAfter := r.class.LatencyObjective
	if r.plan.Rate > 0 {
		missing := t.window.total + r.units - r.plan.quota - t.refilled(now, t.window.start)
		retryAfter = nanos.FromSeconds(max(missing, r.units/8) / r.plan.Rate)
	}
	r.giveUp(retryAfter)
}

func (r *Request) admit(now int64) {
	r.withinQuota = true
	if r.plan.Rate > 0 {
		r.refillLocalUsage(now)
		r.tenant.localUsage.Units += r.units
	}
	r.forward(now)
}
