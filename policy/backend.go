package policy

import (
	"cmp"
	"slices"

	"fawnplank/internal/estimate"
)

// backend is what this instance knows of a backend.
type backend struct {
	id        BackendID
	zone      ZoneID
	group     GroupID
	startedAt int64 // 0: long ago
	ready     bool
	gone      bool
	capacity  float64 // relative to the others
	distance  float64 // fair shares of instances between this instance's own and the one that the backend lies in

	inFlight        int
	lastSentAt      int64
	lastAnswerAt    int64
	lastSlowStartAt int64 // when it got its last attempt since its start, while warming up; 0: none yet
	health          health

	latency            estimate.Mean // of its own
	latencyConcurrency float64       // attempts in flight there while that was measured
	estimatedLatency   float64       // 0: unknown
	concurrencyLimit   float64       // attempts in flight up to which it is filled in its turn
	rank               rank
}

// health is what a backend's failures led to.
type health struct {
	ejectedUntil      int64 // no attempts before
	symptoms          int   // since the last good answer
	consecutiveErrors int
}

// rank is what backends are ordered by: the lowest cost first, then the nearest, then the one that is most
// due.
type rank struct {
	cost float64
	due  float64
}

func (b *backend) compareRank(other *backend) int {
	return cmp.Or(cmp.Compare(b.rank.cost, other.rank.cost), cmp.Compare(b.distance, other.distance),
		cmp.Compare(other.rank.due, b.rank.due), cmp.Compare(b.id, other.id))
}

// load returns how full one more attempt would make the backend, as a share of its concurrency limit.
func (b *backend) load() float64 { return float64(b.inFlight+1) / b.concurrencyLimit }

// update takes over what the endpoint list says of the backend.
func (b *backend) update(endpoint Endpoint) {
	b.zone, b.group = endpoint.Zone, endpoint.Group
	b.startedAt = endpoint.StartedAt
	b.ready = endpoint.State == EndpointReady
	b.gone = endpoint.State == EndpointGone
	b.capacity = cmp.Or(max(endpoint.Capacity, 0), 1) // none stated: all are alike
}

// dropGone forgets the backends that are gone once nothing is in flight there: others come under new ids for
// ever.
func (e *Engine) dropGone() {
	e.endpoints = slices.DeleteFunc(e.endpoints, func(b *backend) bool {
		if b.gone && b.inFlight == 0 {
			delete(e.backends, b.id)
			return true
		}
		return false
	})
}
