package billingservice

import (
	"encoding/json"
	"maps"
	"slices"

	"fawnplank/internal/billing"
	"fawnplank/internal/store/kv"
)

// maxCompactionSteps bounds the steps of a round of compaction, each of which is a write or a wait for a replica
// that lags behind. The next round continues where it stopped.
const maxCompactionSteps = 100

// compact ends reservations whose leases have expired and makes records of windows that have ended, if this
// instance holds the maintenance lease. Each write covers as many accounts as it can hold, because the windows
// of all tenants end together.
func (s *Service) compact() error {
	if !s.ensureLease() {
		return nil
	}
	tenants := slices.Sorted(maps.Keys(s.options.Replica.ReadLocalPrefix(accountPrefix)))
	for step := 0; len(tenants) > 0 && step < maxCompactionSteps; step++ {
		state, index, err := s.readExportState()
		if err != nil {
			return err
		}
		if s.isBehind(index) { // what follows reads accounts, which this replica does not have yet
			if s.waitOrStop(replicaLagInterval) {
				return nil
			}
			continue
		}
		write, err := s.compactAccounts(tenants, state)
		if err != nil || write.isEmpty() {
			return err
		}
		tenants = write.remaining
		if err := s.commitCompaction(write, index); err != nil {
			if isConflict(err) {
				return nil // the next round tries again
			}
			return err
		}
	}
	return nil
}

// commitCompaction commits a write, if the export state still has the given index.
func (s *Service) commitCompaction(write compactionWrite, index kv.Index) error {
	stateEdit, err := write.state.edit(index)
	if err != nil {
		return err
	}
	return s.options.Replica.Edit(append(write.edits, stateEdit))
}

// compactionWrite collects one write of compact.
type compactionWrite struct {
	edits     []kv.Edit
	state     exportState // the export state after the edits
	remaining []string    // tenants that did not fit
}

// isEmpty reports whether nothing is to be written.
func (w *compactionWrite) isEmpty() bool { return len(w.edits) == 0 }

// fits reports whether an account with so many records may be added. An account always fits into an empty
// write.
func (w *compactionWrite) fits(records int) bool {
	return w.isEmpty() || len(w.edits)+records+1 <= maxEdits
}

// add adds an account, which was read at an index, and its records.
func (w *compactionWrite) add(account billing.Account, index kv.Index, records []billing.Record) error {
	edit, err := editAccount(account, index)
	if err != nil {
		return err
	}
	w.edits = append(w.edits, edit)
	for _, record := range records {
		value, err := json.Marshal(record)
		if err != nil {
			return err
		}
		recordEdit := kv.Edit{Key: recordKeyAt(record.Sequence), Value: value, Conditional: true}
		w.edits = append(w.edits, recordEdit)
	}
	w.state = w.state.numberRecords(len(records))
	return nil
}

// compactAccounts returns a write with the first of the tenants' accounts that are due, and their records,
// numbered from the export state's next sequence on.
func (s *Service) compactAccounts(tenants []string, state exportState) (compactionWrite, error) {
	settings := s.options.Settings()
	write := compactionWrite{state: state}
	for n, tenant := range tenants {
		account, index, err := s.readLocalAccount(tenant)
		if err != nil || index == 0 {
			continue // it is gone, or it cannot be read, which operations on it report
		}
		nowNanos := s.options.Now().UnixNano()
		expired := account.ExpireReservations(settings, nowNanos)
		compacted, records := expired.CloseWindows(settings, nowNanos, write.state.Next)
		if hasSameBytes(account, compacted) {
			continue
		}
		if !write.fits(len(records)) {
			write.remaining = tenants[n:]
			return write, nil
		}
		if err := write.add(compacted, index, records); err != nil {
			return compactionWrite{}, err
		}
	}
	return write, nil
}
