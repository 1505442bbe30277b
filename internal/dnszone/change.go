package dnszone

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/miekg/dns"
)

// Change is the effect of an update, in a form that can be stored and applied again elsewhere. Records are in
// master file format.
type Change struct {
	FromSerial uint32    `json:"from"`
	ToSerial   uint32    `json:"to"`
	Deleted    []string  `json:"del,omitempty"`
	Added      []string  `json:"add,omitempty"`
	AtNanos    int64     `json:"at"` // unix ns, at the gateway that accepted the update
	Signature  Signature `json:"by"`
}

// Signature is the TSIG of an update. Replays are recognized by it.
type Signature struct {
	KeyName       string `json:"key"`
	SignedSeconds int64  `json:"signed"` // unix seconds
	MAC           string `json:"mac"`
}

// Step is a zone that an update made from another one, with the difference between their lists.
type Step struct {
	Zone    *Zone
	Change  *Change   // nil if the update changed nothing
	Updated []Backend // new or changed
	Removed []string
}

// Apply applies a change that was made earlier, or at another replica. It returns an error if the change does
// not follow from this zone.
func (z *Zone) Apply(change *Change) (*Step, error) {
	if change.FromSerial != z.Serial() || !SerialNewer(change.ToSerial, change.FromSerial) {
		return nil, fmt.Errorf("change from serial %d to %d does not follow %d",
			change.FromSerial, change.ToSerial, z.Serial())
	}
	d := z.newDraft()
	if err := d.replayRecords(change); err != nil {
		return nil, err
	}
	step, err := d.finish(change.AtNanos, change.Signature)
	if err == nil && step.Zone.Serial() != change.ToSerial {
		err = fmt.Errorf("change to serial %d gives %d", change.ToSerial, step.Zone.Serial())
	}
	return step, err
}

func (d *draft) replayRecords(change *Change) error {
	for _, text := range change.Deleted {
		rr, err := parseRecord(text)
		if err != nil {
			return fmt.Errorf("change to serial %d: %.80q: %w", change.ToSerial, text, err)
		}
		existing := d.find(rr)
		if existing == nil {
			return fmt.Errorf("change to serial %d: %.80q is not there", change.ToSerial, text)
		}
		d.remove(existing)
	}
	for _, text := range change.Added {
		rr, err := d.base.parseAllowedRecord(text)
		if err != nil {
			return fmt.Errorf("change to serial %d: %.80q: %w", change.ToSerial, text, err)
		}
		d.add(rr)
	}
	return nil
}

// finish turns the draft into a step, if what its records say about the backends is valid.
func (d *draft) finish(atNanos int64, signature Signature) (*Step, error) {
	soa := d.next.soa()
	if soa == nil {
		return nil, errors.New("not one SOA record")
	}
	if d.next.records.Len() > maxRecords {
		return nil, fmt.Errorf("more than %d records", maxRecords)
	}
	provenance := Provenance{StartNanos: atNanos, Key: signature.KeyName, Serial: soa.Serial}
	if err := d.rebuildBackends(func(string, dns.RR) Provenance { return provenance }); err != nil {
		return nil, err
	}
	step := &Step{Zone: d.next, Change: &Change{
		FromSerial: d.base.Serial(),
		ToSerial:   soa.Serial,
		Deleted:    slices.Sorted(maps.Keys(d.deleted)),
		Added:      slices.Sorted(maps.Keys(d.added)),
		AtNanos:    atNanos,
		Signature:  signature,
	}}
	if d.base.servedPriority != d.next.servedPriority { // any backend may have entered or left the list
		step.Updated, step.Removed = Diff(d.base, d.next)
		return step, nil
	}
	var diff listDiff
	for _, name := range slices.Sorted(maps.Keys(d.changedBackends)) {
		diff.compare(d.base, d.next, name)
	}
	step.Updated = diff.updated
	step.Removed = diff.removed
	return step, nil
}
