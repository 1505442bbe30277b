package dnszone

import (
	"cmp"
	"net/netip"
	"slices"
)

// Provenance identifies the master file or the update that added a backend to the zone. It is part of the stored
// zone.
type Provenance struct {
	// StartNanos is when the backend was added to the zone, in unix ns. It is the start time of a backend whose
	// records announce none. A value of 0 means a start in the distant past.
	StartNanos int64  `json:"started,omitempty"`
	File       string `json:"file,omitempty"` // master file; empty if an update added the backend
	Line       int    `json:"line,omitempty"` // of the SRV record in the master file, from 1
	Key        string `json:"key,omitempty"`  // name of the TSIG key that signed the update
	Serial     uint32 `json:"serial"`         // of the first version of the zone with the backend
}

// Backend is a server of the API that an SRV record of the zone describes.
type Backend struct {
	Name                string           // target:port, in lower case, without the trailing dot of the target
	Addresses           []netip.AddrPort // at least one, sorted
	Zone                string           // availability zone, from the attribute "zone"; not the DNS zone
	Group               uint16           // from the attribute "group"; 0 without it
	Draining            bool             // receives no new requests
	Weight              float64          // share of the requests, relative to a backend of weight 1
	Priority            uint16           // of the SRV record; lower values are preferred
	AnnouncedStartNanos int64            // start time from the attribute "since", in unix ns; 0 without it
	Provenance          Provenance
}

// StartNanos returns when the backend started, in unix ns; 0 means a start in the distant past.
func (b Backend) StartNanos() int64 { return cmp.Or(b.AnnouncedStartNanos, b.Provenance.StartNanos) }

// equal reports whether two backends are equal in every field that consumers of the backend list receive. These
// exclude the priority and the provenance, apart from the start time.
func (b Backend) equal(other Backend) bool {
	return b.Name == other.Name &&
		b.Zone == other.Zone &&
		b.Group == other.Group &&
		b.Draining == other.Draining &&
		b.Weight == other.Weight &&
		b.StartNanos() == other.StartNanos() &&
		slices.Equal(b.Addresses, other.Addresses)
}

// Backends returns the served backends, which are those of the served priority, sorted by name.
func (z *Zone) Backends() (served []Backend) {
	z.backends.Scan(func(_ string, backend Backend) bool {
		if z.isServed(backend) {
			served = append(served, backend)
		}
		return true
	})
	return served
}

// BackendCount returns the number of served backends. Unlike Backends, it does not scan the zone.
func (z *Zone) BackendCount() int { return z.priorityCounts[z.servedPriority].total }

// servedBackend returns the backend with the given name, and reports whether it is served.
func (z *Zone) servedBackend(name string) (Backend, bool) {
	backend, ok := z.backends.Get(name)
	return backend, ok && z.isServed(backend)
}
