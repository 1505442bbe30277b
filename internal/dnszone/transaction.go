package dnszone

import (
	"maps"
	"slices"

	"github.com/miekg/dns"
)

// transaction applies changes to a copy of a zone. The copy becomes the next version of the zone only if commit
// succeeds; otherwise it is discarded. A transaction is used by a single call of an exported function.
type transaction struct {
	base            *Zone
	next            *Zone
	affectedNames   map[string]bool // SRV targets, and owner names of other records, whose backends must be rebuilt
	rebuiltBackends map[string]bool // names of the backends that were rebuilt or removed
	deleted         map[string]bool // in master file format, without records that were added again
	added           map[string]bool // in master file format, without records that were deleted again
}

func (z *Zone) newTransaction() *transaction {
	return &transaction{
		base:            z,
		next:            z.clone(),
		affectedNames:   map[string]bool{},
		rebuiltBackends: map[string]bool{},
		deleted:         map[string]bool{},
		added:           map[string]bool{},
	}
}

// rrset returns the records of a name and type, including the changes made by the transaction so far.
func (tx *transaction) rrset(name string, rrtype uint16) []dns.RR { return tx.next.RRset(name, rrtype) }

// nameInUse reports whether a name owns at least one record (RFC 2136, 2.4.4).
func (tx *transaction) nameInUse(name string) bool { return len(tx.rrset(name, dns.TypeANY)) > 0 }

// find returns the existing record that is equal to rr in everything but possibly the TTL, or nil.
func (tx *transaction) find(rr dns.RR) dns.RR {
	existing, _ := tx.next.records.Get(recordKey(rr))
	return existing
}

// markAffected marks the name whose backends depend on a record: the target of an SRV record, or else the owner
// name.
func (tx *transaction) markAffected(rr dns.RR) {
	name := rr.Header().Name
	if srv, ok := rr.(*dns.SRV); ok {
		name = srv.Target
	}
	tx.affectedNames[name] = true
}

func (tx *transaction) add(rr dns.RR) {
	tx.markAffected(rr)
	tx.next.records.Set(recordKey(rr), rr)
	recordNetChange(rr.String(), tx.added, tx.deleted)
}

func (tx *transaction) remove(rr dns.RR) {
	tx.markAffected(rr)
	tx.next.records.Delete(recordKey(rr))
	recordNetChange(rr.String(), tx.deleted, tx.added)
}

// recordNetChange adds a record to changes. If inverse contains the record, the two changes cancel each other, and
// the record is deleted from inverse instead.
func recordNetChange(record string, changes, inverse map[string]bool) {
	if inverse[record] {
		delete(inverse, record)
		return
	}
	changes[record] = true
}

// commit checks the next zone, rebuilds the backends of the affected names and returns the transition to the next
// zone.
func (tx *transaction) commit(acceptedNanos int64, signature Signature) (*Transition, error) {
	soa := tx.next.soa()
	if soa == nil {
		return nil, errNotExactlyOneSOA
	}
	if err := tx.next.checkSize(); err != nil {
		return nil, err
	}
	provenance := Provenance{StartNanos: acceptedNanos, Key: signature.KeyName, Serial: soa.Serial}
	if err := tx.rebuildBackends(func(string, dns.RR) Provenance { return provenance }); err != nil {
		return nil, err
	}
	change := &Change{
		FromSerial:    tx.base.Serial(),
		ToSerial:      soa.Serial,
		Deleted:       slices.Sorted(maps.Keys(tx.deleted)),
		Added:         slices.Sorted(maps.Keys(tx.added)),
		AcceptedNanos: acceptedNanos,
		Signature:     signature,
	}
	updated, removed := tx.backendDiff()
	return &Transition{Zone: tx.next, Change: change, Updated: updated, Removed: removed}, nil
}

// backendDiff returns the differences between the served backends of the base and of the next zone. Only rebuilt
// backends can differ, unless the served priority has changed.
func (tx *transaction) backendDiff() (updated []Backend, removed []string) {
	if tx.base.servedPriority != tx.next.servedPriority {
		return DiffBackends(tx.base, tx.next)
	}
	var diff backendDiff
	for _, name := range slices.Sorted(maps.Keys(tx.rebuiltBackends)) {
		diff.compare(tx.base, tx.next, name)
	}
	return diff.updated, diff.removed
}
