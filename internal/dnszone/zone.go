// Package dnszone holds a DNS zone and what its records say about the backends. Master files (RFC 1035) or
// records go in, and a list of backends comes out. A dynamic update (RFC 2136) makes a new zone from an old
// one, completely or not at all.
//
// The package is pure: it reads no clock, no file and no socket, and its results depend only on the
// arguments, so that the same changes give the same zone on every replica. docs/dns.md is the operators'
// page.
//
// A Zone is immutable once a function of this package has returned it, and safe for concurrent use. A
// ReplayGuard is not safe for concurrent use: its owner serializes the calls.
package dnszone

import (
	"fmt"
	"maps"
	"strings"

	"github.com/miekg/dns"
	"github.com/tidwall/btree"
)

// Settings names a zone, and the service in it that lists the backends. Names are fully qualified.
type Settings struct {
	Origin  string // name of the zone
	Service string // owner name of the SRV records
}

// Canonical returns the settings with both names in canonical form, or an error if one of them is not usable.
func (s Settings) Canonical() (Settings, error) {
	for _, name := range []string{s.Origin, s.Service} {
		if _, ok := dns.IsDomainName(name); !ok || name == "" || name == "." {
			return s, fmt.Errorf("%q is no name of a zone", name)
		}
	}
	s.Origin = dns.CanonicalName(s.Origin)
	s.Service = dns.CanonicalName(s.Service)
	if !dns.IsSubDomain(s.Origin, s.Service) {
		return s, fmt.Errorf("service %s does not lie in the zone %s", s.Service, s.Origin)
	}
	return s, nil
}

// Zone is one version of a zone. It never changes: an update makes a new zone, which shares with the old one
// everything that stayed the same. The cost of an update therefore depends on what it touches, not on what
// the zone holds.
type Zone struct {
	Settings
	records          btree.Map[string, dns.RR]  // by recordKey
	backends         btree.Map[string, Backend] // of all SRV records, by name, including standby priorities
	backendByAddress btree.Map[string, string]  // name of the backend at an address
	aliasedTargets   map[string]bool            // SRV targets whose addresses are behind a CNAME
	priorities       map[uint16]priorityCount
	servedPriority   uint16
	file             string         // name of the master file, set only in a zone just parsed
	lines            map[dns.RR]int // of the records in that file
}

// soa returns the SOA record, or nil if the zone does not have exactly one.
func (z *Zone) soa() *dns.SOA {
	if rrset := z.RRset(z.Origin, dns.TypeSOA); len(rrset) == 1 {
		return rrset[0].(*dns.SOA)
	}
	return nil
}

// Serial returns the zone's serial.
func (z *Zone) Serial() uint32 { return z.soa().Serial }

// RRset returns the records of a name and type or, with type ANY, all records of the name. The caller must
// not modify them.
func (z *Zone) RRset(name string, rrtype uint16) (rrs []dns.RR) {
	prefix := keyPrefix(dns.CanonicalName(name), rrtype)
	if rrtype == dns.TypeANY {
		prefix = dns.CanonicalName(name) + "\x00"
	}
	return recordsWithPrefix(&z.records, prefix)
}

func recordsWithPrefix(records *btree.Map[string, dns.RR], prefix string) (rrs []dns.RR) {
	records.Ascend(prefix, func(key string, rr dns.RR) bool {
		if !strings.HasPrefix(key, prefix) {
			return false
		}
		rrs = append(rrs, rr)
		return true
	})
	return rrs
}

// Records returns all records, the SOA first.
func (z *Zone) Records() []dns.RR {
	all := []dns.RR{z.soa()}
	z.records.Scan(func(_ string, rr dns.RR) bool {
		if rr.Header().Rrtype != dns.TypeSOA {
			all = append(all, rr)
		}
		return true
	})
	return all
}

// HasDescendants reports whether any record is at or below a name. If so, the name exists even without
// records of its own.
func (z *Zone) HasDescendants(name string) bool {
	found := false
	z.records.Scan(func(key string, _ dns.RR) bool {
		owner, _, _ := strings.Cut(key, "\x00")
		found = dns.IsSubDomain(name, owner)
		return !found
	})
	return found
}

// Replacing returns a newly parsed zone as the one that replaces old at atNanos. Backends that old also has
// keep their start; the others are new since atNanos, and warm up from then on.
func (z *Zone) Replacing(old *Zone, atNanos int64) *Zone {
	next := z.clone()
	z.backends.Scan(func(name string, backend Backend) bool {
		backend.Provenance.StartNanos = atNanos
		if was, ok := old.backends.Get(name); ok {
			backend.Provenance.StartNanos = was.Provenance.StartNanos
		}
		next.backends.Set(name, backend)
		return true
	})
	return next
}

// clone copies a zone as the basis for the next one. The trees are copied on write, so the cost is small
// whatever they hold.
func (z *Zone) clone() *Zone {
	return &Zone{
		Settings:         z.Settings,
		records:          *z.records.Copy(),
		backends:         *z.backends.Copy(),
		backendByAddress: *z.backendByAddress.Copy(),
		aliasedTargets:   maps.Clone(z.aliasedTargets),
		priorities:       maps.Clone(z.priorities),
		servedPriority:   z.servedPriority,
	}
}
