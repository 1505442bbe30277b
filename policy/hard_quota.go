package policy

// takeFromHardQuota takes the request's units from this instance's part of the hard quota. If that part holds
// too few units, it takes none and returns the number of units that are missing. The entry points of a tenant
// have equal parts. The bucket starts empty, since an earlier incarnation may just have used up its part. This
// keeps rule 5 through restarts, and through failures of the counter, which is not called.
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
