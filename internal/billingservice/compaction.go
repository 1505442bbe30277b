package billingservice

import (
	"encoding/json"
	"maps"
	"slices"

	"fawnplank/internal/billing"
	"fawnplank/internal/store/kv"
)

// maxCompactionSteps bounds the steps of one round of compaction. A step is a write, or a wait until this replica has
// caught up. The next round continues with the remaining accounts.
const maxCompactionSteps = 100

// compact ends reservations whose leases have expired and creates the records of windows whose export is due, if this
// instance holds the maintenance lease. Each write covers as many accounts as it can hold, because the windows of all
// tenants end at the same time.
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
		if s.isReplicaBehind(index) { // compactAccounts reads accounts from this replica
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
				return nil // the next round retries
			}
			return err
		}
	}
	return nil
}

// commitCompaction commits a write if the stored export state still has the given index.
func (s *Service) commitCompaction(write compactionWrite, index kv.Index) error {
	stateEdit, err := write.state.edit(index)
	if err != nil {
		return err
	}
	return s.options.Replica.Edit(append(write.edits, stateEdit))
}

// compactionWrite holds the edits of one write of compact.
type compactionWrite struct {
	edits     []kv.Edit
	state     exportState // the export state after the edits
	remaining []string    // tenants whose accounts are not in this write
}

// isEmpty reports whether the write has no edits.
func (w *compactionWrite) isEmpty() bool { return len(w.edits) == 0 }

// fits reports whether the write can hold a further account with the given number of records. An empty write can hold
// any account.
func (w *compactionWrite) fits(records int) bool {
	return w.isEmpty() || len(w.edits)+records+1 <= maxEditsPerWrite
}

// add adds the write of an account that was read at the given index, and the writes of its new records.
func (w *compactionWrite) add(account billing.Account, index kv.Index, records []billing.UsageRecord) error {
	if account.HoldsOnlyEpoch() {
		w.state = w.state.deleteEpoch(account.Epoch)
		account.Epoch = 0
	}
	edit, err := newAccountEdit(account, index)
	if err != nil {
		return err
	}
	w.edits = append(w.edits, edit)
	for _, record := range records {
		value, err := json.Marshal(record)
		if err != nil {
			return err
		}
		recordEdit := kv.Edit{Key: recordKey(record.Sequence), Value: value, Conditional: true}
		w.edits = append(w.edits, recordEdit)
	}
	w.state = w.state.numberRecords(len(records))
	return nil
}

// compactAccounts returns a write with the accounts that compaction changes, as many as fit in the order of tenants,
// and with their records, which are numbered from state.NextSequence.
func (s *Service) compactAccounts(tenants []string, state exportState) (compactionWrite, error) {
	settings := s.options.Settings()
	write := compactionWrite{state: state}
	for i, tenant := range tenants {
		account, index, err := s.readLocalAccount(tenant)
		if err != nil || index == 0 {
			continue // the account was deleted, or is unreadable, which operations on the account report
		}
		nowNanos := s.options.Now().UnixNano()
		afterExpiry := account.ExpireReservations(settings, nowNanos)
		compacted, records := afterExpiry.CloseWindows(settings, nowNanos, write.state.NextSequence)
		if haveEqualEncoding(account, compacted) && !compacted.HoldsOnlyEpoch() {
			continue
		}
		if !write.fits(len(records)) {
			write.remaining = tenants[i:]
			return write, nil
		}
		if err := write.add(compacted, index, records); err != nil {
			return compactionWrite{}, err
		}
	}
	return write, nil
}
