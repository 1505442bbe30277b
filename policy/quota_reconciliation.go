package policy

import "time"

const (
	// A total shows that the counter has lost the count if it is lower than the last total by more than
	// countLossQuotaShare of the quota, and below countLossTotalShare of the last total.
	countLossQuotaShare = 0.5
	countLossTotalShare = 0.5
	// reconciledShare is the part of the lost units by which a total has to rise to show that another instance
	// has added them to the count.
	reconciledShare = 0.5
	// minClaimShare is the part of the quota that has to be lost before an instance adds the lost units to the
	// count: a call for each smaller loss would overload the counter.
	minClaimShare = 0.125
	// claimOrderOffsets is the number of offsets, derived from the window's key, of the order in which instances
	// add lost units.
	claimOrderOffsets = 1024
)

// observeTotal updates the lost units and the traffic from a total of the current window. addedUnits are the
// units that the call itself added.
func (t *tenant) observeTotal(total countTotal, addedUnits float64) {
	w := &t.window
	w.answerCount++
	totalBefore := total.units - addedUnits
	switch {
	case w.counterLostCount(totalBefore, t.plan.quota):
		w.lostUnits += w.counterTotal
	case w.otherInstanceReconciled(totalBefore):
		w.lostUnits = max(w.total-totalBefore, 0)
	case w.counterTotal > 0:
		t.observeTraffic(totalBefore, addedUnits)
	}
	// A token bucket holds at most its burst, so a total below the refill is raised to the refill.
	w.lostUnits = max(w.lostUnits, total.refilled-totalBefore)
}

// counterLostCount reports whether the counter has lost the window's count. totalBefore is the total without the
// units that the call added.
func (w *quotaWindow) counterLostCount(totalBefore, quota float64) bool {
	return w.counterTotal-totalBefore > quota*countLossQuotaShare && totalBefore < w.counterTotal*countLossTotalShare
}

// otherInstanceReconciled reports whether the total has risen as if another instance had added the lost units to
// the count.
func (w *quotaWindow) otherInstanceReconciled(totalBefore float64) bool {
	return w.lostUnits > 0 && totalBefore-w.counterTotal >= w.lostUnits*reconciledShare
}

// claimLostUnits returns the lost units that this instance has to add to the count now, and 0 if there are too
// few or if it is not its turn yet. The tenant's instances take turns in an order derived from the window's key,
// and each adds the units only if no instance before it has: added twice, they would use up the tenant's quota.
//
// Inputs: the lost units and the quota in units, the instance's turn, the class's wait for the counter.
func (r *Request) claimLostUnits(now Instant) float64 {
	w := &r.tenant.window
	if w.lostUnits <= r.plan.quota*minClaimShare {
		w.claimableSince = Instant{}
	} else if w.claimableSince.IsZero() {
		w.claimableSince = now
	}
	if w.claimableSince.IsZero() || now.Before(w.claimableSince.Add(r.claimDelay())) {
		return 0
	}
	claimed := w.lostUnits
	w.lostUnits = 0
	w.claimableSince = Instant{}
	return claimed
}

// claimDelay returns the time between a loss and this instance's turn to add the lost units: one wait for the
// counter for each instance before it.
func (r *Request) claimDelay() time.Duration {
	offset := int(uint64(r.tenant.window.key) % claimOrderOffsets)
	turn := (r.entryPointIndex + offset) % int(r.entryPoints)
	return time.Duration(turn) * r.class.counterWait
}
