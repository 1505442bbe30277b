package dispatch

import "fawnplank/policy"

// incarnation identifies the process of a backend, as far as the endpoint list shows it, and the processes with which
// it shares idempotency keys.
type incarnation struct {
	startedAt policy.Instant
	zone      policy.ZoneID
	group     policy.GroupID
}

// incarnations holds the incarnations of the backends that are listed. It is not safe for concurrent use.
type incarnations map[policy.BackendID]incarnation

// update applies an update of the endpoint list, and returns the backends that are another incarnation than before.
func (s incarnations) update(kind policy.UpdateKind, endpoints []policy.Endpoint) (changed []policy.BackendID) {
	if kind == policy.FullSnapshot || kind == policy.CachedSnapshot {
		s.removeUnlisted(endpoints)
	}
	for _, endpoint := range endpoints {
		if endpoint.State == policy.EndpointGone {
			delete(s, endpoint.Backend)
			continue
		}
		current := incarnation{startedAt: endpoint.StartedAt, zone: endpoint.Zone, group: endpoint.Group}
		if former, known := s[endpoint.Backend]; known && former != current {
			changed = append(changed, endpoint.Backend)
		}
		s[endpoint.Backend] = current
	}
	return changed
}

// removeUnlisted removes the backends that a full snapshot does not list.
func (s incarnations) removeUnlisted(endpoints []policy.Endpoint) {
	listed := make(map[policy.BackendID]bool, len(endpoints))
	for _, endpoint := range endpoints {
		listed[endpoint.Backend] = true
	}
	for backend := range s {
		if !listed[backend] {
			delete(s, backend)
		}
	}
}
