package policy

import "fawnplank/internal/hash64"

// warmingUp reports whether a backend may not have its whole capacity yet.
func (e *Engine) warmingUp(now int64, b *backend) bool {
	return b.startedAt > 0 && now-b.startedAt < e.settings.SlowStartDuration
}

// risenFor is for how long a backend's capacity has risen: a window less than its age, to be on the safe
// side.
func (e *Engine) risenFor(now int64, b *backend) float64 {
	return float64(max(now-b.startedAt-e.settings.OverloadWindow, 0))
}

// warmth is the part of its capacity that a backend has by now, from its start on: it warms up evenly.
func (e *Engine) warmth(now int64, b *backend) float64 {
	if !e.warmingUp(now, b) {
		return 1
	}
	s := &e.settings
	return s.SlowStartShare + (1-s.SlowStartShare)*e.risenFor(now, b)/float64(s.SlowStartDuration)
}

// slowStartRate is how many attempts a nanosecond all instances together may send to a backend that would be
// warm.
func (r *Request) slowStartRate(b *backend) float64 {
	e := r.engine
	work := float64(r.class.LatencyObjective) / 2 // nothing measured yet: few objectives are tighter
	if e.baselineKnown() {
		work = e.baselineLatency.Value * 1.5
	}
	rate := e.settings.OverloadMultiple / 3 * max(1/max(work, 1), e.peakBackendThroughput/float64(second))
	return rate * min(b.capacity/e.meanCapacity, 1)
}

// slowStartAllows keeps the instances together within half the multiple of what a backend that warms up
// bears, since requests differ in work: a third for each window, of what a warm one of its capacity does (the
// mean at most): one core's work, of half as much again as the baseline latency, or more as far as warm ones
// are seen to. Its attempts are numbered from its start and go to the instances in turn, one each, for half a
// window: the rest of the half is for that, since an instance of many seldom has something to send just then.
// So the sum holds for any number of instances without a word between them. One that was just started waits a
// window: its earlier incarnation may have sent much.
func (r *Request) slowStartAllows(now int64, b *backend) bool {
	e := r.engine
	if !e.warmingUp(now, b) {
		return true
	}
	s, warmth := &e.settings, e.warmth(now, b)
	instances := float64(max(s.Instances, 1))
	rate := r.slowStartRate(b)
	atShare := s.SlowStartShare * float64(max(now-b.startedAt, 0))
	number := rate * (atShare + (warmth-s.SlowStartShare)*e.risenFor(now, b)/2)
	offset := hash64.Mix(uint64(b.id)) + uint64(instances) - uint64(s.InstanceIndex)
	turnsPassed := float64((offset + uint64(number)) % uint64(instances))
	rate *= warmth
	hasTurn := turnsPassed < max(1, rate*float64(s.OverloadWindow)/2)
	// Three quarters of the time between an instance's turns: a change in what is measured shifts the numbers.
	return now-e.startedAt >= s.OverloadWindow && hasTurn &&
		(b.lastSlowStartAt == 0 || float64(now-b.lastSlowStartAt)*rate >= 0.75*instances)
}
