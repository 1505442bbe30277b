// Package dnszone implements a DNS zone and derives the list of backends from its records. A zone is parsed from a
// master file (RFC 1035) or restored from a snapshot. A dynamic update (RFC 2136) is atomic: it either creates a
// new version of the zone with all its changes, or has no effect.
//
// The package is deterministic and performs no I/O: it reads no clock, file or socket, and its results depend only
// on the arguments, so the same changes produce the same zone on every replica. docs/dns.md is the documentation
// for operators.
//
// The package implements the rules for records, serials, updates and replays, and keeps no global state. The
// records and backends of a Zone do not change after a function of this package has returned it. The methods of a
// Zone that only read are safe for concurrent use, even while a method derives a new zone (Update, Apply,
// WithStartTimesOf). Methods that derive a new zone must not be called concurrently on the same Zone, because
// copying a B-tree also modifies the original. A ReplayGuard is not safe for concurrent use. The caller that holds
// a zone and its guard must serialize these calls.
package dnszone

import (
	"maps"
	"strings"

	"github.com/miekg/dns"
	"github.com/tidwall/btree"
)

// Zone is one version of a zone. It is immutable: an update creates a new Zone, which shares all unchanged records
// and backends with the old one. The cost of an update therefore depends on the number of affected records, not on
// the size of the zone.
type Zone struct {
	Settings
	records          btree.Map[string, dns.RR]  // by recordKey
	backends         btree.Map[string, Backend] // by name, one for each SRV record, including those on standby
	backendByAddress btree.Map[string, string]  // backend names by address and port
	aliasedTargets   map[string]bool            // SRV targets that have a CNAME record
	priorityCounts   map[uint16]priorityCount
	servedPriority   uint16
	fileName         string         // name of the master file; set only while the file is parsed
	recordLines      map[dns.RR]int // line of each record in that file
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

// RRset returns the records of a name and type or, with type ANY, all records of the name. The caller must not
// modify the records.
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

// recordsWithPrefix returns the records whose recordKey begins with the prefix.
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

// NameExists reports whether a name or one of its descendants owns a record. A name with descendants exists even if
// it owns no records itself (RFC 4592, 2.2.2).
func (z *Zone) NameExists(name string) bool {
	found := false
	z.records.Scan(func(key string, _ dns.RR) bool {
		owner, _, _ := strings.Cut(key, keySeparator)
		found = dns.IsSubDomain(name, owner)
		return !found
	})
	return found
}

// WithStartTimesOf returns a copy of a newly parsed zone that replaces old at replacedNanos, in unix ns. Backends
// that are also in old keep the time at which they were added to the zone. The others count as added at
// replacedNanos, so their slow start begins then.
func (z *Zone) WithStartTimesOf(old *Zone, replacedNanos int64) *Zone {
	next := z.clone()
	z.backends.Scan(func(name string, backend Backend) bool {
		backend.Provenance.StartNanos = replacedNanos
		if oldBackend, ok := old.backends.Get(name); ok {
			backend.Provenance.StartNanos = oldBackend.Provenance.StartNanos
		}
		next.backends.Set(name, backend)
		return true
	})
	return next
}

// clone returns a copy of a zone from which the next version is made. The B-trees are copied on write, so the cost
// does not depend on their size. clone must not be called concurrently on the same zone, because btree.Map.Copy
// writes to its receiver.
func (z *Zone) clone() *Zone {
	return &Zone{
		Settings:         z.Settings,
		records:          *z.records.Copy(),
		backends:         *z.backends.Copy(),
		backendByAddress: *z.backendByAddress.Copy(),
		aliasedTargets:   maps.Clone(z.aliasedTargets),
		priorityCounts:   maps.Clone(z.priorityCounts),
		servedPriority:   z.servedPriority,
	}
}
