package policy

import (
	"time"

	"fawnplank/internal/monotime"
	"fawnplank/policy/internal/estimate"
	"fawnplank/policy/internal/tokenbucket"
)

// tenant is the state that this instance keeps for a tenant: its quota, and the limits that the instance
// enforces without the counter.
type tenant struct {
	id     TenantID
	plan   *plan
	window quotaWindow
	// previousWindow adjusts the answers to calls that were counted in the window before the current one.
	previousWindow countAdjustment
	inFlight       int // attempts in flight from this instance
	waiting        int // requests that wait for the counter's answer

	// unreportedUnits are added to the count by the next call: units that were admitted without a call, less
	// units that were counted and not used.
	unreportedUnits float64
	traffic         traffic
	refillTracked   bool // result of Request.tracksRefill for the tenant's last request

	admittedFraction estimate.Mean      // recent mean of the fraction of a request that the counter admitted
	localUsage       tokenbucket.Usage  // units admitted by this instance, less those that its local share has refilled
	hardQuotaBucket  tokenbucket.Bucket // this instance's part of the hard quota
}

// findOrAddTenant returns the request's tenant, which is added if this instance has no state for it. It starts
// the current window if the last one has ended, and resets the count if the tenant's plan has changed.
//
// Beyond Settings.MaxTenants a new tenant is not kept, so that a client which sends requests under ever new names
// cannot use up the memory: its quota is checked by the counter alone, and a request under a hard quota is
// rejected.
func (e *Engine) findOrAddTenant(now Instant, id TenantID, r *Request) *tenant {
	t := e.tenants[id]
	switch {
	case t != nil:
	case e.settings.MaxTenants > 0 && len(e.tenants) >= e.settings.MaxTenants:
		t = newTenant(id, r.plan, now)
		t.hardQuotaBucket.UpdatedAt = now // the units that it used before are not known, so it has none
	default:
		t = e.addTenant(now, id, r.plan)
	}
	if t.plan != r.plan {
		t.changePlan(r.plan)
	}
	t.refillTracked = r.tracksRefill()
	e.rollOver(now, t, r.entryPoints)
	return t
}

func (e *Engine) addTenant(now Instant, id TenantID, p *plan) *tenant {
	t := newTenant(id, p, now)
	t.hardQuotaBucket.UpdatedAt = e.startedAt
	e.tenants[id] = t
	e.scheduleEviction(now, t)
	return t
}

// newTenant returns a tenant of which nothing is known.
func newTenant(id TenantID, p *plan, now Instant) *tenant {
	t := &tenant{id: id, plan: p}
	t.localUsage.UpdatedAt = now
	return t
}

// changePlan sets the tenant's plan and resets its count. The state that does not depend on the plan, local
// usage and traffic, is kept.
func (t *tenant) changePlan(p *plan) {
	t.plan = p
	t.unreportedUnits = 0
	t.window.key = 0
	t.window.total = 0
}

// idleRetention returns how long the state of an idle tenant is kept: for two windows, for the time that the
// counter keeps a count, and until the hard quota would be full in any case. The lower bound keeps the checks
// rare for plans with short windows.
func (t *tenant) idleRetention() time.Duration {
	retention := max(2*t.plan.window, maxCountLifetime)
	if t.plan.HardQuotaRate > 0 {
		retention = max(retention, monotime.DurationFromSeconds(t.plan.HardQuotaBurst/t.plan.HardQuotaRate))
	}
	return retention
}

// scheduleEviction schedules the removal of the tenant: it is dropped once none of its attempts is in flight
// and, for its idleRetention, no units were admitted or taken from its hard quota.
func (e *Engine) scheduleEviction(now Instant, t *tenant) {
	retention := t.idleRetention()
	e.schedule(now.Add(retention), nil, func(now Instant) {
		idle := now.Sub(monotime.Later(t.localUsage.UpdatedAt, t.hardQuotaBucket.UpdatedAt))
		if t.inFlight > 0 || idle < retention {
			e.scheduleEviction(now, t)
			return
		}
		delete(e.tenants, t.id)
	})
}
