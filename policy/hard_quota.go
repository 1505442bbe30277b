package policy

// takeFromHardQuota takes the request's units from this instance's part of the hard quota, and returns how many
// units that part lacks for it; then it takes none. A tenant's entry points have equal parts. The bucket
// starts empty, since an earlier incarnation may have sent much: so rule 5 holds through restarts and failures
// of the counter, which is not asked.
//
// Inputs: the request's units, the plan's rate (units a second) and burst (units). Result: units.
func (r *Request) takeFromHardQuota(now Instant) (shortfall float64) {
	if r.plan.HardQuotaRate <= 0 {
		return 0
	}
	bucket := &r.tenant.hardQuotaBucket
	available := bucket.Refill(now, r.plan.HardQuotaRate/r.entryPoints, r.plan.HardQuotaBurst/r.entryPoints)
	if shortfall = r.units - available; shortfall > 0 {
		return shortfall
	}
	bucket.Units -= r.units
	r.hardQuotaUnits = r.units
	return 0
}
