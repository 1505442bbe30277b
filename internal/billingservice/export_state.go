package billingservice

import (
	"encoding/json"

	"fawnplank/internal/store/kv"
)

const (
	// initialSequence is the sequence of the first record. A receiver that has none answers 0.
	initialSequence = 1
	// maxBatchRecords bounds how many records are sent at once.
	maxBatchRecords = 200
)

// exportState is the stored progress of the export. Records have sequences without a gap. Those up to Acked
// are exported and deleted, those after it and before Next are in the store. The methods that return a state
// leave their receiver as it is.
type exportState struct {
	Next  uint64 `json:"next"`  // sequence of the next record
	Acked uint64 `json:"acked"` // the last record that the receiver has acknowledged; 0 if none
	// FirstSequence and LastSequence delimit the batch in flight, which is sent unchanged until it is acknowledged.
	FirstSequence uint64 `json:"first,omitempty"`
	LastSequence  uint64 `json:"last,omitempty"` // 0 if no batch is in flight
}

// isBatchInFlight reports whether a batch was fixed that is not acknowledged yet.
func (e exportState) isBatchInFlight() bool { return e.LastSequence != 0 }

// isDrained reports whether every record is acknowledged.
func (e exportState) isDrained() bool { return e.Next == e.Acked+1 }

// isExportedBeyond reports whether a record after the given sequence is known to be exported. The first condition
// follows from the second as long as Acked is below Next, as in every state that this package writes. It guards
// against a stored state in which it is not.
func (e exportState) isExportedBeyond(sequence uint64) bool {
	return sequence+1 < e.Next && e.Acked > sequence
}

// numberRecords returns the state after count further records have got the next sequences.
func (e exportState) numberRecords(count int) exportState {
	e.Next += uint64(count)
	return e
}

// fixNextBatch returns the state with the next records as the batch in flight.
func (e exportState) fixNextBatch() exportState {
	e.FirstSequence = e.Acked + 1
	e.LastSequence = min(e.Next-1, e.Acked+maxBatchRecords)
	return e
}

// acknowledgeBatch returns the state after the receiver has acknowledged the batch in flight.
func (e exportState) acknowledgeBatch() exportState {
	return exportState{Next: e.Next, Acked: e.LastSequence}
}

// resumeAfter returns the state in which nothing is left to export, and the next sequence follows both the
// given one and those that this store has numbered.
func (e exportState) resumeAfter(sequence uint64) exportState {
	next := max(sequence+1, e.Next)
	return exportState{Next: next, Acked: next - 1}
}

// edit returns the edit that writes the state, if the stored state still has the given index.
func (e exportState) edit(index kv.Index) (kv.Edit, error) {
	value, err := json.Marshal(e)
	return kv.Edit{Key: exportKey, Value: value, Conditional: true, ExpectedIndex: index}, err
}

// readExportState reads the export state and its index from the leader.
func (s *Service) readExportState() (exportState, kv.Index, error) {
	entry, ok, err := s.options.Replica.ReadFromLeader(exportKey)
	if err != nil || !ok {
		return exportState{Next: initialSequence}, 0, err
	}
	var state exportState
	err = json.Unmarshal(entry.Value, &state)
	return state, entry.Index, err
}

// writeExportState writes the export state after other edits, if the state still has the given index, and
// returns its new index.
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

// isBehind reports whether this replica has yet to apply a write of the export state, together with
// everything that was written with it.
func (s *Service) isBehind(index kv.Index) bool {
	entry, _ := s.options.Replica.ReadLocal(exportKey)
	return entry.Index < index
}
