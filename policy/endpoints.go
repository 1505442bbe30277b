package policy

import "math"

// DiscoveryTimeouts returns the bounds of calls to discovery. If lists are pushed, what the agent has counts
// at once, a call silenced by an outage is never answered, and asking is free: a third, a quarter and a tenth
// of the drain grace leave the instance a third. If lists are polled, asking is work, but a change is due 6 s
// after it could be fetched: a silent watch is reopened by 5.2 s; a snapshot stays in its queue.
func (s Settings) DiscoveryTimeouts() DiscoveryTimeouts {
	if s.PollEndpoints {
		watch := min(max(2*second, s.PollTimeout), 4500*millisecond)
		return DiscoveryTimeouts{Watch: watch, Lateness: 500 * millisecond, Snapshot: 3 * second,
			RetryDelay: 200 * millisecond}
	}
	grace := max(s.DrainGrace, 200*millisecond) // with less an instance would do little but ask
	return DiscoveryTimeouts{Watch: grace / 3, Lateness: grace / 4, Snapshot: grace / 2, RetryDelay: grace / 10}
}

// UpdateEndpoints updates the backends from a list or from changes to it, and retries a failed watch.
func (e *Engine) UpdateEndpoints(now int64, kind UpdateKind, list []Endpoint) {
	if kind == UpdateFailed {
		e.retryWatch(now)
		return
	}
	e.retryDelay = e.settings.DiscoveryTimeouts().RetryDelay
	if kind != Delta {
		e.markAllGone()
	}
	for _, endpoint := range list {
		b, found := e.findOrAddBackend(endpoint.Backend)
		if !found { // a random due time, so that instances do not all begin with the same new backend
			b.lastSentAt = now - int64(e.random.Float64()*10*float64(second))
		}
		if endpoint.StartedAt != b.startedAt && endpoint.State == EndpointReady {
			b.reset() // another incarnation
		}
		b.update(endpoint)
	}
	e.assignShares()
	e.rankBackends(now)
}

// retryWatch delays the call after a failure at random and, where asking is work, longer each time: otherwise
// the instances fill the queue of overloaded discovery with calls answered too late, and none ever gets
// an answer. At most four seconds, since changes are due in six, whatever failed.
func (e *Engine) retryWatch(now int64) {
	delay := int64((1 + e.random.Float64()) / 2 * float64(e.retryDelay))
	e.schedule(now+delay, nil, func(int64) { e.effects.WatchEndpoints() })
	if e.settings.PollEndpoints {
		e.retryDelay = min(e.retryDelay*3, max(e.settings.PollTimeout, 500*millisecond), 4*second)
	}
}

// assignShares places the ready backends on a ring, in an order that all instances share, and computes how
// many fair shares lie between each and this instance's own.
func (e *Engine) assignShares() {
	ring, capacity := e.ring()
	share := capacity / float64(max(e.settings.Instances, 1))
	position := -share * float64(e.settings.InstanceIndex)
	for _, b := range ring {
		away := position
		if away < 0 {
			away += capacity
		}
		b.distance = math.Floor(away/max(share, capacity/float64(len(ring))) + roundingTolerance)
		position += b.capacity
	}
}
