package billingservice

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"fawnplank/internal/billing"
	"fawnplank/internal/logging"
	"fawnplank/internal/store/kv"
)

const (
	// maxBatch bounds how many records are sent at once.
	maxBatch = 200
	// maxRetryFactor bounds the doubling of Options.RetryDelay.
	maxRetryFactor = 30
)

// errReceiverAhead reports that the receiver has records that this store has never numbered.
var errReceiverAhead = errors.New("the receiver has records that the store has not numbered: " +
	"it was put back to an old copy. Nothing is exported until `fawnplank billing resume`")

// exportState is the progress of the export.
type exportState struct {
	Next  uint64 `json:"next"`  // sequence of the next record
	Acked uint64 `json:"acked"` // the last record that the receiver has acknowledged
	// First and Last are the sequences of the batch in flight, which is sent unchanged until it is acknowledged.
	First uint64 `json:"first,omitempty"`
	Last  uint64 `json:"last,omitempty"` // 0 if no batch is in flight
}

// isBatchInFlight reports whether a batch was fixed that is not acknowledged yet.
func (e exportState) isBatchInFlight() bool { return e.Last != 0 }

// isDrained reports whether every record is acknowledged.
func (e exportState) isDrained() bool { return e.Next == e.Acked+1 }

// withNextBatch returns the state with the next records as the batch in flight.
func (e exportState) withNextBatch() exportState {
	e.First = e.Acked + 1
	e.Last = min(e.Next-1, e.Acked+maxBatch)
	return e
}

// readExportState reads the export state from the leader.
func (s *Service) readExportState() (exportState, kv.Index, error) {
	entry, ok, err := s.options.Replica.ReadFromLeader(exportKey)
	if err != nil || !ok {
		return exportState{Next: 1}, 0, err
	}
	var state exportState
	err = json.Unmarshal(entry.Value, &state)
	return state, entry.Index, err
}

// writeExportState writes the export state after other edits, if the state still has the given index, and
// returns its new index.
func (s *Service) writeExportState(state exportState, index kv.Index, edits []kv.Edit) (kv.Index, error) {
	value, err := json.Marshal(state)
	if err != nil {
		return 0, err
	}
	edits = append(edits, kv.Edit{Key: exportKey, Value: value, Conditional: true, ExpectedIndex: index})
	if err := s.options.Replica.Edit(edits); err != nil {
		return 0, err
	}
	entry, ok, err := s.options.Replica.ReadFromLeader(exportKey)
	if err == nil && (!ok || string(entry.Value) != string(value)) {
		err = kv.ConflictError{Key: exportKey}
	}
	return entry.Index, err
}

// runExport sends records to the sink, in order, until Close. Whenever the reason for failure changes, it
// logs the change once.
func (s *Service) runExport() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s.loops.Go(func() {
		select {
		case <-s.stop:
			cancel()
		case <-ctx.Done():
		}
	})
	delay := time.Duration(0)
	logged := ""
	for {
		mayHaveMore, err := s.exportBatch(ctx)
		reason := ""
		if err != nil {
			reason = err.Error()
			s.counts.Failures.Add(1)
		}
		delay = s.nextExportDelay(delay, mayHaveMore, err)
		s.haltReason.Store(&reason)
		if reason != logged && ctx.Err() == nil {
			logged = reason
			logExport(err)
		}
		if s.waitOrStop(delay) {
			return
		}
	}
}

// nextExportDelay returns how long the export waits after an attempt. It does not wait if more records may be
// waiting, and waits longer after each failure.
func (s *Service) nextExportDelay(last time.Duration, mayHaveMore bool, err error) time.Duration {
	switch {
	case err != nil:
		return min(max(2*last, s.options.RetryDelay), maxRetryFactor*s.options.RetryDelay)
	case mayHaveMore:
		return 0
	default:
		return s.options.ReportInterval
	}
}

// logExport logs that nothing is exported or, if err is nil, that the export works again.
func logExport(err error) {
	if err != nil {
		logging.For("billing").WithError(err).Error("export failed; retrying")
		return
	}
	logging.For("billing").Info("export resumed")
}

// exportBatch sends one batch, if there is one, and reports whether more records may be waiting.
//
// The batch is fixed in the store before anything is sent, so that whichever instance sends it again, after a
// crash at any moment, sends the same content. The receiver is first asked which records it has.
func (s *Service) exportBatch(ctx context.Context) (mayHaveMore bool, err error) {
	state, index, err := s.readExportState()
	if err != nil {
		return false, err
	}
	if !state.isBatchInFlight() {
		if state.isDrained() {
			return false, nil
		}
		state = state.withNextBatch()
		if index, err = s.writeExportState(state, index, nil); err != nil {
			return false, err
		}
	}
	received, err := s.options.Sink.Last(ctx)
	if err != nil {
		return false, err
	}
	if received > state.Last {
		return s.checkReceiverAhead(index)
	}
	if s.isBehind(index) { // the records may not have arrived here yet
		return false, nil
	}
	batch, err := s.readBatch(state)
	if err != nil {
		return false, err
	}
	// Send the batch even if the receiver already has all of it, because only the receiver can say that the
	// content is the same.
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
	return false, errReceiverAhead
}

// readBatch reads the records of the batch in flight.
func (s *Service) readBatch(state exportState) ([]billing.Record, error) {
	var batch []billing.Record
	for sequence := state.First; sequence <= state.Last; sequence++ {
		entry, ok := s.options.Replica.ReadLocal(recordKeyAt(sequence))
		var record billing.Record
		if !ok || json.Unmarshal(entry.Value, &record) != nil || record.Sequence != sequence {
			return nil, fmt.Errorf("record %d is missing in the store", sequence)
		}
		batch = append(batch, record)
	}
	return batch, nil
}

// acknowledge deletes the records of the batch in flight, and advances the state past them.
func (s *Service) acknowledge(state exportState, index kv.Index) error {
	var deletions []kv.Edit
	for sequence := state.First; sequence <= state.Last; sequence++ {
		deletions = append(deletions, kv.Edit{Key: recordKeyAt(sequence)})
	}
	_, err := s.writeExportState(exportState{Next: state.Next, Acked: state.Last}, index, deletions)
	return err
}
