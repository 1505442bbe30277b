package policy

import (
	"cmp"
	"slices"

	"fawnplank/policy/internal/estimate"
	"fawnplank/policy/internal/hash64"
)

// backend holds the state that this instance keeps for a backend.
type backend struct {
	id           BackendID
	zone         ZoneID
	group        GroupID
	startedAt    Instant // zero: long ago
	ready        bool
	gone         bool
	weight       float64 // stated capacity, relative to the others
	ringDistance float64 // number of fair shares from this instance's own to the backend's, on the ring

	inFlight               int
	lastSentAt             Instant
	lastAnswerAt           Instant // when an attempt last ended with a response or a lost connection, or a response began
	lastSlowStartAttemptAt Instant // of the last attempt sent while warming up, since its start; zero: none yet

	outlier           outlierState
	latency           backendLatency
	softInFlightLimit float64 // attempts of this instance in flight above which lower-ranked backends come first
	rank              rank
}

// update copies the backend's entry of the endpoint list. A backend without a stated weight gets a weight of 1.
func (b *backend) update(endpoint Endpoint) {
	b.zone = endpoint.Zone
	b.group = endpoint.Group
	b.startedAt = endpoint.StartedAt
	b.ready = endpoint.State == EndpointReady
	b.gone = endpoint.State == EndpointGone
	b.weight = cmp.Or(max(endpoint.Weight, 0), 1)
}

// reset discards the measurements and the outlier state of the backend's earlier incarnation. The latency estimate
// stays until the next ranking replaces it.
func (b *backend) reset() {
	b.latency.mean = estimate.Mean{}
	b.outlier = outlierState{}
	b.lastSlowStartAttemptAt = Instant{}
}

// findOrAddBackend returns the backend with the given id, and adds it if it is not found.
func (e *Engine) findOrAddBackend(id BackendID) (b *backend, found bool) {
	b, found = e.backends[id]
	if !found {
		b = &backend{id: id}
		e.backends[id] = b
		e.endpoints = append(e.endpoints, b)
	}
	return b, found
}

// ring returns the ready backends, ordered by a hash of their ids so that all instances get the same order, and their
// total weight.
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

// markAllGone marks all backends as gone before a snapshot is applied: those that the snapshot does not list stay gone.
func (e *Engine) markAllGone() {
	for _, b := range e.endpoints {
		b.ready = false
		b.gone = true
	}
}

// dropGone removes the backends that are gone and have no attempt in flight. Replacements get new ids, so the backends
// would otherwise grow without bound.
func (e *Engine) dropGone() {
	e.endpoints = slices.DeleteFunc(e.endpoints, func(b *backend) bool {
		if b.gone && b.inFlight == 0 {
			delete(e.backends, b.id)
			return true
		}
		return false
	})
}
