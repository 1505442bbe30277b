package billingservice

import (
	"context"
	"encoding/json"

	"fawnplank/internal/billing"
	"fawnplank/internal/store/kv"
)

// exportBatch sends one batch, if there is one, and reports whether more records may be waiting.
//
// The batch is fixed in the store before anything is sent, so that whichever instance sends it again, after a
// crash at any moment, sends the same content. The receiver is first asked which records it has.
//
// Every instance with a Sink exports, whether or not it holds the maintenance lease. Of two that write the export
// state at the same time, one gets a kv.ConflictError. Unlike addReports and compact, which take a conflict for
// normal, the export counts and logs it as a failed round. The next round reads the new state.
func (s *Service) exportBatch(ctx context.Context) (mayHaveMore bool, err error) {
	state, index, err := s.readExportState()
	if err != nil {
		return false, err
	}
	if !state.isBatchInFlight() {
		if state.isDrained() {
			return false, nil
		}
		state = state.fixNextBatch()
		if index, err = s.writeExportState(state, index, nil); err != nil {
			return false, err
		}
	}
	received, err := s.options.Sink.LastSequence(ctx)
	if err != nil {
		return false, err
	}
	if received > state.LastSequence {
		return s.checkReceiverAhead(index)
	}
	if s.isBehind(index) { // the records may not have arrived here yet
		return false, nil
	}
	return s.sendBatch(ctx, state, index)
}

// sendBatch sends the batch in flight and acknowledges it in the store. The batch is sent even if the receiver
// already has all of it, because only the receiver can say that the content is the same.
func (s *Service) sendBatch(
	ctx context.Context, state exportState, index kv.Index,
) (mayHaveMore bool, err error) {
	batch, err := s.readBatch(state)
	if err != nil {
		return false, err
	}
	if err := s.options.Sink.Send(ctx, batch); err != nil {
		return false, err
	}
	if err := s.acknowledge(state, index); err != nil {
		return false, err
	}
	s.counts.Exported.Add(uint64(len(batch)))
	return true, nil
}

// checkReceiverAhead determines why the receiver has more records than the state says. Either another
// exporter was faster and the state has changed, or the store is an old copy.
func (s *Service) checkReceiverAhead(index kv.Index) (mayHaveMore bool, err error) {
	_, current, err := s.readExportState()
	if err != nil {
		return false, err
	}
	if current != index {
		return true, nil
	}
	return false, ErrReceiverAhead
}

// readBatch reads the records of the batch in flight.
func (s *Service) readBatch(state exportState) ([]billing.UsageRecord, error) {
	var batch []billing.UsageRecord
	for sequence := state.FirstSequence; sequence <= state.LastSequence; sequence++ {
		entry, ok := s.options.Replica.ReadLocal(recordKeyAt(sequence))
		var record billing.UsageRecord
		if !ok || json.Unmarshal(entry.Value, &record) != nil || record.Sequence != sequence {
			return nil, &MissingRecordError{Sequence: sequence}
		}
		batch = append(batch, record)
	}
	return batch, nil
}

// acknowledge deletes the records of the batch in flight, and advances the state past them.
func (s *Service) acknowledge(state exportState, index kv.Index) error {
	var deletions []kv.Edit
	for sequence := state.FirstSequence; sequence <= state.LastSequence; sequence++ {
		deletions = append(deletions, kv.Edit{Key: recordKeyAt(sequence)})
	}
	_, err := s.writeExportState(state.acknowledgeBatch(), index, deletions)
	return err
}
