package billingservice

import (
	"fmt"
	"time"

	"fawnplank/internal/billing"
	"fawnplank/internal/store/kv"
)

// Resume lets the export continue after the store was restored from an old copy. Sequences continue after
// those that the receiver has. The usage of windows that began before a moment is dropped and never billed
// again, because the lost state may have exported it. Resume returns how many records and windows it dropped.
func Resume(replica Replica, after uint64, before time.Time) (records, windows int, err error) {
	s := &Service{options: Options{
		Replica:  replica,
		Now:      time.Now,
		Settings: func() billing.Settings { return billing.Settings{} },
	}}
	state, index, err := s.readExportState()
	if err != nil {
		return 0, 0, err
	}
	if after+1 < state.Next && state.Acked > after {
		return 0, 0, fmt.Errorf("record %d is exported already: the receiver has %d at least",
			state.Acked, state.Acked)
	}
	// Delete the records that the old copy has numbered, because the accounts no longer contain what they count.
	for sequence := state.Acked + 1; sequence < state.Next; sequence++ {
		if err := replica.Edit([]kv.Edit{{Key: recordKeyAt(sequence)}}); err != nil {
			return records, 0, err
		}
		records++
	}
	for tenant := range replica.ReadPrefix(accountPrefix) {
		err := s.update(tenant, func(
			_ billing.Settings, _ int64, account billing.Account,
		) (billing.Account, error) {
			remaining, dropped := account.DropWindows(before.UnixNano())
			windows += dropped
			return remaining, nil
		})
		if err != nil {
			return records, windows, err
		}
	}
	next := max(after+1, state.Next)
	_, err = s.writeExportState(exportState{Next: next, Acked: next - 1}, index, nil)
	return records, windows, err
}
