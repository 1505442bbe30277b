package policy

import "time"

const (
	// countLossQuotaShare and countLossTotalShare say when a total shows that the counter came back empty: it is lower
	// than the last one by more than that share of the quota, and below that share of the last one.
	countLossQuotaShare = 0.5
	countLossTotalShare = 0.5
	// reconciledShare is the part of the lost units by which a total has to rise to show that another instance
	// has added them.
	reconciledShare = 0.5
	// minClaimShare is the share of a quota that has to be lost before an instance adds it: a call for each small
	// step would overload the counter.
	minClaimShare = 0.125
	// claimOrderOffsets bounds the offset, drawn from the window's key, of the order in which instances claim.
	claimOrderOffsets = 1024
)

// observeTotal learns from a total of the current window. added is what the call itself added, in units.
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
	// A token bucket holds no more than its burst: a total below the refill is raised to it.
	w.lostUnits = max(w.lostUnits, total.refilled-totalBefore)
}

// counterLostCount reports whether the counter has lost the window's count. before is the total without
// what the call added.
func (w *quotaWindow) counterLostCount(totalBefore, quota float64) bool {
	return w.counterTotal-totalBefore > quota*countLossQuotaShare && totalBefore < w.counterTotal*countLossTotalShare
}

// otherInstanceReconciled reports whether another instance has added the lost units that it knew of.
func (w *quotaWindow) otherInstanceReconciled(totalBefore float64) bool {
	return w.lostUnits > 0 && totalBefore-w.counterTotal >= w.lostUnits*reconciledShare
}

// claimLostUnits returns the lost units that this instance adds back now. The tenant's instances take turns
// in an order set by the window, each only if those before did not: two at once would keep the tenant out.
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

// claimDelay returns how long after a loss it is this instance's turn to add the lost units: one wait for the
// counter for each instance before it.
func (r *Request) claimDelay() time.Duration {
	offset := int(uint64(r.tenant.window.key) % claimOrderOffsets)
	turn := (r.entryPointIndex + offset) % int(r.entryPoints)
	return time.Duration(turn) * r.class.counterWait
}
