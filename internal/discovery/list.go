package discovery

import (
	"encoding/json"
	"fmt"
	"net"
	"net/netip"

	"fawnplank/policy"
)

// The possible values of an endpoint's status.
const (
	StatusUp       = "up"
	StatusDraining = "draining"
	StatusRemoved  = "removed"
)

// Endpoint is a backend in a list.
type Endpoint struct {
	// Name identifies the backend. It is required.
	Name string `json:"name"`
	// Address is the backend's host and port. It is required unless the backend is removed.
	Address string `json:"address"`
	// Addresses holds all addresses of a backend, unless the backend has a single IPv4 address. Only sources other
	// than the discovery service set it. If set, it replaces Address.
	Addresses []netip.AddrPort `json:"-"`
	// Zone is the name of the backend's zone.
	Zone string `json:"zone"`
	// Group is the group of backends that share their idempotency keys.
	Group uint16 `json:"group"`
	// Status is StatusUp, StatusDraining or StatusRemoved. Any other value is treated as StatusDraining.
	Status string `json:"status"`
	// Weight is the backend's capacity, relative to the others.
	Weight float64 `json:"weight"`
	// StartedAtMillis is the start time of the backend in milliseconds of Unix time. 0 means long ago.
	StartedAtMillis float64 `json:"since_ms"`
}

// endpointList is a list in the discovery service's format.
type endpointList struct {
	Index     int64      `json:"index"`
	Snapshot  bool       `json:"snapshot"` // if false, the list holds the changes since the requested index
	Endpoints []Endpoint `json:"endpoints"`
}

// updateKind returns the kind of the update that the engine gets for a list from the service.
func (l *endpointList) updateKind() policy.UpdateKind {
	if l.Snapshot {
		return policy.FullSnapshot
	}
	return policy.Delta
}

// ValidateCachedList returns an error if text is not a valid list in the discovery service's format, such as the one in
// the configuration. Empty text is valid.
func ValidateCachedList(text []byte) error {
	if len(text) == 0 {
		return nil
	}
	_, err := decodeCachedList(text)
	return err
}

// decodeCachedList decodes the list in the configuration. Its error begins with the configuration key of the list.
func decodeCachedList(text []byte) (*endpointList, error) {
	list, err := decodeList(text)
	if err != nil {
		return nil, fmt.Errorf("known: %w", err)
	}
	return list, nil
}

// decodeList decodes and checks a list.
func decodeList(text []byte) (*endpointList, error) {
	var list endpointList
	if err := json.Unmarshal(text, &list); err != nil {
		return nil, err
	}
	seen := map[string]bool{}
	for _, endpoint := range list.Endpoints {
		// In a full snapshot, two entries for one backend are ambiguous, so the snapshot is rejected and the last
		// valid list stays in use. A delta may name a backend twice: its entries apply in order.
		if list.Snapshot && seen[endpoint.Name] {
			return nil, fmt.Errorf("entry with name %q appears more than once in a full snapshot", endpoint.Name)
		}
		seen[endpoint.Name] = true
		if !endpoint.isValid() { // the error names the entry, but not which field is missing or invalid: see isValid
			return nil, fmt.Errorf("entry with name %q and address %q", endpoint.Name, endpoint.Address)
		}
	}
	return &list, nil
}

// isValid reports whether the endpoint has a name and, unless it is removed, an address.
func (e *Endpoint) isValid() bool {
	if e.Name == "" {
		return false
	}
	_, _, err := net.SplitHostPort(e.Address)
	return err == nil || e.Status == StatusRemoved
}
