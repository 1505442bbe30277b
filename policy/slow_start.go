package policy

import "fawnplank/internal/hash64"

// warmth returns the part of its capacity that a backend has. It rises evenly, a window late to be safe.
func (e *Engine) warmth(now int64, b *backend) float64 {
	if !e.warmingUp(now, b) {
		return 1
	}
	s := &e.settings
	risen := b.ageBeyond(now, s.OverloadWindow)
	return s.SlowStartShare + (1-s.SlowStartShare)*risen/float64(s.SlowStartDuration)
}

// slowStartRate returns how many attempts per nanosecond all instances may send to a backend once it is warm.
func (r *Request) slowStartRate(b *backend) float64 {
	e := r.engine
	serviceTime := float64(r.class.LatencyObjective) / 2 // nothing measured yet: few objectives are tighter
	if e.baselineKnown() {
		serviceTime = e.baselineLatency.Value * 1.5
	}
	rate := e.settings.OverloadMultiple / 3 * max(1/max(serviceTime, 1), e.peakBackendThroughput/float64(second))
	return rate * min(b.capacity/e.meanCapacity, 1)
}

// slowStartAllows keeps all instances together within half the multiple of what a warming backend bears,
// since requests differ in work: a third of what a warm one of its capacity (at most the mean) does, which is
// one core's work of 1.5 baseline latencies, or more if warm ones are seen to do more. Attempts are numbered
// from its start and go to the instances in turn, one each. A turn lasts half a window, and the rest of the
// half allows that: one of many seldom has something to send just then. So the sum holds for any number of
// instances without messages. One just started waits a window: its earlier incarnation may have sent much.
func (r *Request) slowStartAllows(now int64, b *backend) bool {
	e := r.engine
	if !e.warmingUp(now, b) {
		return true
	}
	s, warmth := &e.settings, e.warmth(now, b)
	instances := float64(max(s.Instances, 1))
	rate := r.slowStartRate(b)
	atShare := s.SlowStartShare * float64(max(now-b.startedAt, 0))
	number := rate * (atShare + (warmth-s.SlowStartShare)*b.ageBeyond(now, s.OverloadWindow)/2)
	offset := hash64.Mix(uint64(b.id)) + uint64(instances) - uint64(s.InstanceIndex)
	turnsPassed := float64((offset + uint64(number)) % uint64(instances))
	rate *= warmth
	hasTurn := turnsPassed < max(1, rate*float64(s.OverloadWindow)/2)
	// Wait 3/4 of the time between the instance's turns: a change in the measurements shifts the numbers.
	return now-e.startedAt >= s.OverloadWindow && hasTurn &&
		(b.lastSlowStartAt == 0 || float64(now-b.lastSlowStartAt)*rate >= 0.75*instances)
}
