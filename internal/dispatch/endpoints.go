package dispatch

import (
	"maps"
	"slices"

	"fawnplank/policy"
)

// UpdateEndpoints passes the list of backends, or changes to it, to the engine. It cancels attempts that
// still wait for a connection to a backend that is now draining or gone, since connecting may take longer than
// the backend stays up, or that is another incarnation: the decision for the attempt was about the former one. The kind
// policy.UpdateFailed, which has no endpoints, means that the watch has failed.
func (d *Dispatcher) UpdateEndpoints(kind policy.UpdateKind, endpoints []policy.Endpoint) {
	d.callEngine(func(now policy.Instant) {
		clocks := clockReadings{now: now, wallNow: d.wallNow()}
		endpoints := d.backendStarts.translate(clocks, kind, endpoints)
		d.engine.UpdateEndpoints(now, kind, endpoints)
		d.cancelUnusableAttempts(newEndpointUpdate(kind, endpoints))
		for _, backend := range d.incarnations.update(kind, endpoints) {
			d.cancelWaitingAt(backend)
		}
	})
}

// cancelWaitingAt cancels the attempts at a backend that have not started. They are not held against the backend. The
// caller holds the lock.
func (d *Dispatcher) cancelWaitingAt(backend policy.BackendID) {
	for _, id := range slices.Sorted(maps.Keys(d.requests)) {
		for _, attempt := range d.requests[id].attempts {
			if attempt.Backend == backend {
				attempt.cancelWaiting(policy.LocalFailure)
			}
		}
	}
}

// cancelUnusableAttempts cancels attempts that have not started and whose backends the update makes unavailable.
// The caller holds the lock.
func (d *Dispatcher) cancelUnusableAttempts(update endpointUpdate) {
	// The order of the requests is fixed, so that the order of the engine's effects is too.
	for _, id := range slices.Sorted(maps.Keys(d.requests)) {
		for _, attempt := range d.requests[id].attempts {
			if update.makesUnavailable(attempt.Backend) {
				attempt.cancelWaiting(policy.ConnectFailed)
			}
		}
	}
}

// endpointUpdate holds the states of backends from one update.
type endpointUpdate struct {
	isComplete bool // backends that are not in states are gone
	states     map[policy.BackendID]policy.EndpointState
}

func newEndpointUpdate(kind policy.UpdateKind, endpoints []policy.Endpoint) endpointUpdate {
	update := endpointUpdate{
		isComplete: kind == policy.FullSnapshot || kind == policy.CachedSnapshot,
		states:     make(map[policy.BackendID]policy.EndpointState, len(endpoints)),
	}
	for _, endpoint := range endpoints {
		update.states[endpoint.Backend] = endpoint.State
	}
	return update
}

// makesUnavailable reports whether no new attempt may start at a backend: the update lists it as draining or gone,
// or is a complete list without it.
func (u endpointUpdate) makesUnavailable(backend policy.BackendID) bool {
	state, isListed := u.states[backend]
	if !isListed {
		return u.isComplete
	}
	return state != policy.EndpointReady
}
