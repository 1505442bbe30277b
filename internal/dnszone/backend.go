package dnszone

import (
	"cmp"
	"net/netip"
	"slices"
)

// Provenance states which master file or update added a backend. Its fields are stored.
type Provenance struct {
	// StartNanos is when the backend was listed, in unix ns; 0 means long ago.
	StartNanos int64  `json:"started,omitempty"`
	File       string `json:"file,omitempty"` // master file; empty if an update added the backend
	Line       int    `json:"line,omitempty"` // of the SRV record in the master file, from 1
	Key        string `json:"key,omitempty"`  // TSIG key of the update
	Serial     uint32 `json:"serial"`         // of the first zone that had the backend
}

// Backend is a server of the API, as the records of the zone describe it.
type Backend struct {
	Name                string           // target:port, in lower case, without the final dot
	Addresses           []netip.AddrPort // at least one, sorted
	Zone                string           // availability zone, as the attribute "zone" states it; not the DNS zone
	Group               uint16           // as the attribute "group" states it; 0 if it states none
	Draining            bool             // takes no new work
	Weight              float64          // relative to an ordinary backend, whose weight is 1
	Priority            uint16           // of the SRV record; the lowest is served first
	AnnouncedStartNanos int64            // the start stated by the records, unix ns; 0 if they state none
	Provenance          Provenance
}

// StartNanos returns when the backend started, in unix ns; 0 means long ago.
func (b Backend) StartNanos() int64 { return cmp.Or(b.AnnouncedStartNanos, b.Provenance.StartNanos) }

// equal reports whether two backends are the same to the consumers of the list, which get neither the priority
// nor the provenance.
func (b Backend) equal(other Backend) bool {
	return b.Name == other.Name &&
		b.Zone == other.Zone &&
		b.Group == other.Group &&
		b.Draining == other.Draining &&
		b.Weight == other.Weight &&
		b.StartNanos() == other.StartNanos() &&
		slices.Equal(b.Addresses, other.Addresses)
}

// Backends returns the list: the backends of the served priority, in the order of names.
func (z *Zone) Backends() (list []Backend) {
	z.backends.Scan(func(_ string, backend Backend) bool {
		if z.serves(backend) {
			list = append(list, backend)
		}
		return true
	})
	return list
}

// BackendCount returns the length of the list. Unlike Backends, it does not scan the zone.
func (z *Zone) BackendCount() int { return z.priorities[z.servedPriority].total }

// listed returns a backend by its name, and reports whether it is in the list.
func (z *Zone) listed(name string) (Backend, bool) {
	backend, ok := z.backends.Get(name)
	return backend, ok && z.serves(backend)
}
