package policy

import (
	"time"

	"fawnplank/internal/monotime"
	"fawnplank/policy/internal/hash64"
	"fawnplank/policy/internal/quotawindow"
)

const (
	// maxCountLifetime is the longest time that the counter keeps a count.
	maxCountLifetime = 60 * time.Second
	// countLifetimeMargin is how long a count is kept after the end of the window that follows its own.
	countLifetimeMargin = time.Second
	// tenantSalt makes the hashes that determine windows differ from other hashes of tenant IDs.
	tenantSalt = 0x9e3779b97f4a7c15
)

// quotaWindow is the state of the count of a tenant's current window. The count is compared with the units that
// the rate has refilled since the window's start: the tenant has used total - refilled units of its burst. Until
// an instance reconciles the count, its lost units are at least the units still used at the end of the previous
// window.
type quotaWindow struct {
	start            Instant
	key              CounterKey // 0: no window has begun
	total            float64    // units as last reported, plus the lost units; at first the units carried over
	counterTotal     float64    // units on the counter once the corrections that were sent are added; 0: none reported
	lostUnits        float64    // units missing from the count; at first the units carried over
	claimableSince   Instant    // when lostUnits became large enough to be claimed; zero: they are not
	corrections      float64    // units added by calls that only correct the count: lost units, less those given back
	answerCount      int        // totals received from the counter
	reportedInFlight int        // attempts of this instance that are included in the count
}

// countAdjustment is the difference between a window's count and the counter's total.
type countAdjustment struct {
	windowStart Instant
	lostUnits   float64
	corrections float64
}

// adjustment returns the window's current adjustment.
func (w *quotaWindow) adjustment() countAdjustment {
	return countAdjustment{windowStart: w.start, lostUnits: w.lostUnits, corrections: w.corrections}
}

// adjustmentOf returns the adjustment of the window in which a call was counted: that of the current window, or
// that of the previous one at its end. No adjustment is stored for earlier windows, and their totals are used as
// they are.
func (t *tenant) adjustmentOf(call *counterCall) countAdjustment {
	switch call.windowStart {
	case t.window.start:
		return t.window.adjustment()
	case t.previousWindow.windowStart:
		return t.previousWindow
	}
	return countAdjustment{windowStart: call.windowStart, corrections: call.corrections}
}

// windowEnd returns when the tenant's current window ends.
func (t *tenant) windowEnd() Instant { return t.window.start.Add(t.plan.window) }

// windowAt returns the empty window that contains now. The windows of each tenant start at an offset of its own,
// so that clients that were rejected at the same time do not all retry at the same time. A count that includes
// attempts has a separate key, since instances that do not report attempts cannot interpret its total.
func (t *tenant) windowAt(now Instant) quotaWindow {
	hash := hash64.Mix(uint64(t.id) + tenantSalt)
	window := quotawindow.At(now, t.plan.window, hash)
	key := hash64.Mix(hash + window.Index + uint64(t.plan.attemptWeight))
	return quotaWindow{start: window.Start, key: CounterKey(key)}
}

// refilled returns the units that the rate has refilled since a window's start, or 0 if the refill is not
// tracked.
func (t *tenant) refilled(now, windowStart Instant) float64 {
	if !t.refillTracked {
		return 0
	}
	return monotime.Accrued(t.plan.Rate, now.Sub(windowStart))
}

// rollOver starts the window that contains now, if the current one has ended, and carries over the units that
// are still used: a rollover does not grant another burst. All other unreported units have been refilled by
// then.
func (e *Engine) rollOver(now Instant, t *tenant, entryPoints float64) {
	if t.plan.window == 0 || t.window.key != 0 && now.Before(t.windowEnd()) {
		return
	}
	next := t.windowAt(now)
	carried := e.carriedOverUnits(t, next.start, entryPoints)
	t.unreportedUnits = 0
	next.total = carried
	next.lostUnits = carried
	t.previousWindow = t.window.adjustment()
	t.window = next
}

// carriedOverUnits returns the units that the ended window used beyond its refill until the start of the next
// one. If the refill is not tracked, no instance receives enough totals to determine in time how many units to
// carry over: nothing is carried over, and the count of each window starts from zero. If the breaker is not
// closed and no total was received in the window, the local usage replaces the count.
//
// Inputs and result: units.
func (e *Engine) carriedOverUnits(t *tenant, nextStart Instant, entryPoints float64) float64 {
	if !t.refillTracked {
		return 0
	}
	if !e.breaker.IsClosed() && t.window.counterTotal == 0 {
		return t.estimateUnrefilledUnits(nextStart, entryPoints)
	}
	refilled := monotime.Accrued(t.plan.Rate, nextStart.Sub(t.window.start))
	return max(t.window.total+t.unreportedUnits-refilled, 0)
}

// countLifetime returns how long the counter has to keep the window's count: until countLifetimeMargin after the
// end of the next window, and at most maxCountLifetime.
func (t *tenant) countLifetime(now Instant) time.Duration {
	end := t.windowEnd().Add(t.plan.window + countLifetimeMargin)
	return min(end.Sub(now), maxCountLifetime)
}

// countHoldsEndedAttempts reports whether the window's count includes more attempts of this instance than are in
// flight. Calls that add units also report started attempts; only ended attempts need a call of their own.
func (t *tenant) countHoldsEndedAttempts(now Instant) bool {
	stale := t.window.reportedInFlight > t.inFlight+t.waiting
	return t.plan.attemptWeight > 0 && stale && now.Before(t.windowEnd())
}
