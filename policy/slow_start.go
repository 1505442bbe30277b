package policy

import (
	"time"

	"fawnplank/policy/internal/hash64"
)

// Rule 4: all instances together send a warming backend at most a stated multiple of what it bears, though none
// knows what the others send.

const (
	// overloadSafetyDivisor divides the overload multiple: the instances plan for a third of what makes a backend
	// collapse, since requests differ in work.
	overloadSafetyDivisor = 3
	// baselineServiceRatio is the service time that is assumed for one core, as a multiple of the baseline latency.
	baselineServiceRatio = 1.5
	// minTurnSpacingRatio is how much of the time between its turns an instance waits after an attempt: a change in
	// the measurements shifts the numbers of the attempts.
	minTurnSpacingRatio = 0.75
)

// warmingUp reports whether a backend may still lack a part of its capacity.
func (e *Engine) warmingUp(now Instant, b *backend) bool {
	return !b.startedAt.IsZero() && now.Sub(b.startedAt) < e.settings.SlowStartDuration
}

// capacityShare returns the part of its capacity that a backend has, from Settings.SlowStartShare to 1. It is taken to
// rise evenly, and an overload window late to be safe.
func (e *Engine) capacityShare(now Instant, b *backend) float64 {
	if !e.warmingUp(now, b) {
		return 1
	}
	s := &e.settings
	rampTime := b.ageBeyond(now, s.OverloadWindow)
	return s.SlowStartShare + (1-s.SlowStartShare)*rampTime/float64(s.SlowStartDuration)
}

// ageBeyond returns by how much a backend's age exceeds a span, in nanoseconds, or 0.
func (b *backend) ageBeyond(now Instant, span time.Duration) float64 {
	return float64(max(now.Sub(b.startedAt)-span, 0))
}

// slowStartAllows reports whether a backend that warms up may get an attempt of this instance now: one that is
// warm always may. The attempts that the budget allows a backend are numbered from its start, and go to the
// instances in turn, one each; so the sum holds for any number of instances without messages between them.
//
// An instance that just started waits for an overload window, since its earlier incarnation may have sent
// much.
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

// slowStartBudget is how much a warming backend may get from all instances.
type slowStartBudget struct {
	capacityShare float64 // part of its capacity that it has
	fullRate      float64 // attempts a nanosecond, once it is warm
}

// hasSlowStartTurn reports whether it is this instance's turn at a warming backend. Its turn begins when the
// budget reaches an attempt whose number belongs to it, and lasts for half an overload window, since one instance
// of many seldom has something to send just then. Several instances may so have their turn at once: what was planned
// for a third of the overload multiple (overloadSafetyDivisor) then comes to half of it at most. Numbers belong to one
// instance each as far as the instances have measured the same baseline and peak.
func (e *Engine) hasSlowStartTurn(now Instant, b *backend, budget slowStartBudget) bool {
	instances := uint64(e.instances())
	offset := hash64.Mix(uint64(b.id)) + instances - uint64(e.settings.InstanceIndex)
	turnsPassed := float64((offset + uint64(e.budgetedAttempts(now, b, budget))) % instances)
	attemptsPerTurn := budget.fullRate * budget.capacityShare * float64(e.settings.OverloadWindow) / 2
	return turnsPassed < max(1, attemptsPerTurn)
}

// budgetedAttempts returns how many attempts the budget has allowed a backend since its start: the integral of
// its rate over its warmth, which starts at the slow start's share.
func (e *Engine) budgetedAttempts(now Instant, b *backend, budget slowStartBudget) float64 {
	s := &e.settings
	initialShareTime := s.SlowStartShare * float64(max(now.Sub(b.startedAt), 0))
	rampShareTime := (budget.capacityShare - s.SlowStartShare) * b.ageBeyond(now, s.OverloadWindow) / 2
	return budget.fullRate * (initialShareTime + rampShareTime)
}

// slowStartSpacingElapsed reports whether this instance's last attempt at a warming backend is minTurnSpacingRatio of
// the time between its turns ago. currentRate is what all instances may send, in attempts a nanosecond.
func (e *Engine) slowStartSpacingElapsed(now Instant, b *backend, currentRate float64) bool {
	if b.lastSlowStartAttemptAt.IsZero() {
		return true
	}
	return float64(now.Sub(b.lastSlowStartAttemptAt))*currentRate >= minTurnSpacingRatio*float64(e.instances())
}

// slowStartRate returns how many attempts a nanosecond all instances may send to a backend once it is warm: a
// third of the overload multiple times what a warm one of its capacity, at most the mean, does. That is one
// core's work of baselineServiceRatio baseline latencies, or more if warm backends are seen to do more.
//
// Inputs: the baseline latency (before it is known, half the latency objective: few are tighter), the peak of
// the throughput of a backend, the backend's capacity relative to the mean.
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
