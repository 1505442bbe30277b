package billingservice

import (
	"fmt"
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
// those that the receiver has. The usage of windows that began before a moment is dropped and never billed
// again, because the lost state may have exported it. After an error, Resume may have done a part, and the
// counts are those of that part.
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
	if after+1 < state.Next && state.Acked > after {
		return dropped, fmt.Errorf("record %d is exported already: the receiver has %d at least",
			state.Acked, state.Acked)
	}
	// Delete the records that the old copy has numbered, because the accounts no longer contain what they count.
	for sequence := state.Acked + 1; sequence < state.Next; sequence++ {
		if err := replica.Edit([]kv.Edit{{Key: recordKeyAt(sequence)}}); err != nil {
			return dropped, err
		}
		dropped.Records++
	}
	for tenant := range replica.ReadPrefix(accountPrefix) {
		err := s.update(tenant, func(
			_ billing.Settings, _ int64, account billing.Account,
		) (billing.Account, error) {
			remaining, windows := account.DropWindows(before.UnixNano())
			dropped.Windows += windows
			return remaining, nil
		})
		if err != nil {
			return dropped, err
		}
	}
	next := max(after+1, state.Next)
	_, err = s.writeExportState(exportState{Next: next, Acked: next - 1}, index, nil)
	return dropped, err
}
