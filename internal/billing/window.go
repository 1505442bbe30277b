package billing

import (
	"cmp"
	"maps"
	"slices"
)

// Window holds the usage of one window.
type Window struct {
	StartNanos       int64                 `json:"start"` // unix ns
	UnexportedByPlan map[string]MicroUnits `json:"used"`  // by plan, not yet exported
	Exported         MicroUnits            `json:"sent"`  // sum over all plans
}

// UsageRecord is usage to be billed. The usage of a tenant, plan and window is the sum of all records for them.
type UsageRecord struct {
	Sequence           uint64     `json:"sequence"` // numbers the records of all tenants from 1, without gaps
	Tenant             string     `json:"gestoria"`
	Plan               string     `json:"plan"`
	WindowStartSeconds int64      `json:"window_unix_s"` // unix s
	MicroUnits         MicroUnits `json:"micro_units"`
}

// records returns the window's unexported usage as one record per plan, ordered by plan and numbered from nextSequence.
func (w Window) records(tenant string, nextSequence uint64) []UsageRecord {
	var records []UsageRecord
	for _, plan := range slices.Sorted(maps.Keys(w.UnexportedByPlan)) {
		records = append(records, UsageRecord{
			Sequence:           nextSequence + uint64(len(records)),
			Tenant:             tenant,
			Plan:               plan,
			WindowStartSeconds: w.StartNanos / nanosPerSecond,
			MicroUnits:         w.UnexportedByPlan[plan],
		})
	}
	return records
}

// ensureWindow returns a pointer to the account's window with the given start, which it adds if it does not exist. The
// account must be a clone.
func (a *Account) ensureWindow(startNanos int64) *Window {
	byStart := func(window Window, startNanos int64) int { return cmp.Compare(window.StartNanos, startNanos) }
	index, found := slices.BinarySearchFunc(a.Windows, startNanos, byStart)
	if !found {
		added := Window{StartNanos: startNanos, UnexportedByPlan: map[string]MicroUnits{}}
		a.Windows = slices.Insert(a.Windows, index, added)
	}
	return &a.Windows[index]
}

// RecordUsage adds used units to a window. plan is the plan under which their requests were admitted. The error wraps
// ErrOutOfRange.
func (a Account) RecordUsage(
	settings Settings, windowStartNanos int64, plan string, units MicroUnits,
) (Account, error) {
	if units <= 0 || units > maxMicroUnits*maxReportFactor {
		return a, wrapWithSubject(ErrOutOfRange, "use of %d", units)
	}
	if windowStartNanos != settings.WindowStart(windowStartNanos) {
		return a, wrapWithSubject(ErrOutOfRange, "window %d", windowStartNanos)
	}
	a = a.clone()
	a.ensureWindow(windowStartNanos).UnexportedByPlan[plan] += units
	return a, nil
}

// CloseWindows returns the records of the windows whose export is due, numbered from nextSequence, and the account
// without the usage in these records. It does not wait for a reservation whose commits may still add usage to a
// window: such usage is exported in a further record.
func (a Account) CloseWindows(settings Settings, nowNanos int64, nextSequence uint64) (Account, []UsageRecord) {
	var records []UsageRecord
	updated := a.clone()
	windows := updated.Windows
	updated.Windows = nil
	for _, window := range windows {
		dueNanos := settings.exportDueNanos(window.StartNanos)
		if nowNanos < dueNanos {
			updated.Windows = append(updated.Windows, window)
			continue
		}
		for _, record := range window.records(a.Tenant, nextSequence) {
			records = append(records, record)
			window.Exported += record.MicroUnits
			nextSequence++
		}
		window.UnexportedByPlan = map[string]MicroUnits{}
		// The window is kept while one of its reservations may still be active, because Available subtracts the
		// exported usage from the window's allowance.
		if nowNanos < dueNanos+settings.MaxLeaseNanos+settings.ClockSkewNanos {
			updated.Windows = append(updated.Windows, window)
		}
	}
	if len(records) == 0 && len(updated.Windows) == len(a.Windows) {
		return a, nil
	}
	updated.prunePlanChanges(nowNanos - settings.WindowNanos - settings.ExportDelayNanos - settings.MaxLeaseNanos)
	return updated, records
}

// prunePlanChanges drops the plan changes that took effect before a time (unix ns), except for the last of them, which
// determines the plan in force. The account must be a clone.
func (a *Account) prunePlanChanges(beforeNanos int64) {
	for len(a.PlanChanges) > 1 && a.PlanChanges[1].EffectiveNanos < beforeNanos {
		a.PlanChanges = a.PlanChanges[1:]
	}
}

// DropWindows removes the windows that began before a time (unix ns), with their usage, and returns their number.
func (a Account) DropWindows(beforeNanos int64) (Account, int) {
	countBefore := len(a.Windows)
	a = a.clone()
	isBefore := func(window Window) bool { return window.StartNanos < beforeNanos }
	a.Windows = slices.DeleteFunc(a.Windows, isBefore)
	return a, countBefore - len(a.Windows)
}
