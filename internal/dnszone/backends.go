package dnszone

import (
	"cmp"
	"net/netip"
	"slices"
)

// Provenance states where a backend in the list came from.
type Provenance struct {
	// StartNanos is when the backend was listed, in unix ns; 0 means long ago.
	StartNanos int64  `json:"started,omitempty"`
	File       string `json:"file,omitempty"`
	Line       int    `json:"line,omitempty"`
	Key        string `json:"key,omitempty"` // TSIG key of the update
	Serial     uint32 `json:"serial"`        // of the first zone that had the backend
}

// Backend is an entry of the list.
type Backend struct {
	Name             string // target:port, in lower case, without the final dot
	Addresses        []netip.AddrPort
	Zone             string // availability zone, as the attribute "zone" states it; not the DNS zone
	Group            uint16
	Draining         bool
	Weight           float64 // relative to an ordinary backend, whose weight is 1
	Priority         uint16
	StatedStartNanos int64 // the start stated by the records, unix ns; 0 if they state none
	Provenance       Provenance
}

// StartNanos returns when the backend started, in unix ns; 0 means long ago.
func (b Backend) StartNanos() int64 { return cmp.Or(b.StatedStartNanos, b.Provenance.StartNanos) }

// equal reports whether two backends are the same to the consumers of the list.
func (b Backend) equal(other Backend) bool {
	return b.Name == other.Name &&
		b.Zone == other.Zone &&
		b.Group == other.Group &&
		b.Draining == other.Draining &&
		b.Weight == other.Weight &&
		b.StartNanos() == other.StartNanos() &&
		slices.Equal(b.Addresses, other.Addresses)
}

// Backends returns the list in the order of names.
func (z *Zone) Backends() (list []Backend) {
	z.backends.Scan(func(_ string, backend Backend) bool {
		if z.serves(backend) {
			list = append(list, backend)
		}
		return true
	})
	return list
}

// BackendCount returns the length of the list without walking it, unlike Backends.
func (z *Zone) BackendCount() int { return z.priorities[z.servedPriority].total }

// serves reports whether a backend is in the list. The backends of the served priority are in the list (RFC
// 2782). Those of the priorities after it wait until no backend of the served priority is left.
func (z *Zone) serves(backend Backend) bool { return backend.Priority == z.servedPriority }

// priorityCount counts the backends of one SRV priority.
type priorityCount struct{ serving, total int }

// count adds delta to the number of backends with the priority of the given one.
func (z *Zone) count(backend Backend, delta int) {
	if z.priorities == nil {
		z.priorities = map[uint16]priorityCount{}
	}
	counted := z.priorities[backend.Priority]
	counted.total += delta
	if !backend.Draining {
		counted.serving += delta
	}
	if counted.total == 0 {
		delete(z.priorities, backend.Priority)
		return
	}
	z.priorities[backend.Priority] = counted
}

// electPriority chooses the priority to serve. This is the lowest priority with a backend that is not
// draining, or the lowest of all if every backend is draining.
func (z *Zone) electPriority() {
	elected := false
	for priority := range z.priorities {
		if !elected || z.priorityBefore(priority, z.servedPriority) {
			z.servedPriority = priority
			elected = true
		}
	}
}

func (z *Zone) priorityBefore(a, b uint16) bool {
	aServing := z.priorities[a].serving > 0
	bServing := z.priorities[b].serving > 0
	if aServing != bServing {
		return aServing
	}
	return a < b
}

// Diff compares two lists. It returns the new and changed backends, and the names of the removed ones.
func Diff(old, next *Zone) (updated []Backend, removed []string) {
	var diff listDiff
	next.backends.Scan(func(name string, _ Backend) bool {
		diff.compare(old, next, name)
		return true
	})
	old.backends.Scan(func(name string, _ Backend) bool {
		if _, ok := next.backends.Get(name); !ok {
			diff.compare(old, next, name)
		}
		return true
	})
	return diff.updated, diff.removed
}

// listDiff collects the differences between two lists.
type listDiff struct {
	updated []Backend
	removed []string
}

func (d *listDiff) compare(old, next *Zone, name string) {
	was, listedBefore := old.listed(name)
	is, listedNow := next.listed(name)
	switch {
	case listedNow && (!listedBefore || !was.equal(is)):
		d.updated = append(d.updated, is)
	case listedBefore && !listedNow:
		d.removed = append(d.removed, name)
	}
}

// listed returns a backend, and reports whether it is in the list.
func (z *Zone) listed(name string) (Backend, bool) {
	backend, ok := z.backends.Get(name)
	return backend, ok && z.serves(backend)
}
