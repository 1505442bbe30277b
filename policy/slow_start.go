package policy

import (
	"time"

	"fawnplank/policy/internal/hash64"
)

// Rule 4: all instances together send to a backend that is warming up at most Settings.OverloadMultiple times what its
// current capacity can process in any Settings.OverloadWindow. Instances exchange no information on what they send.

const (
	// overloadSafetyDivisor divides the overload multiple: the budget is a third of the load at which a backend
	// becomes overloaded, since requests differ in the work that they take.
	overloadSafetyDivisor = 3
	// baselineServiceRatio is the assumed service time of a request on one core, as a multiple of the baseline latency.
	baselineServiceRatio = 1.5
	// minTurnSpacingRatio is the part of the time between two turns of an instance that it waits after an attempt, since
	// a change in the measurements shifts the numbers of the attempts and so may bring the next turn too early.
	minTurnSpacingRatio = 0.75
)

// warmingUp reports whether a backend is within the slow-start duration, in which it may lack a part of its capacity.
func (e *Engine) warmingUp(now Instant, b *backend) bool {
	return !b.startedAt.IsZero() && now.Sub(b.startedAt) < e.settings.SlowStartDuration
}

// capacityShare returns the part of its full capacity that a backend has now, from Settings.SlowStartShare to 1. The
// share is assumed to rise linearly, delayed by one overload window as a safety margin.
func (e *Engine) capacityShare(now Instant, b *backend) float64 {
	if !e.warmingUp(now, b) {
		return 1
	}
	s := &e.settings
	rampTime := b.ageBeyond(now, s.OverloadWindow)
	return s.SlowStartShare + (1-s.SlowStartShare)*rampTime/float64(s.SlowStartDuration)
}

// ageBeyond returns by how many nanoseconds a backend's age exceeds a duration, or 0 if it does not.
func (b *backend) ageBeyond(now Instant, span time.Duration) float64 {
	return float64(max(now.Sub(b.startedAt)-span, 0))
}

// slowStartAllows reports whether a backend may get an attempt of this instance now as far as slow start is concerned.
// A backend that is not warming up always may. The attempts that the budget allows a backend are numbered from its
// start and are assigned to the instances round robin. This keeps the total of all instances within the budget, for any
// number of instances and without messages between them.
//
// An instance that has just started waits for one overload window, since its earlier incarnation may have sent many
// attempts.
func (r *Request) slowStartAllows(now Instant, b *backend) bool {
	e := r.engine
	if !e.warmingUp(now, b) {
		return true
	}
	if now.Sub(e.startedAt) < e.settings.OverloadWindow {
		return false
	}
	capacityShare := e.capacityShare(now, b)
	fullRate := r.slowStartRate(b)
	return e.hasSlowStartTurn(now, b, slowStartBudget{capacityShare: capacityShare, fullRate: fullRate}) &&
		e.slowStartSpacingElapsed(now, b, fullRate*capacityShare)
}

// slowStartBudget is the rate of attempts at a backend that is warming up, for all instances together.
type slowStartBudget struct {
	capacityShare float64 // part of its full capacity that the backend has now
	fullRate      float64 // attempts per nanosecond at full capacity
}

// hasSlowStartTurn reports whether it is this instance's turn at a backend that is warming up. The turn begins when
// the budget reaches an attempt number that is assigned to this instance. It lasts for half an overload window, since
// one instance of many seldom has a request to send at that very moment. The turns of several instances may therefore
// overlap: a budget of a third of the overload multiple (overloadSafetyDivisor) then becomes at most half of it. Each
// number is assigned to exactly one instance only as far as the instances have measured the same baseline and peak
// throughput.
func (e *Engine) hasSlowStartTurn(now Instant, b *backend, budget slowStartBudget) bool {
	instances := uint64(e.instances())
	offset := hash64.Mix(uint64(b.id)) + instances - uint64(e.settings.InstanceIndex)
	turnsPassed := float64((offset + uint64(e.budgetedAttempts(now, b, budget))) % instances)
	attemptsPerTurn := budget.fullRate * budget.capacityShare * float64(e.settings.OverloadWindow) / 2
	return turnsPassed < max(1, attemptsPerTurn)
}

// budgetedAttempts returns how many attempts the budget has allowed a backend since its start: the integral over time
// of the full rate times the capacity share, which starts at Settings.SlowStartShare.
func (e *Engine) budgetedAttempts(now Instant, b *backend, budget slowStartBudget) float64 {
	s := &e.settings
	initialShareTime := s.SlowStartShare * float64(max(now.Sub(b.startedAt), 0))
	rampShareTime := (budget.capacityShare - s.SlowStartShare) * b.ageBeyond(now, s.OverloadWindow) / 2
	return budget.fullRate * (initialShareTime + rampShareTime)
}

// slowStartSpacingElapsed reports whether minTurnSpacingRatio of the time between two turns of this instance has
// elapsed since its last attempt at a backend that is warming up. currentRate is the rate that all instances together
// may send, in attempts per nanosecond.
func (e *Engine) slowStartSpacingElapsed(now Instant, b *backend, currentRate float64) bool {
	if b.lastSlowStartAttemptAt.IsZero() {
		return true
	}
	return float64(now.Sub(b.lastSlowStartAttemptAt))*currentRate >= minTurnSpacingRatio*float64(e.instances())
}

// slowStartRate returns the rate that all instances together may send to a backend at full capacity, in attempts per
// nanosecond. It is a third of the overload multiple (overloadSafetyDivisor) times the throughput of a backend, scaled
// down for a backend whose weight is below the mean.
//
// The throughput is that of one core with a service time of baselineServiceRatio baseline latencies, or the measured
// peak per backend if that is higher. Before the baseline is known, half the latency objective is assumed as the
// service time, since few objectives are shorter.
func (r *Request) slowStartRate(b *backend) float64 {
	e := r.engine
	serviceTime := float64(r.class.LatencyObjective) / 2
	if e.baselineKnown() {
		serviceTime = e.latency.baseline.Value * baselineServiceRatio
	}
	fullRate := max(1/max(serviceTime, 1), e.throughput.peakPerBackend/float64(time.Second))
	rate := e.settings.OverloadMultiple / overloadSafetyDivisor * fullRate
	return rate * min(b.weight/e.ready.meanWeight, 1)
}
