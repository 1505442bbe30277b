package policy

import (
	"math"
	"time"
)

const (
	// maxInitialIdleTime is how long a backend that is new to the list counts as without an attempt at most.
	maxInitialIdleTime = 10 * time.Second
	// shareTolerance forgives rounding where fair shares are counted.
	shareTolerance = 0.01
)

// UpdateEndpoints updates the backends from a list or from changes to it, and retries a failed watch.
func (e *Engine) UpdateEndpoints(now Instant, kind UpdateKind, list []Endpoint) {
	if kind == UpdateFailed {
		e.retryWatch(now)
		return
	}
	e.watchRetryDelay = e.settings.DiscoveryTimeouts().MaxRetryDelay
	if kind != Delta {
		e.markAllGone()
	}
	for _, endpoint := range list {
		e.updateEndpoint(now, endpoint)
	}
	e.assignRingDistances()
	e.rankBackends(now)
}

// updateEndpoint adds or updates a backend. A new one gets a random due time, so that instances do not all begin
// with the same one. A backend that is listed with another start is a new incarnation, of which nothing is known,
// whatever its state; an entry without a start shows one only if it is ready.
func (e *Engine) updateEndpoint(now Instant, endpoint Endpoint) {
	b, found := e.findOrAddBackend(endpoint.Backend)
	if !found {
		idleTime := time.Duration(e.random.Float64() * float64(maxInitialIdleTime))
		b.lastSentAt = now.Add(-idleTime)
	}
	showsStart := !endpoint.StartedAt.IsZero() || endpoint.State == EndpointReady
	isNewIncarnation := endpoint.StartedAt != b.startedAt && showsStart
	if isNewIncarnation {
		b.reset()
	}
	b.update(endpoint)
}

// assignRingDistances places the ready backends on a ring, in an order that all instances share, and computes how
// many fair shares lie between each and this instance's own. An instance fills its own share first, so that
// instances spread over the backends without messages between them.
func (e *Engine) assignRingDistances() {
	ring, weight := e.ring()
	share := weight / float64(e.instances())
	position := -share * float64(e.settings.InstanceIndex)
	for _, b := range ring {
		ringOffset := position
		if ringOffset < 0 {
			ringOffset += weight
		}
		b.ringDistance = math.Floor(ringOffset/max(share, weight/float64(len(ring))) + shareTolerance)
		position += b.weight
	}
}
