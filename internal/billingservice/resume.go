package billingservice

import (
	"encoding/json"
	"slices"
	"time"

	"fawnplank/internal/billing"
	"fawnplank/internal/store/kv"
)

const (
	// resumeReadTimeout bounds the wait until the replica has applied what was committed before Resume was called. A
	// replica that takes longer is not connected to the leader.
	resumeReadTimeout = 10 * time.Second
	// resumeReadInterval is the interval between two checks of the replica during that wait.
	resumeReadInterval = 20 * time.Millisecond
)

// DroppedUsage counts what Resume dropped. Its usage is never billed.
type DroppedUsage struct {
	Records      int
	ReportItems  int
	Windows      int
	Reservations int // ended: their holders can commit nothing more
}

// Resume repairs the export after the store was restored from an old backup. The sequence numbers of new records
// follow afterSequence, which is the last one that the receiver has. Resume drops everything in the restored state
// whose usage may have been exported before the restoration, or may be committed again: all unexported records, and,
// of windows that began before the given time, the usage in the accounts, the usage in reports that are not added to
// accounts yet, and the reservations. No instance may be running.
//
// If the store has exported a record after afterSequence, the error is an *AlreadyExportedError and nothing is changed.
// After any other error a part of the changes may be committed, and the result counts that part.
func Resume(replica Replica, afterSequence uint64, before time.Time) (DroppedUsage, error) {
	// The service is not started. Only its operations on the store are used.
	s := &Service{options: Options{
		Replica:  replica,
		Now:      time.Now,
		Settings: func() billing.Settings { return billing.Settings{} },
	}}
	var dropped DroppedUsage
	state, index, err := s.readExportState()
	if err != nil {
		return dropped, err
	}
	if state.hasExportedAfter(afterSequence) {
		return dropped, &AlreadyExportedError{AcknowledgedSequence: state.LastAcknowledged}
	}
	if dropped.Records, err = s.dropRecords(state); err != nil {
		return dropped, err
	}
	if err = s.dropUsage(before, &dropped); err != nil {
		return dropped, err
	}
	if index, err = s.awaitCommittedState(state, index); err != nil {
		return dropped, err
	}
	if err = s.dropUsage(before, &dropped); err != nil { // what the replica did not show before
		return dropped, err
	}
	_, err = s.writeExportState(state.resumeAfter(afterSequence), index, nil)
	return dropped, err
}

// dropUsage drops the usage before the given time that this replica shows, and adds it to the counts. The reports come
// first: an instance that runs despite the instructions could add them to accounts.
func (s *Service) dropUsage(before time.Time, dropped *DroppedUsage) error {
	if err := s.dropReportItems(before, dropped); err != nil {
		return err
	}
	return s.dropFromAccounts(before, dropped)
}

// awaitCommittedState waits until this replica has applied every write that is committed, such as those of the
// restoration, which may have gone through another replica. It writes the export state unchanged and waits for that
// write. It returns the new index of the state.
func (s *Service) awaitCommittedState(state exportState, index kv.Index) (kv.Index, error) {
	index, err := s.writeExportState(state, index, nil)
	if err != nil {
		return index, err
	}
	for deadline := time.Now().Add(resumeReadTimeout); s.isReplicaBehind(index); time.Sleep(resumeReadInterval) {
		if time.Now().After(deadline) {
			return index, errReplicaBehind
		}
	}
	return index, nil
}

// dropRecords deletes the unexported records and returns their number. dropFromAccounts does not drop their usage,
// because the accounts no longer contain it.
func (s *Service) dropRecords(state exportState) (int, error) {
	count := 0
	for sequence := state.LastAcknowledged + 1; sequence < state.NextSequence; sequence++ {
		if err := s.options.Replica.Edit([]kv.Edit{{Key: recordKey(sequence)}}); err != nil {
			return count, err
		}
		count++
	}
	return count, nil
}

// dropReportItems removes the items of windows that began before the given time from all reports, and adds their number
// to the counts. A report without further items is deleted. A report that cannot be decoded is kept, as addReports
// keeps it.
func (s *Service) dropReportItems(before time.Time, dropped *DroppedUsage) error {
	for name, value := range s.options.Replica.ReadLocalPrefix(reportPrefix) {
		var items []usageItem
		if json.Unmarshal(value, &items) != nil {
			continue
		}
		remaining := slices.DeleteFunc(slices.Clone(items), func(item usageItem) bool {
			return item.WindowStartNanos < before.UnixNano()
		})
		if len(remaining) == len(items) {
			continue
		}
		if err := s.replaceReport(reportPrefix+name, remaining); err != nil {
			return err
		}
		dropped.ReportItems += len(items) - len(remaining)
	}
	return nil
}

// replaceReport writes the items of a report, or deletes the report if there are none.
func (s *Service) replaceReport(key string, items []usageItem) error {
	edit := kv.Edit{Key: key}
	if len(items) > 0 {
		var err error
		if edit.Value, err = json.Marshal(items); err != nil {
			return err
		}
	}
	return s.options.Replica.Edit([]kv.Edit{edit})
}

// dropFromAccounts removes the windows of all tenants that began before the given time, ends the reservations in these
// windows, and adds both to the counts. If updating an account takes several attempts because of conflicts, only the
// last attempt, which is the one that was committed, is counted.
func (s *Service) dropFromAccounts(before time.Time, dropped *DroppedUsage) error {
	for tenant := range s.options.Replica.ReadLocalPrefix(accountPrefix) {
		var windows, reservations int
		err := s.update(tenant, func(
			_ billing.Settings, _ int64, account billing.Account,
		) (billing.Account, error) {
			account, windows = account.DropWindows(before.UnixNano())
			account, reservations = account.EndReservationsBefore(before.UnixNano())
			return account, nil
		})
		if err != nil {
			return err
		}
		dropped.Windows += windows
		dropped.Reservations += reservations
	}
	return nil
}
