package policy

import (
	"cmp"
	"slices"

	"fawnplank/policy/internal/estimate"
	"fawnplank/policy/internal/hash64"
)

// backend is what this instance knows about a backend.
type backend struct {
	id           BackendID
	zone         ZoneID
	group        GroupID
	startedAt    Instant // zero: long ago
	ready        bool
	gone         bool
	weight       float64 // stated capacity, relative to the others
	ringDistance float64 // fair shares of instances between this instance's own and the backend's

	inFlight               int
	lastSentAt             Instant
	lastAnswerAt           Instant // when it last answered or broke a connection, whatever the outcome
	lastSlowStartAttemptAt Instant // when it got its last attempt since its start, while warming up; zero: none yet

	outlier           outlierState
	latency           backendLatency
	softInFlightLimit float64 // attempts of this instance that it takes before backends ranked behind it
	rank              rank
}

// update copies the backend's entry of the endpoint list. Without a stated capacity all backends are equal.
func (b *backend) update(endpoint Endpoint) {
	b.zone = endpoint.Zone
	b.group = endpoint.Group
	b.startedAt = endpoint.StartedAt
	b.ready = endpoint.State == EndpointReady
	b.gone = endpoint.State == EndpointGone
	b.weight = cmp.Or(max(endpoint.Weight, 0), 1)
}

// reset forgets what is known about the backend's earlier incarnation. What was estimated at the last ranking
// stays until the next one.
func (b *backend) reset() {
	b.latency.mean = estimate.Mean{}
	b.outlier = outlierState{}
	b.lastSlowStartAttemptAt = Instant{}
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

// ring returns the ready backends in an order that all instances share, and their total weight.
func (e *Engine) ring() (ring []*backend, weight float64) {
	for _, b := range e.endpoints {
		if b.ready {
			ring = append(ring, b)
			weight += b.weight
		}
	}
	slices.SortFunc(ring, func(a, b *backend) int {
		return cmp.Compare(hash64.Mix(uint64(a.id)), hash64.Mix(uint64(b.id)))
	})
	return ring, weight
}

// markAllGone marks all backends as gone before a snapshot: those that it does not list stay so.
func (e *Engine) markAllGone() {
	for _, b := range e.endpoints {
		b.ready = false
		b.gone = true
	}
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
