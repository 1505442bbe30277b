package policy

import (
	"time"

	"fawnplank/internal/monotime"
	"fawnplank/policy/internal/estimate"
	"fawnplank/policy/internal/tokenbucket"
)

// tenant is what this instance knows about a tenant: its quota, and the limits that the instance enforces
// alone.
type tenant struct {
	id     TenantID
	plan   *plan
	window quotaWindow
	// previousWindow is for the answers to calls that the window before the current one counted.
	previousWindow countAdjustment
	inFlight       int // attempts
	waiting        int // requests that wait for the counter

	unreportedUnits float64 // units for the next call: those admitted without the counter, less those counted and not sent
	traffic         traffic
	refillTracked   bool // Request.tracksRefill of the tenant's last request

	admittedFraction estimate.Mean      // part of a request that the counter lately admitted
	localUsage       tokenbucket.Usage  // units admitted here, less what the local share has refilled
	hardQuotaBucket  tokenbucket.Bucket // this instance's part of the hard quota
}

// findOrAddTenant returns the request's tenant, brought up to now and to the request: it is added if it is not known
// yet, its window is rolled over, and a change of plan starts its count anew.
func (e *Engine) findOrAddTenant(now Instant, id TenantID, r *Request) *tenant {
	t := e.tenants[id]
	if t == nil {
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
	t := &tenant{id: id, plan: p}
	t.localUsage.UpdatedAt = now
	t.hardQuotaBucket.UpdatedAt = e.startedAt
	e.tenants[id] = t
	e.scheduleEviction(now, t)
	return t
}

// changePlan starts the tenant's count anew. What does not depend on the plan stays: its usage and its traffic.
func (t *tenant) changePlan(p *plan) {
	t.plan = p
	t.unreportedUnits = 0
	t.window.key = 0
	t.window.total = 0
}

// idleRetention returns how long an unused tenant is remembered: for two windows and for the time that the counter
// keeps counts, and until its hard quota would be full anyway. The lower bound keeps the checks rare for plans
// of tiny windows.
func (t *tenant) idleRetention() time.Duration {
	retention := max(2*t.plan.window, maxCountLifetime)
	if t.plan.HardQuotaRate > 0 {
		retention = max(retention, monotime.DurationFromSeconds(t.plan.HardQuotaBurst/t.plan.HardQuotaRate))
	}
	return retention
}

// scheduleEviction schedules the removal of the tenant: it is dropped once none of its attempts is in flight and, for
// its idleRetention, no units were admitted or taken from its hard quota.
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
