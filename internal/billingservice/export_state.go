package billingservice

import (
	"encoding/json"

	"fawnplank/internal/store/kv"
)

const (
	// initialSequence is the sequence number of the first record. A receiver without records reports 0 as its last.
	initialSequence = 1
	// maxBatchRecords is the maximum number of records in a batch.
	maxBatchRecords = 200
)

// exportState is the stored progress of the export. Records have consecutive sequence numbers. Records up to
// LastAcknowledged are exported and deleted; later records before NextSequence are in the store. The methods that
// return a state do not modify their receiver.
type exportState struct {
	NextSequence     uint64 `json:"next"`  // sequence number of the next record
	LastAcknowledged uint64 `json:"acked"` // sequence number of the last acknowledged record; 0 if none
	// FirstSequence and LastSequence delimit the batch in flight, which is sent unchanged until it is acknowledged.
	FirstSequence uint64 `json:"first,omitempty"`
	LastSequence  uint64 `json:"last,omitempty"` // 0 if no batch is in flight
	// MaxDeletedEpoch is the highest epoch of any account that was deleted. The epochs of a new account are above it, so
	// that no holder of a former reservation has a valid epoch. It is part of this state since compaction writes both.
	MaxDeletedEpoch uint64 `json:"epochs,omitempty"`
}

// isBatchInFlight reports whether a batch was started and is not acknowledged yet.
func (e exportState) isBatchInFlight() bool { return e.LastSequence != 0 }

// isFullyAcknowledged reports whether every record is acknowledged.
func (e exportState) isFullyAcknowledged() bool { return e.NextSequence == e.LastAcknowledged+1 }

// hasExportedAfter reports whether a record after the one with the given sequence number is known to be exported. In
// every state that this package writes, LastAcknowledged is below NextSequence, so that the second condition implies
// the first. The first condition guards against a stored state in which that does not hold.
func (e exportState) hasExportedAfter(sequence uint64) bool {
	return sequence+1 < e.NextSequence && e.LastAcknowledged > sequence
}

// numberRecords returns the state after the next count sequence numbers were assigned to records.
func (e exportState) numberRecords(count int) exportState {
	e.NextSequence += uint64(count)
	return e
}

// startNextBatch returns the state in which the next unacknowledged records are the batch in flight.
func (e exportState) startNextBatch() exportState {
	e.FirstSequence = e.LastAcknowledged + 1
	e.LastSequence = min(e.NextSequence-1, e.LastAcknowledged+maxBatchRecords)
	return e
}

// acknowledgeBatch returns the state after the receiver has acknowledged the batch in flight.
func (e exportState) acknowledgeBatch() exportState {
	return exportState{
		NextSequence:     e.NextSequence,
		LastAcknowledged: e.LastSequence,
		MaxDeletedEpoch:  e.MaxDeletedEpoch,
	}
}

// resumeAfter returns a state without records to export. Its next sequence number follows both the given one and all
// that this store has assigned.
func (e exportState) resumeAfter(sequence uint64) exportState {
	next := max(sequence+1, e.NextSequence)
	return exportState{NextSequence: next, LastAcknowledged: next - 1, MaxDeletedEpoch: e.MaxDeletedEpoch}
}

// deleteEpoch returns the state after an account with the given epoch was deleted.
func (e exportState) deleteEpoch(epoch uint64) exportState {
	e.MaxDeletedEpoch = max(e.MaxDeletedEpoch, epoch)
	return e
}

// edit returns an edit that writes the state if the stored state still has the given index.
func (e exportState) edit(index kv.Index) (kv.Edit, error) {
	value, err := json.Marshal(e)
	return kv.Edit{Key: exportKey, Value: value, Conditional: true, ExpectedIndex: index}, err
}

// readExportState reads the export state and its index from the leader.
func (s *Service) readExportState() (exportState, kv.Index, error) {
	entry, ok, err := s.options.Replica.ReadFromLeader(exportKey)
	if err != nil || !ok {
		return exportState{NextSequence: initialSequence}, 0, err
	}
	var state exportState
	err = json.Unmarshal(entry.Value, &state)
	return state, entry.Index, err
}

// writeExportState commits the given edits and the export state in one write, if the stored state still has the given
// index. It returns the new index of the state.
func (s *Service) writeExportState(state exportState, index kv.Index, edits []kv.Edit) (kv.Index, error) {
	stateEdit, err := state.edit(index)
	if err != nil {
		return 0, err
	}
	if err := s.options.Replica.Edit(append(edits, stateEdit)); err != nil {
		return 0, err
	}
	entry, ok, err := s.options.Replica.ReadFromLeader(exportKey)
	if err == nil && (!ok || string(entry.Value) != string(stateEdit.Value)) {
		err = kv.ConflictError{Key: exportKey}
	}
	return entry.Index, err
}

// isReplicaBehind reports whether this replica has not yet applied the write of the export state at the given index,
// and hence the edits that were committed with it.
func (s *Service) isReplicaBehind(index kv.Index) bool {
	entry, _ := s.options.Replica.ReadLocal(exportKey)
	return entry.Index < index
}
