package policy

import (
	"cmp"
	"slices"

	"fawnplank/internal/estimate"
	"fawnplank/internal/hash64"
)

// backend is what this instance knows about a backend.
type backend struct {
	id        BackendID
	zone      ZoneID
	group     GroupID
	startedAt int64 // 0: long ago
	ready     bool
	gone      bool
	capacity  float64 // relative to the others
	distance  float64 // fair shares of instances between this instance's own and the backend's

	inFlight        int
	lastSentAt      int64
	lastAnswerAt    int64
	lastSlowStartAt int64 // when it got its last attempt since its start, while warming up; 0: none yet
	health          health

	latency            estimate.Mean // of its own
	latencyConcurrency float64       // attempts in flight there while that was measured
	estimatedLatency   float64       // 0: unknown
	concurrencyLimit   float64       // attempts in flight that it takes before backends ranked behind it
	rank               rank
}

// health records what a backend's failures led to.
type health struct {
	ejectedUntil      int64 // no attempts are sent before
	ejections         int   // by eject, since the last success
	consecutiveErrors int
}

// rank orders backends: the lowest cost first, then the nearest, then the one that is most due.
type rank struct {
	cost float64
	due  float64
}

// load returns how full one more attempt would make the backend, as a share of its concurrency limit.
func (b *backend) load() float64 { return float64(b.inFlight+1) / b.concurrencyLimit }

// update copies the backend's entry of the endpoint list.
func (b *backend) update(endpoint Endpoint) {
	b.zone, b.group = endpoint.Zone, endpoint.Group
	b.startedAt = endpoint.StartedAt
	b.ready = endpoint.State == EndpointReady
	b.gone = endpoint.State == EndpointGone
	b.capacity = cmp.Or(max(endpoint.Capacity, 0), 1) // none stated: all are equal
}

// reset forgets what is known about the backend's earlier incarnation.
func (b *backend) reset() {
	b.latency = estimate.Mean{}
	b.health = health{}
	b.lastSlowStartAt = 0
}

// findOrAddBackend returns the backend with this id, and adds it if it is not known yet.
func (e *Engine) findOrAddBackend(id BackendID) (b *backend, found bool) {
	b, found = e.backends[id]
	if !found {
		b = &backend{id: id}
		e.backends[id] = b
		e.endpoints = append(e.endpoints, b)
	}
	return b, found
}

// ring returns the ready backends in an order that all instances share, and their total capacity.
func (e *Engine) ring() (ring []*backend, capacity float64) {
	for _, b := range e.endpoints {
		if b.ready {
			ring = append(ring, b)
			capacity += b.capacity
		}
	}
	slices.SortFunc(ring, func(a, b *backend) int {
		return cmp.Compare(hash64.Mix(uint64(a.id)), hash64.Mix(uint64(b.id)))
	})
	return ring, capacity
}

// dropGone forgets backends that are gone and have nothing in flight, since new ones keep coming under new
// ids.
func (e *Engine) dropGone() {
	e.endpoints = slices.DeleteFunc(e.endpoints, func(b *backend) bool {
		if b.gone && b.inFlight == 0 {
			delete(e.backends, b.id)
			return true
		}
		return false
	})
}

// rankBackends orders the backends that are ready.
func (e *Engine) rankBackends(now int64) {
	e.ranked = e.ranked[:0]
	e.effectiveBackends, e.effectiveCapacity = 0, 0
	for _, b := range e.endpoints {
		if b.ready {
			e.ranked = append(e.ranked, b)
			e.rankBackend(now, b)
		}
	}
	slices.SortFunc(e.ranked, (*backend).compareRank)
}

// markAllGone marks all backends as gone before a snapshot: those that it does not list stay so.
func (e *Engine) markAllGone() {
	for _, b := range e.endpoints {
		b.ready, b.gone = false, true
	}
}

// warmingUp reports whether a backend may still lack a part of its capacity.
func (e *Engine) warmingUp(now int64, b *backend) bool {
	return b.startedAt > 0 && now-b.startedAt < e.settings.SlowStartDuration
}

// ageBeyond returns by how much a backend's age exceeds a duration, or 0.
func (b *backend) ageBeyond(now, duration int64) float64 {
	return float64(max(now-b.startedAt-duration, 0))
}
