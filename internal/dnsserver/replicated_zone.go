package dnsserver

import (
	"encoding/json"
	"errors"
	"fmt"

	"fawnplank/internal/dnszone"
	"fawnplank/internal/store/kv"
)

// Replica is the interface to the store replica that holds the zone. Its methods must be safe for concurrent use.
type Replica interface {
	// ReadLocal returns a key's entry from this replica's local state.
	ReadLocal(key string) (kv.Entry, bool)
	// Edit applies all edits or none. It returns a kv.ConflictError if a conditional edit's key does not have the
	// expected index.
	Edit(edits []kv.Edit) error
}

// ReplicatedZone stores the zone in the replicated store instead of a journal. The keys are a head, the chunks of the
// snapshot that the head refers to, and one key per change, which contains the serial before the change. Each write is
// conditional on the head's index, which must not have changed since the head was read. Therefore an update that
// conflicts with a concurrent update is evaluated again, and is applied at every replica or at none.
//
// A ReplicatedZone has no state of its own, and is as safe for concurrent use as its Replica.
type ReplicatedZone struct{ Replica }

// Keys in the store.
const (
	KeyPrefix         = "dns/" // prefix of all keys of the zone
	headKey           = KeyPrefix + "head"
	snapshotKeyPrefix = KeyPrefix + "base/"
	changeKeyPrefix   = KeyPrefix + "change/"
)

// chunkKey returns the key of one chunk of the snapshot with a serial. Chunks are numbered from 0.
func chunkKey(serial uint32, number int) string {
	return fmt.Sprintf("%s%08x/%d", snapshotKeyPrefix, serial, number)
}

// changeKey returns the key of the change that follows a serial.
func changeKey(serial uint32) string { return fmt.Sprintf("%s%08x", changeKeyPrefix, serial) }

// errReplicaBehind reports that this replica or this server has not applied all committed changes yet.
var errReplicaBehind = errors.New("this replica has yet to apply a committed change")

// maxStoredChanges is the number of stored changes at which they are compacted into a snapshot. The deletion of all of
// them usually fits into one command.
const maxStoredChanges = 500

// storeHead is the stored form of the head.
type storeHead struct {
	Serial         uint32 `json:"serial"` // of the current zone
	SnapshotSerial uint32 `json:"base"`
	Chunks         int    `json:"pieces"`   // number of the snapshot's chunks
	Changes        int    `json:"changes"`  // number of changes since the snapshot
	FileSum        string `json:"file_sum"` // checksum of the last adopted zone file
}

// readHead returns the head and its index. The index is 0 if there is no head.
func (r *ReplicatedZone) readHead() (head storeHead, index kv.Index, err error) {
	entry, ok := r.ReadLocal(headKey)
	if !ok {
		return head, 0, nil
	}
	return head, entry.Index, json.Unmarshal(entry.Value, &head)
}

// readHeadAt returns the head and its index. The error is errReplicaBehind unless the head has the given serial.
func (r *ReplicatedZone) readHeadAt(serial uint32) (storeHead, kv.Index, error) {
	head, index, err := r.readHead()
	if err == nil && head.Serial != serial {
		err = errReplicaBehind
	}
	return head, index, err
}

// initialize writes the first zone. It returns errReplicaBehind if the store already has a zone.
func (r *ReplicatedZone) initialize(zone *dnszone.Zone, fileSum string) error {
	return r.writeSnapshot(zone, fileSum, storeHead{}, 0)
}

// replace writes a snapshot of the new zone in place of the old zone.
func (r *ReplicatedZone) replace(oldZone, newZone *dnszone.Zone, fileSum string) error {
	head, index, err := r.readHeadAt(oldZone.Serial())
	if err != nil {
		return err
	}
	return r.writeSnapshot(newZone, fileSum, head, index)
}

// append stores a change that follows the head. It returns errReplicaBehind if another change was committed first.
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

// write applies edits together with a new head. It returns errReplicaBehind unless the stored head has the given index.
func (r *ReplicatedZone) write(head storeHead, index kv.Index, edits []kv.Edit) error {
	value, err := json.Marshal(head)
	if err != nil {
		return err
	}
	err = r.Edit(append(edits, kv.Edit{Key: headKey, Value: value, Conditional: true, ExpectedIndex: index}))
	if _, ok := errors.AsType[kv.ConflictError](err); ok {
		return errReplicaBehind
	}
	return err
}

// needsCompaction reports whether the stored changes should be compacted into a snapshot.
func (r *ReplicatedZone) needsCompaction() bool {
	head, _, err := r.readHead()
	return err == nil && head.Changes >= maxStoredChanges
}
