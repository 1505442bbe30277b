// Package dnszone models a DNS zone and derives from its records the list of backends. A zone is parsed from a
// master file (RFC 1035) or restored from a snapshot. A dynamic update (RFC 2136) makes a new zone from an old
// one, completely or not at all.
//
// The package is pure: it reads no clock, no file and no socket, and its results depend only on the
// arguments, so that the same changes give the same zone on every replica. docs/dns.md is the operators'
// page.
//
// The package owns the rules for records, serials, updates and replays, and no state between calls. The
// records and backends of a Zone do not change once a function of this package has returned it. Its methods
// that read are safe for concurrent use, also during one that derives a new zone (Update, Apply, WithStartTimesOf).
// Of those, one at a time may be called on the same Zone, because the copy of its trees marks both copies. A
// ReplayGuard is not safe for concurrent use. The owner of a zone and its guard serializes these calls.
package dnszone

import (
	"maps"
	"strings"

	"github.com/miekg/dns"
	"github.com/tidwall/btree"
)

// Zone is one version of a zone. It never changes: an update makes a new zone, which shares all unchanged
// records and backends with the old one. The cost of an update therefore depends on what it touches, not on
// the size of the zone.
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

// Serial returns the serial of the zone's SOA record.
func (z *Zone) Serial() uint32 { return z.soa().Serial }

// RRset returns the records of a name and type or, with type ANY, all records of the name. The caller must
// not modify them.
func (z *Zone) RRset(name string, rrtype uint16) []dns.RR {
	if rrtype == dns.TypeANY {
		return z.recordsWithPrefix(namePrefix(dns.CanonicalName(name)))
	}
	return z.recordsWithPrefix(rrsetPrefix(dns.CanonicalName(name), rrtype))
}

// srvRecords returns the service's SRV records with the given target.
func (z *Zone) srvRecords(targetName string) []dns.RR {
	return z.recordsWithPrefix(srvTargetPrefix(z.Service, targetName))
}

// recordsWithPrefix returns the records whose recordKey has the prefix.
func (z *Zone) recordsWithPrefix(prefix string) (rrs []dns.RR) {
	z.records.Ascend(prefix, func(key string, rr dns.RR) bool {
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

// NameExists reports whether any record is at or below a name. If so, the name exists even without
// records of its own.
func (z *Zone) NameExists(name string) bool {
	found := false
	z.records.Scan(func(key string, _ dns.RR) bool {
		owner, _, _ := strings.Cut(key, keySeparator)
		found = dns.IsSubDomain(name, owner)
		return !found
	})
	return found
}

// WithStartTimesOf returns a newly parsed zone as the one that replaces old at atNanos, in unix ns. Backends that
// old also has keep their start; the others are new since atNanos, and warm up from then on.
func (z *Zone) WithStartTimesOf(old *Zone, atNanos int64) *Zone {
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

// clone copies a zone as the basis for the next one. The trees are copied on write, so the cost does not depend
// on their size. It must not be called on one zone at the same time, as btree.Map.Copy writes to its receiver.
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
