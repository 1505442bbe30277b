package dnszone

import "fmt"

// Change is the set of records that an update deleted and added. It is stored, and can be applied to
// the previous version of the zone after a restart or by another replica. Records are in master file format.
type Change struct {
	FromSerial    uint32    `json:"from"`
	ToSerial      uint32    `json:"to"`
	Deleted       []string  `json:"del,omitempty"`
	Added         []string  `json:"add,omitempty"`
	AcceptedNanos int64     `json:"at"` // unix ns, by the clock of the gateway that accepted the update
	Signature     Signature `json:"by"`
}

// Transition is the transition from one version of the zone to the next, with the difference between their served
// backends.
type Transition struct {
	Zone    *Zone
	Change  *Change   // nil if the update changed no record
	Updated []Backend // new or changed backends
	Removed []string  // names of backends that are no longer served
}

// Apply applies a change that was made before the last restart, or by another replica. It returns a
// *SequenceError if the change does not start at the serial of this zone or does not increase it, and another
// error if the resulting zone is not valid.
func (z *Zone) Apply(change *Change) (*Transition, error) {
	if change.FromSerial != z.Serial() || !SerialNewer(change.ToSerial, change.FromSerial) {
		return nil, &SequenceError{
			FromSerial: change.FromSerial,
			ToSerial:   change.ToSerial,
			ZoneSerial: z.Serial(),
		}
	}
	tx := z.newTransaction()
	if err := tx.replay(change); err != nil {
		return nil, fmt.Errorf("change to serial %d: %w", change.ToSerial, err)
	}
	transition, err := tx.commit(change.AcceptedNanos, change.Signature)
	if err != nil {
		return nil, err
	}
	if serial := transition.Zone.Serial(); serial != change.ToSerial {
		return nil, fmt.Errorf("change to serial %d results in a zone with serial %d", change.ToSerial, serial)
	}
	return transition, nil
}

// replay applies the deletions and then the additions of a change.
func (tx *transaction) replay(change *Change) error {
	for _, text := range change.Deleted {
		if err := tx.replayDeletion(text); err != nil {
			return &RecordError{Record: text, Err: err}
		}
	}
	for _, text := range change.Added {
		rr, err := tx.base.parseAndCheckRecord(text)
		if err != nil {
			return &RecordError{Record: text, Err: err}
		}
		tx.add(rr)
	}
	return nil
}

// replayDeletion deletes a record. It returns an error if the record is not in the zone.
func (tx *transaction) replayDeletion(text string) error {
	rr, err := parseRecord(text)
	if err != nil {
		return err
	}
	existing := tx.find(rr)
	if existing == nil {
		return errRecordNotInZone
	}
	tx.remove(existing)
	return nil
}
