package dnszone

import (
	"maps"
	"slices"

	"github.com/miekg/dns"
)

// draft is a zone with changes applied to it that are not yet known to be valid. It is used by one call and
// dropped if that call fails.
type draft struct {
	base            *Zone
	next            *Zone
	touchedNames    map[string]bool // owner names and targets whose backends must be rebuilt
	rebuiltBackends map[string]bool // names of the backends that were rebuilt or removed
	deleted         map[string]bool // records in master file format, net of additions
	added           map[string]bool // records in master file format, net of deletions
}

func (z *Zone) newDraft() *draft {
	return &draft{
		base:            z,
		next:            z.clone(),
		touchedNames:    map[string]bool{},
		rebuiltBackends: map[string]bool{},
		deleted:         map[string]bool{},
		added:           map[string]bool{},
	}
}

// rrset returns the records of a name and type as they are after the changes so far.
func (d *draft) rrset(name string, rrtype uint16) []dns.RR { return d.next.RRset(name, rrtype) }

// nameInUse reports whether a name has records (RFC 2136, 2.4.4).
func (d *draft) nameInUse(name string) bool { return len(d.rrset(name, dns.TypeANY)) > 0 }

// find returns the existing record that differs at most in its TTL, or nil.
func (d *draft) find(rr dns.RR) dns.RR {
	existing, _ := d.next.records.Get(recordKey(rr))
	return existing
}

// touch marks the name whose backends depend on a record.
func (d *draft) touch(rr dns.RR) {
	name := rr.Header().Name
	if srv, ok := rr.(*dns.SRV); ok {
		name = srv.Target
	}
	d.touchedNames[name] = true
}

// add adds a record.
func (d *draft) add(rr dns.RR) {
	d.touch(rr)
	d.next.records.Set(recordKey(rr), rr)
	recordNet(rr.String(), d.added, d.deleted)
}

// remove removes a record.
func (d *draft) remove(rr dns.RR) {
	d.touch(rr)
	d.next.records.Delete(recordKey(rr))
	recordNet(rr.String(), d.deleted, d.added)
}

// recordNet adds a record to done, unless it cancels the same record in opposite.
func recordNet(record string, done, opposite map[string]bool) {
	if opposite[record] {
		delete(opposite, record)
		return
	}
	done[record] = true
}

// finish checks the draft, rebuilds the backends of the touched names and returns the step to the new zone.
func (d *draft) finish(atNanos int64, signature Signature) (*Transition, error) {
	soa := d.next.soa()
	if soa == nil {
		return nil, errNotOneSOA
	}
	if err := d.next.checkSize(); err != nil {
		return nil, err
	}
	provenance := Provenance{StartNanos: atNanos, Key: signature.KeyName, Serial: soa.Serial}
	if err := d.rebuildBackends(func(string, dns.RR) Provenance { return provenance }); err != nil {
		return nil, err
	}
	change := &Change{
		FromSerial:    d.base.Serial(),
		ToSerial:      soa.Serial,
		Deleted:       slices.Sorted(maps.Keys(d.deleted)),
		Added:         slices.Sorted(maps.Keys(d.added)),
		AcceptedNanos: atNanos,
		Signature:     signature,
	}
	updated, removed := d.listDiff()
	return &Transition{Zone: d.next, Change: change, Updated: updated, Removed: removed}, nil
}

// listDiff returns the differences between the lists of the base and of the next zone. Only rebuilt backends
// can differ, unless another priority is served.
func (d *draft) listDiff() (updated []Backend, removed []string) {
	if d.base.servedPriority != d.next.servedPriority {
		return DiffBackends(d.base, d.next)
	}
	var diff listDiff
	for _, name := range slices.Sorted(maps.Keys(d.rebuiltBackends)) {
		diff.compare(d.base, d.next, name)
	}
	return diff.updated, diff.removed
}
