package billingservice

import (
	"context"
	"encoding/json"

	"fawnplank/internal/billing"
	"fawnplank/internal/store/kv"
)

// exportBatch sends one batch, if there are records to export, and reports whether more records may be waiting.
//
// The first and last sequence number of the batch are stored before the batch is sent. If an instance crashes, any
// instance that sends the batch again therefore sends the same content. Before it sends the batch, exportBatch reads
// the last sequence number that the receiver has.
//
// Every instance with a Sink exports, whether or not it holds the maintenance lease. If two instances write the export
// state at the same time, one of them gets a kv.ConflictError. Unlike addReports and compact, which ignore a conflict,
// the export counts and logs it as a failed round. The next round reads the new state.
func (s *Service) exportBatch(ctx context.Context) (mayHaveMore bool, err error) {
	state, index, err := s.readExportState()
	if err != nil {
		return false, err
	}
	if !state.isBatchInFlight() {
		if state.isFullyAcknowledged() {
			return false, nil
		}
		state = state.startNextBatch()
		if index, err = s.writeExportState(state, index, nil); err != nil {
			return false, err
		}
	}
	receivedSequence, err := s.options.Sink.LastSequence(ctx)
	if err != nil {
		return false, err
	}
	if receivedSequence > state.LastSequence {
		return s.checkReceiverAhead(index)
	}
	if s.isReplicaBehind(index) { // this replica may not have the batch's records yet
		return false, nil
	}
	return s.sendBatch(ctx, state, index)
}

// sendBatch sends the batch in flight and marks it as acknowledged in the store. It sends the batch even if the
// receiver already has all its records, because only the receiver can verify that the content is the same.
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
	s.stats.Exported.Add(uint64(len(batch)))
	return true, nil
}

// checkReceiverAhead determines why the receiver has a record after the last one of the export state that was read at
// the given index. Either another instance has advanced the state since, or the store was restored from an old backup;
// in the latter case the error is ErrReceiverAhead.
func (s *Service) checkReceiverAhead(index kv.Index) (mayHaveMore bool, err error) {
	_, currentIndex, err := s.readExportState()
	if err != nil {
		return false, err
	}
	if currentIndex != index {
		return true, nil
	}
	return false, ErrReceiverAhead
}

// readBatch reads the records of the batch in flight.
func (s *Service) readBatch(state exportState) ([]billing.UsageRecord, error) {
	var batch []billing.UsageRecord
	for sequence := state.FirstSequence; sequence <= state.LastSequence; sequence++ {
		entry, ok := s.options.Replica.ReadLocal(recordKey(sequence))
		var record billing.UsageRecord
		if !ok || json.Unmarshal(entry.Value, &record) != nil || record.Sequence != sequence {
			return nil, &MissingRecordError{Sequence: sequence}
		}
		batch = append(batch, record)
	}
	return batch, nil
}

// acknowledge deletes the records of the batch in flight from the store and advances the export state past them.
func (s *Service) acknowledge(state exportState, index kv.Index) error {
	var deletions []kv.Edit
	for sequence := state.FirstSequence; sequence <= state.LastSequence; sequence++ {
		deletions = append(deletions, kv.Edit{Key: recordKey(sequence)})
	}
	_, err := s.writeExportState(state.acknowledgeBatch(), index, deletions)
	return err
}
