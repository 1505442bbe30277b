package policy

import (
	"fawnplank/internal/estimate"
	"fawnplank/internal/hash64"
	"fawnplank/internal/nanos"
	"fawnplank/internal/quotawindow"
	"fawnplank/internal/tokenbucket"
)

// tenant is what this instance knows about a tenant: its quota, and the limits that the instance enforces
// alone.
type tenant struct {
	id       TenantID
	plan     *plan
	window   quotaWindow
	inFlight int // attempts
	waiting  int // requests that wait for the counter

	unreported   float64 // units for the next call: admitted without the counter, or counted and not sent
	ownUnits     float64 // units that this instance counted lately
	otherUnits   float64 // units that the other instances counted lately
	tracksRefill bool    // the tenant's instances see enough of its count to compute its refill together

	admittedShare estimate.Mean
	localUsage    tokenbucket.Usage  // units admitted here, less what the local share has refilled
	hardQuota     tokenbucket.Bucket // this instance's part of the hard quota
}

// findOrAddTenant returns the request's tenant, with its window rolled over to now, and adds it if it is not
// known yet. A change of plan starts its count anew.
func (e *Engine) findOrAddTenant(now int64, id TenantID, r *Request) *tenant {
	t := e.tenants[id]
	if t == nil {
		t = &tenant{id: id, plan: r.plan}
		t.localUsage.UpdatedAt = now
		t.hardQuota.UpdatedAt = e.startedAt
		e.tenants[id] = t
		e.scheduleForgetting(now, t)
	}
	if t.plan != r.plan {
		t.plan = r.plan
		t.unreported = 0
		t.window.key = 0
		t.window.total = 0
	}
	t.tracksRefill = r.tracksRefill()
	t.rollOver(now, !e.breaker.IsClosed(), r.entryPoints)
	return t
}

// scheduleForgetting drops the tenant once it has been unused for the time of keepFor and has nothing in
// flight.
func (e *Engine) scheduleForgetting(now int64, t *tenant) {
	keep := t.keepFor()
	e.schedule(now+keep, nil, func(now int64) {
		unused := now - max(t.localUsage.UpdatedAt, t.hardQuota.UpdatedAt)
		if t.inFlight > 0 || unused < keep {
			e.scheduleForgetting(now, t)
			return
		}
		delete(e.tenants, t.id)
	})
}

// quotaWindow is what is known about the count of a tenant's current window. The count is compared with what
// the rate has refilled since the window's start: the tenant has used total - refilled of its burst. Until an
// instance reconciles the count, the lost units are at least what the last window left used.
type quotaWindow struct {
	start            int64
	key              CounterKey
	total            float64 // as last reported, with the lost units
	counterTotal     float64 // as last reported
	lostUnits        float64 // that the count lacks: at first what the last window left used
	lostSince        int64   // since when the count has lacked much; 0: it does not
	reconciled       float64 // units added so far to make up for lost ones
	answers          int     // of the counter
	reportedInFlight int     // attempts of this instance that the count holds
}

// windowEnd returns when the tenant's current window ends.
func (t *tenant) windowEnd() int64 { return t.window.start + t.plan.window }

// tenantSalt keeps the hashes behind the windows apart from other hashes of tenant ids.
const tenantSalt = 0x9e3779b97f4a7c15

// windowAt returns an empty window that holds now. Each tenant's windows start at an offset of their own, so
// that clients that were rejected together spread out. A count that holds attempts too has a separate key,
// since instances that do not report attempts could not read it.
func (t *tenant) windowAt(now int64) quotaWindow {
	hash := hash64.Mix(uint64(t.id) + tenantSalt)
	window := quotawindow.At(now, t.plan.window, hash)
	key := hash64.Mix(hash + window.Index + uint64(t.plan.concurrencyUnit))
	return quotaWindow{start: window.Start, key: CounterKey(key)}
}

// refilled returns how many units the rate has refilled since a window's start.
func (t *tenant) refilled(now, windowStart int64) float64 {
	if !t.tracksRefill {
		return 0
	}
	return nanos.Accrued(t.plan.Rate, now-windowStart)
}

// hasStaleInFlight reports whether the window's count holds more attempts of this instance than are in
// flight. A call that counts units also counts attempts; only the end of an attempt needs a call of its own.
func (t *tenant) hasStaleInFlight(now int64) bool {
	return t.plan.concurrencyUnit > 0 && t.window.reportedInFlight > t.inFlight+t.waiting && now < t.windowEnd()
}
