package billingservice

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"fawnplank/internal/billing"
	"fawnplank/internal/store/kv"
)

const (
	// maxCompactionWrites bounds a round of compaction. The next round continues where it stopped.
	maxCompactionWrites = 100
	// replicaLagInterval is the time between two checks whether this replica has the last write. Commits take
	// milliseconds.
	replicaLagInterval = 5 * time.Millisecond
)

// compact ends reservations whose leases have expired and makes records of windows that have ended, if this
// instance holds the export lease. Each write covers as many accounts as it can hold, because the windows of
// all tenants end together.
func (s *Service) compact() error {
	if !s.acquireLease() {
		return nil
	}
	tenants := slices.Sorted(maps.Keys(s.options.Replica.ReadPrefix(accountPrefix)))
	for writes := 0; len(tenants) > 0 && writes < maxCompactionWrites; writes++ {
		state, index, err := s.readExportState()
		if err != nil {
			return err
		}
		if s.isBehind(index) {
			if s.waitOrStop(replicaLagInterval) {
				return nil
			}
			continue
		}
		compaction, err := s.compactAccounts(tenants, state)
		if err != nil || len(compaction.edits) == 0 {
			return err
		}
		tenants = compaction.remaining
		value, err := json.Marshal(compaction.state)
		if err != nil {
			return err
		}
		stateEdit := kv.Edit{Key: exportKey, Value: value, Conditional: true, ExpectedIndex: index}
		err = s.options.Replica.Edit(append(compaction.edits, stateEdit))
		if isConflict(err) {
			return nil // the next round tries again
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// isBehind reports whether this replica has yet to apply a write of the export state, together with
// everything that was written with it.
func (s *Service) isBehind(index kv.Index) bool {
	entry, _ := s.options.Replica.ReadLocal(exportKey)
	return entry.Index < index
}

// compaction holds one write of compact.
type compaction struct {
	edits     []kv.Edit
	state     exportState // the export state after the edits
	remaining []string    // tenants that did not fit
}

// compactAccounts returns edits for the first of the tenants' accounts that are due, and their records,
// numbered from the export state's next sequence on.
func (s *Service) compactAccounts(tenants []string, state exportState) (compaction, error) {
	settings := s.options.Settings()
	result := compaction{state: state}
	for n, tenant := range tenants {
		account, index, err := s.readLocalAccount(tenant)
		if err != nil || index == 0 {
			continue // it is gone, or it cannot be read, which operations on it report
		}
		now := s.options.Now().UnixNano()
		expired := account.ExpireReservations(settings, now)
		compacted, records := expired.CloseWindows(settings, now, result.state.Next)
		if isSame(account, compacted) {
			continue
		}
		if len(result.edits) > 0 && len(result.edits)+len(records)+1 > maxEdits {
			result.remaining = tenants[n:]
			return result, nil
		}
		edit, err := editAccount(compacted, index)
		if err != nil {
			return compaction{}, err
		}
		result.edits = append(result.edits, edit)
		for _, record := range records {
			value, err := json.Marshal(record)
			if err != nil {
				return compaction{}, err
			}
			recordEdit := kv.Edit{Key: recordKeyAt(record.Sequence), Value: value, Conditional: true}
			result.edits = append(result.edits, recordEdit)
		}
		result.state.Next += uint64(len(records))
	}
	return result, nil
}

// isSame reports whether two accounts have the same stored bytes.
func isSame(a, b billing.Account) bool {
	valueA, errA := json.Marshal(a)
	valueB, errB := json.Marshal(b)
	return errA == nil && errB == nil && string(valueA) == string(valueB)
}
