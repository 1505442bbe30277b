package billingservice

import (
	"time"

	"fawnplank/internal/billing"
	"fawnplank/internal/store/kv"
)

// Dropped counts what Resume dropped. It is never billed.
type Dropped struct {
	Records int
	Windows int
}

// Resume lets the export continue after the store was restored from an old copy. Sequences continue after
// the given one, the last that the receiver has. The usage of windows that began before a moment is dropped and
// never billed, because the lost state may have exported it. If the store has exported later records than the
// given one, the error is an *AlreadyExportedError and nothing is done. After any other error, Resume may have
// done a part, and the counts are those of that part.
func Resume(replica Replica, after uint64, before time.Time) (Dropped, error) {
	// The service is not started. It is used for its operations on the store alone.
	s := &Service{options: Options{
		Replica:  replica,
		Now:      time.Now,
		Settings: func() billing.Settings { return billing.Settings{} },
	}}
	var dropped Dropped
	state, index, err := s.readExportState()
	if err != nil {
		return dropped, err
	}
	if state.isExportedBeyond(after) {
		return dropped, &AlreadyExportedError{Acknowledged: state.Acked}
	}
	if dropped.Records, err = s.dropRecords(state); err != nil {
		return dropped, err
	}
	if dropped.Windows, err = s.dropWindows(before); err != nil {
		return dropped, err
	}
	_, err = s.writeExportState(state.resumeAfter(after), index, nil)
	return dropped, err
}

// dropRecords deletes the records that the old copy has numbered, because the accounts no longer contain what
// they count. It returns how many it deleted.
func (s *Service) dropRecords(state exportState) (int, error) {
	count := 0
	for sequence := state.Acked + 1; sequence < state.Next; sequence++ {
		if err := s.options.Replica.Edit([]kv.Edit{{Key: recordKeyAt(sequence)}}); err != nil {
			return count, err
		}
		count++
	}
	return count, nil
}

// dropWindows drops the usage of all tenants' windows that began before a moment, and returns how many windows
// it dropped. An account whose first attempt meets a conflict counts by its last attempt, the one that was written.
func (s *Service) dropWindows(before time.Time) (int, error) {
	count := 0
	for tenant := range s.options.Replica.ReadLocalPrefix(accountPrefix) {
		dropped := 0
		err := s.update(tenant, func(
			_ billing.Settings, _ int64, account billing.Account,
		) (billing.Account, error) {
			remaining, windows := account.DropWindows(before.UnixNano())
			dropped = windows
			return remaining, nil
		})
		if err != nil {
			return count, err
		}
		count += dropped
	}
	return count, nil
}
