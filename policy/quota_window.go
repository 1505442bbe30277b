package policy

import (
	"time"

	"fawnplank/internal/monotime"
	"fawnplank/policy/internal/hash64"
	"fawnplank/policy/internal/quotawindow"
)

const (
	// maxCountLifetime is how long the counter keeps a count at most.
	maxCountLifetime = 60 * time.Second
	// countLifetimeMargin is how long a count stays after the window that follows its own.
	countLifetimeMargin = time.Second
	// tenantSalt keeps the hashes behind the windows apart from other hashes of tenant ids.
	tenantSalt = 0x9e3779b97f4a7c15
)

// quotaWindow is what is known about the count of a tenant's current window. The count is compared with what
// the rate has refilled since the window's start: the tenant has used total - refilled of its burst. Until an
// instance reconciles the count, the lost units are at least what the last window left used.
type quotaWindow struct {
	start            Instant
	key              CounterKey // 0: no window has begun
	total            float64    // units as last reported, with the lost units; at first what is carried over
	counterTotal     float64    // units that the counter has once the corrections that were sent arrive; 0: none reported
	lostUnits        float64    // that the count lacks: at first what the last window left used
	claimableSince   Instant    // since when the count has lacked much; zero: it does not
	corrections      float64    // units added so far by calls that only correct: lost ones, less those taken back
	answerCount      int        // of the counter
	reportedInFlight int        // attempts of this instance that the count holds
}

// countAdjustment is by how much a window's count differs from what the counter has.
type countAdjustment struct {
	windowStart Instant
	lostUnits   float64
	corrections float64
}

// adjustment returns the window's present adjustment.
func (w *quotaWindow) adjustment() countAdjustment {
	return countAdjustment{windowStart: w.start, lostUnits: w.lostUnits, corrections: w.corrections}
}

// adjustmentOf returns the adjustment of the window that a call was counted in: the current one, or the one before
// it as it stood when it ended. Of earlier ones nothing is known, and nothing is adjusted.
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

// windowAt returns an empty window that holds now. Each tenant's windows start at an offset of their own, so
// that clients that were rejected together spread out. A count that holds attempts too has a separate key,
// since instances that do not report attempts could not read it.
func (t *tenant) windowAt(now Instant) quotaWindow {
	hash := hash64.Mix(uint64(t.id) + tenantSalt)
	window := quotawindow.At(now, t.plan.window, hash)
	key := hash64.Mix(hash + window.Index + uint64(t.plan.attemptWeight))
	return quotaWindow{start: window.Start, key: CounterKey(key)}
}

// refilled returns how many units the rate has refilled since a window's start; 0 where the refill cannot be
// computed.
func (t *tenant) refilled(now, windowStart Instant) float64 {
	if !t.refillTracked {
		return 0
	}
	return monotime.Accrued(t.plan.Rate, now.Sub(windowStart))
}

// rollOver starts the window that holds now, if the current one is over, and carries over what is still used:
// a rollover grants no fresh burst. Other unreported units have been refilled by then.
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

// carriedOverUnits returns what the last window used beyond its refill until the next one's start. Where few of the
// instances see much of a count, none knows in time what to carry over, and the plain count of all requests
// holds, from zero in each window. Behind an open breaker that kept everything from being reported, the local
// usage takes the place of the count.
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

// countLifetime returns how long the counter is to keep the window's count: until countLifetimeMargin after
// the next window.
func (t *tenant) countLifetime(now Instant) time.Duration {
	end := t.windowEnd().Add(t.plan.window + countLifetimeMargin)
	return min(end.Sub(now), maxCountLifetime)
}

// countHoldsEndedAttempts reports whether the window's count holds more attempts of this instance than are in
// flight. A call that counts units also counts attempts; only the end of an attempt needs a call of its own.
func (t *tenant) countHoldsEndedAttempts(now Instant) bool {
	stale := t.window.reportedInFlight > t.inFlight+t.waiting
	return t.plan.attemptWeight > 0 && stale && now.Before(t.windowEnd())
}
