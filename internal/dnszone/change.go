package dnszone

import "fmt"

// Change is the effect of an update, in a form that can be stored and applied again elsewhere. Records are in
// master file format. Its fields are stored.
type Change struct {
	FromSerial    uint32    `json:"from"`
	ToSerial      uint32    `json:"to"`
	Deleted       []string  `json:"del,omitempty"`
	Added         []string  `json:"add,omitempty"`
	AcceptedNanos int64     `json:"at"` // unix ns, at the gateway that accepted the update
	Signature     Signature `json:"by"`
}

// Transition is the transition from one zone to the next, with the difference between their lists.
type Transition struct {
	Zone    *Zone
	Change  *Change   // nil if the update changed nothing
	Updated []Backend // new or changed
	Removed []string  // by name
}

// Apply applies a change that was made before the last restart, or at another replica. It returns a
// *SequenceError if the change does not follow from this zone, and another error if the result is not valid.
func (z *Zone) Apply(change *Change) (*Transition, error) {
	if change.FromSerial != z.Serial() || !SerialNewer(change.ToSerial, change.FromSerial) {
		return nil, &SequenceError{
			FromSerial: change.FromSerial,
			ToSerial:   change.ToSerial,
			ZoneSerial: z.Serial(),
		}
	}
	d := z.newDraft()
	if err := d.replay(change); err != nil {
		return nil, fmt.Errorf("change to serial %d: %w", change.ToSerial, err)
	}
	step, err := d.finish(change.AcceptedNanos, change.Signature)
	if err != nil {
		return nil, err
	}
	if got := step.Zone.Serial(); got != change.ToSerial {
		return nil, fmt.Errorf("change to serial %d gives %d", change.ToSerial, got)
	}
	return step, nil
}

// replay deletes and adds the records of a change.
func (d *draft) replay(change *Change) error {
	for _, text := range change.Deleted {
		if err := d.replayDeletion(text); err != nil {
			return &RecordError{Record: text, Err: err}
		}
	}
	for _, text := range change.Added {
		rr, err := d.base.parseAllowedRecord(text)
		if err != nil {
			return &RecordError{Record: text, Err: err}
		}
		d.add(rr)
	}
	return nil
}

// replayDeletion deletes a record, which must be in the zone.
func (d *draft) replayDeletion(text string) error {
	rr, err := parseRecord(text)
	if err != nil {
		return err
	}
	existing := d.find(rr)
	if existing == nil {
		return errRecordMissing
	}
	d.remove(existing)
	return nil
}
