package billingservice

import (
	"time"

	"fawnplank/internal/billing"
	"fawnplank/internal/store/kv"
)

// DroppedUsage counts the records and windows that Resume dropped. Their usage is never billed.
type DroppedUsage struct {
	Records int
	Windows int
}

// Resume repairs the export after the store was restored from an old backup. The sequence numbers of new records follow
// afterSequence, which is the last one that the receiver has. Resume drops all unexported records, and all windows that
// began before the given time. Their usage is never billed, because it may have been exported before the restoration.
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
	if dropped.Windows, err = s.dropWindows(before); err != nil {
		return dropped, err
	}
	_, err = s.writeExportState(state.resumeAfter(afterSequence), index, nil)
	return dropped, err
}

// dropRecords deletes the unexported records and returns their number. dropWindows does not drop their usage, because
// the accounts no longer contain it.
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

// dropWindows removes the windows of all tenants that began before the given time, and returns their number. If
// updating an account takes several attempts because of conflicts, only the windows of the last attempt, which is the
// one that was committed, are counted.
func (s *Service) dropWindows(before time.Time) (int, error) {
	count := 0
	for tenant := range s.options.Replica.ReadLocalPrefix(accountPrefix) {
		dropped := 0
		err := s.update(tenant, func(
			_ billing.Settings, _ int64, account billing.Account,
		) (billing.Account, error) {
			remaining, droppedWindows := account.DropWindows(before.UnixNano())
			dropped = droppedWindows
			return remaining, nil
		})
		if err != nil {
			return count, err
		}
		count += dropped
	}
	return count, nil
}
