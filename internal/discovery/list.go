package discovery

import (
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
)

// The words for an endpoint's status.
const (
	StatusUp       = "up"
	StatusDraining = "draining"
	StatusRemoved  = "removed"
)

// Endpoint is a backend in a list.
type Endpoint struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	// Addresses are another source's: all addresses, where it is not one of IPv4 alone. They hold in place of
	// Address.
	Addresses       []netip.AddrPort `json:"-"`
	Zone            string           `json:"zone"`
	Group           uint16           `json:"group"`
	Status          string           `json:"status"` // StatusUp, StatusDraining or StatusRemoved
	Weight          float64          `json:"weight"`
	StartedAtMillis float64          `json:"since_ms"` // Unix time
}

// endpointList is a list in the discovery service's form.
type endpointList struct {
	Index     int64      `json:"index"`
	Snapshot  bool       `json:"snapshot"` // else changes since the index that was asked for
	Endpoints []Endpoint `json:"endpoints"`
}

// Check says what is wrong with a list in the discovery service's form, such as the one in the configuration.
// None at all is right.
func Check(text []byte) error {
	if len(text) == 0 {
		return nil
	}
	if _, err := decodeList(text); err != nil {
		return fmt.Errorf("known: %w", err) // the configuration's word for it
	}
	return nil
}

// decodeList decodes and checks a list.
func decodeList(text []byte) (*endpointList, error) {
	var list endpointList
	if err := json.Unmarshal(text, &list); err != nil {
		return nil, err
	}
	seen := map[string]bool{}
	for _, endpoint := range list.Endpoints {
		// Nobody can say which of two entries for one backend holds in a full snapshot; the last good list
		// stands. A delta may name one twice: its entries hold in their order.
		if list.Snapshot && seen[endpoint.Name] {
			return nil, fmt.Errorf("entry with name %q stands twice in a whole list", endpoint.Name)
		}
		seen[endpoint.Name] = true
		if !endpoint.isValid() {
			return nil, fmt.Errorf("entry with name %q and address %q", endpoint.Name, endpoint.Address)
		}
	}
	return &list, nil
}

// isValid reports whether the endpoint has a name, and an address unless it is removed.
func (e *Endpoint) isValid() bool {
	if e.Name == "" {
		return false
	}
	_, _, err := net.SplitHostPort(e.Address)
	return err == nil || e.Status == StatusRemoved
}
