package policy

import (
	"math"
	"time"
)

const (
	// maxInitialIdleTime bounds the random time since the last attempt that is assumed for a backend new to the list.
	maxInitialIdleTime = 10 * time.Second
	// shareTolerance absorbs rounding errors where fair shares are counted.
	shareTolerance = 0.01
)

// UpdateEndpoints updates the backends from a full list or from changes to it. On UpdateFailed it schedules a new
// watch.
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

// updateEndpoint adds or updates a backend. A new backend gets a random time since its last attempt, so that the
// instances do not all send to the same backend first. A backend that is listed with another start time is a new
// incarnation, whatever its state, and its measurements start anew. An entry without a start time indicates a new
// incarnation only if it is ready.
func (e *Engine) updateEndpoint(now Instant, endpoint Endpoint) {
	b, found := e.findOrAddBackend(endpoint.Backend)
	if !found {
		idleTime := time.Duration(e.random.Float64() * float64(maxInitialIdleTime))
		b.lastSentAt = now.Add(-idleTime)
	}
	indicatesStart := !endpoint.StartedAt.IsZero() || endpoint.State == EndpointReady
	isNewIncarnation := endpoint.StartedAt != b.startedAt && indicatesStart
	if isNewIncarnation {
		b.reset()
	}
	b.update(endpoint)
}

// assignRingDistances places the ready backends on a ring, in an order that all instances share, and computes for each
// how many fair shares lie between it and this instance's own share. An instance prefers the backends of its own share,
// so that the instances spread over the backends without exchanging messages.
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
