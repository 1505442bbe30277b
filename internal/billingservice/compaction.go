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
	// maxCompactionWrites bounds a round of compaction: the next one goes on.
	maxCompactionWrites = 100
	// replicaLagInterval lies between two looks whether this replica has the last write: commits take
	// milliseconds.
	replicaLagInterval = 5 * time.Millisecond
)

// compact returns reservations whose leases are over, and makes records of windows that are, where this
// instance holds the export lease: as many accounts in a write as it holds, since windows of all tenants end
// together.
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
		stateEdit := kv.Edit{Key: exportKey, Value: value, Check: true, If: index}
		err = s.options.Replica.Edit(append(compaction.edits, stateEdit))
		if isConflict(err) {
			return nil // in the next round
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// isBehind reports whether this replica has yet to apply a write of the export's state, and all that came
// with it.
func (s *Service) isBehind(index kv.Index) bool {
	entry, _ := s.options.Replica.ReadLocal(exportKey)
	return entry.Index < index
}

// compaction is what one write of compact does.
type compaction struct {
	edits     []kv.Edit
	state     exportState // after the edits
	remaining []string    // tenants that did not fit
}

// compactAccounts gives the edits of the first tenants' accounts whose time has come, with their records
// numbered on from the export's state.
func (s *Service) compactAccounts(tenants []string, state exportState) (compaction, error) {
	settings := s.options.Settings()
	result := compaction{state: state}
	for n, tenant := range tenants {
		account, index, err := s.readAccount(tenant, false)
		if err != nil || index == 0 {
			continue // it is gone, or cannot be read, which an operation on it reports
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
			recordEdit := kv.Edit{Key: recordKeyAt(record.Sequence), Value: value, Check: true}
			result.edits = append(result.edits, recordEdit)
		}
		result.state.Next += uint64(len(records))
	}
	return result, nil
}

// isSame reports whether two accounts are stored as the same bytes.
func isSame(a, b billing.Account) bool {
	valueA, errA := json.Marshal(a)
	valueB, errB := json.Marshal(b)
	return errA == nil && errB == nil && string(valueA) == string(valueB)
}
