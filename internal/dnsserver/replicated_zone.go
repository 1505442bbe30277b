package dnsserver

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"unicode/utf8"

	"fawnplank/internal/dnszone"
	"fawnplank/internal/store/kv"
)

// Replica is the part of a store replica that keeps the zone.
type Replica interface {
	// ReadLocal returns a key as this replica has it.
	ReadLocal(key string) (kv.Entry, bool)
	// Edit applies all edits or none. It returns a kv.ConflictError if a key does not have the index that its
	// edit expects.
	Edit(edits []kv.Edit) error
}

// ReplicatedZone keeps the zone in the replicated store instead of a journal: a head, the snapshot that the
// head names, split into pieces, and a key for each change, which is named after the serial before the
// change. Each write requires that the head is still as it was read. Therefore an update that loses to a
// concurrent one is evaluated again, and is applied at every replica or at none.
type ReplicatedZone struct{ Replica }

// Keys in the store.
const (
	KeyPrefix       = "dns/" // prefix of all keys of the zone
	headKey         = KeyPrefix + "head"
	snapshotPrefix  = KeyPrefix + "base/"
	changeKeyPrefix = KeyPrefix + "change/"
)

const (
	// pieceBytes is how much of a snapshot goes into one value: half of the maximum size of a value, because the
	// value is JSON within JSON.
	pieceBytes = kv.MaxValueBytes / 2
	// maxStoredChanges is how many changes the store holds in addition to a snapshot. Their deletion must fit
	// into one command.
	maxStoredChanges = 500
)

// storeHead is the stored form of the head.
type storeHead struct {
	Serial         uint32 `json:"serial"` // in force
	SnapshotSerial uint32 `json:"base"`
	Pieces         int    `json:"pieces"`   // number of the snapshot's pieces
	Changes        int    `json:"changes"`  // number of changes since the snapshot
	FileSum        string `json:"file_sum"` // of the text of the zone file that was adopted last
}

// errBehind reports that this replica, or this server, has yet to apply a committed change.
var errBehind = errors.New("this replica has yet to apply a committed change")

// readHead returns the head and its index. The index is 0 if there is no head.
func (r *ReplicatedZone) readHead() (head storeHead, index kv.Index, err error) {
	entry, ok := r.ReadLocal(headKey)
	if !ok {
		return head, 0, nil
	}
	return head, entry.Index, json.Unmarshal(entry.Value, &head)
}

// readHeadAt returns the head if it has the given serial, and errBehind otherwise.
func (r *ReplicatedZone) readHeadAt(serial uint32) (storeHead, kv.Index, error) {
	head, index, err := r.readHead()
	if err == nil && head.Serial != serial {
		err = errBehind
	}
	return head, index, err
}

func pieceKey(serial uint32, number int) string {
	return fmt.Sprintf("%s%08x/%d", snapshotPrefix, serial, number)
}

func changeKey(serial uint32) string { return fmt.Sprintf("%s%08x", changeKeyPrefix, serial) }

// load reads the zone as this replica has it. It returns nil if there is none.
func (r *ReplicatedZone) load(settings dnszone.Settings) (*storedZone, error) {
	head, index, err := r.readHead()
	if err != nil || index == 0 {
		return nil, err
	}
	stored, err := r.loadSnapshot(head, settings)
	if err != nil {
		return nil, err
	}
	for stored.zone.Serial() != head.Serial {
		step, change, err := r.applyNext(stored.zone)
		if err != nil {
			return nil, err
		}
		if step == nil {
			return nil, errBehind
		}
		stored.zone = step.Zone
		stored.changes = append(stored.changes, change)
	}
	return stored, nil
}

func (r *ReplicatedZone) loadSnapshot(head storeHead, settings dnszone.Settings) (*storedZone, error) {
	text, err := r.joinPieces(head)
	if err != nil {
		return nil, err
	}
	var record zoneRecord
	if err := json.Unmarshal([]byte(text), &record); err != nil {
		return nil, fmt.Errorf("store: the zone: %w", err)
	}
	if got := record.settings(); record.Format != storedFormat || got != settings {
		return nil, fmt.Errorf("store: the zone is %s with service %s in format %d",
			got.Origin, got.Service, record.Format)
	}
	zone, err := dnszone.Restore(record.Snapshot, settings)
	if err != nil {
		return nil, fmt.Errorf("store: the zone: %w", err)
	}
	return &storedZone{zone: zone, fileSum: record.FileSum}, nil
}

func (r *ReplicatedZone) joinPieces(head storeHead) (string, error) {
	var text strings.Builder
	for number := range head.Pieces {
		key := pieceKey(head.SnapshotSerial, number)
		entry, ok := r.ReadLocal(key)
		if !ok {
			return "", fmt.Errorf("store: %s is missing: %w", key, errBehind)
		}
		var piece string
		if err := json.Unmarshal(entry.Value, &piece); err != nil {
			return "", fmt.Errorf("store: %s: %w", key, err)
		}
		text.WriteString(piece)
	}
	return text.String(), nil
}

// applyNext applies the change that follows a zone, and also returns the change as it is stored. Both results
// are nil if there is no such change.
func (r *ReplicatedZone) applyNext(zone *dnszone.Zone) (*dnszone.Step, *dnszone.Change, error) {
	key := changeKey(zone.Serial())
	entry, ok := r.ReadLocal(key)
	if !ok {
		return nil, nil, nil
	}
	change := &dnszone.Change{}
	if err := json.Unmarshal(entry.Value, change); err != nil {
		return nil, nil, fmt.Errorf("store: %s: %w", key, err)
	}
	step, err := zone.Apply(change)
	if err != nil {
		return nil, nil, fmt.Errorf("store: %w", err)
	}
	return step, change, nil
}

// initialize writes a zone if the store has none yet.
func (r *ReplicatedZone) initialize(zone *dnszone.Zone, fileSum string) error {
	return r.writeSnapshot(zone, fileSum, storeHead{}, 0)
}

// replace writes a zone as a snapshot that replaces the old zone.
func (r *ReplicatedZone) replace(old, zone *dnszone.Zone, fileSum string) error {
	head, index, err := r.readHeadAt(old.Serial())
	if err != nil {
		return err
	}
	return r.writeSnapshot(zone, fileSum, head, index)
}

// writeSnapshot writes a snapshot and deletes everything that belongs to the old head.
func (r *ReplicatedZone) writeSnapshot(
	zone *dnszone.Zone, fileSum string, old storeHead, index kv.Index,
) error {
	text, err := json.Marshal(newZoneRecord(zone, fileSum))
	if err != nil {
		return err
	}
	pieces, err := splitPieces(text)
	if err != nil {
		return err
	}
	edits, err := r.deletions(old)
	if err != nil {
		return err
	}
	next := storeHead{
		Serial:         zone.Serial(),
		SnapshotSerial: zone.Serial(),
		Pieces:         len(pieces),
		FileSum:        fileSum,
	}
	for number, piece := range pieces {
		// A piece under the key of an old one is written instead of deleted.
		if next.SnapshotSerial == old.SnapshotSerial && number < old.Pieces {
			edits[number].Value = piece
			continue
		}
		edits = append(edits, kv.Edit{Key: pieceKey(next.SnapshotSerial, number), Value: piece})
	}
	return r.write(next, index, edits)
}

// deletions returns the edits that delete a head's pieces, which come first and in order, followed by those
// that delete its changes.
func (r *ReplicatedZone) deletions(head storeHead) ([]kv.Edit, error) {
	var edits []kv.Edit
	for number := range head.Pieces {
		edits = append(edits, kv.Edit{Key: pieceKey(head.SnapshotSerial, number)})
	}
	serial := head.SnapshotSerial
	for range head.Changes {
		key := changeKey(serial)
		entry, ok := r.ReadLocal(key)
		var change dnszone.Change
		if !ok || json.Unmarshal(entry.Value, &change) != nil {
			return nil, errBehind
		}
		edits = append(edits, kv.Edit{Key: key})
		serial = change.ToSerial
	}
	return edits, nil
}

// splitPieces splits a text into JSON strings. Each holds at most pieceBytes of the text, and no character is
// split.
func splitPieces(text []byte) (pieces [][]byte, err error) {
	for len(text) > 0 {
		size := min(len(text), pieceBytes)
		for size < len(text) && !utf8.RuneStart(text[size]) {
			size--
		}
		piece, err := json.Marshal(string(text[:size]))
		if err != nil {
			return nil, err
		}
		pieces = append(pieces, piece)
		text = text[size:]
	}
	return pieces, nil
}

// write applies edits together with a new head, if the current head still has the given index.
func (r *ReplicatedZone) write(head storeHead, index kv.Index, edits []kv.Edit) error {
	value, err := json.Marshal(head)
	if err != nil {
		return err
	}
	err = r.Edit(append(edits, kv.Edit{Key: headKey, Value: value, Conditional: true, ExpectedIndex: index}))
	if _, ok := errors.AsType[kv.ConflictError](err); ok {
		return errBehind
	}
	return err
}

// append stores a change that follows the head.
func (r *ReplicatedZone) append(change *dnszone.Change) error {
	head, index, err := r.readHeadAt(change.FromSerial)
	if err != nil {
		return err
	}
	value, err := json.Marshal(change)
	if err != nil {
		return err
	}
	head.Serial = change.ToSerial
	head.Changes++
	return r.write(head, index, []kv.Edit{{Key: changeKey(change.FromSerial), Value: value}})
}

// isFull reports whether the changes are due to be compacted into a snapshot.
func (r *ReplicatedZone) isFull() bool {
	head, _, err := r.readHead()
	return err == nil && head.Changes >= maxStoredChanges
}
