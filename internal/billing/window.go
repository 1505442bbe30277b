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
	Exported         MicroUnits            `json:"sent"`  // of all plans
}

// UsageRecord is usage to be billed. Records of the same tenant, plan and window add up.
type UsageRecord struct {
	Sequence           uint64     `json:"sequence"` // from 1 on, over all tenants, without a gap
	Tenant             string     `json:"gestoria"`
	Plan               string     `json:"plan"`
	WindowStartSeconds int64      `json:"window_unix_s"` // unix s
	MicroUnits         MicroUnits `json:"micro_units"`
}

// records returns the window's usage as records, in the order of plans and numbered from nextSequence on.
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

// ensureWindow returns the account's own window with the given start, and adds it if it does not exist. The
// account must be a clone.
func (a *Account) ensureWindow(startNanos int64) *Window {
	byStart := func(window Window, startNanos int64) int { return cmp.Compare(window.StartNanos, startNanos) }
	position, found := slices.BinarySearchFunc(a.Windows, startNanos, byStart)
	if !found {
		added := Window{StartNanos: startNanos, UnexportedByPlan: map[string]MicroUnits{}}
		a.Windows = slices.Insert(a.Windows, position, added)
	}
	return &a.Windows[position]
}

// RecordUsage adds units that were used under a plan, which is the plan under which their requests were
// admitted. The error wraps ErrOutOfRange.
func (a Account) RecordUsage(
	settings Settings, windowStartNanos int64, plan string, units MicroUnits,
) (Account, error) {
	if units <= 0 || units > maxUnitsValue*maxReportFactor {
		return a, annotate(ErrOutOfRange, "use of %d", units)
	}
	if windowStartNanos != settings.WindowStart(windowStartNanos) {
		return a, annotate(ErrOutOfRange, "window %d", windowStartNanos)
	}
	a = a.clone()
	a.ensureWindow(windowStartNanos).UnexportedByPlan[plan] += units
	return a, nil
}

// CloseWindows returns the records of windows whose export is due, numbered from nextSequence on, and the
// account without the usage in them. The export does not wait for a reservation that may still add to a
// window: what it adds makes a further record.
func (a Account) CloseWindows(settings Settings, nowNanos int64, nextSequence uint64) (Account, []UsageRecord) {
	var records []UsageRecord
	closed := a.clone()
	windows := closed.Windows
	closed.Windows = nil
	for _, window := range windows {
		exportAtNanos := settings.exportAt(window.StartNanos)
		if nowNanos < exportAtNanos {
			closed.Windows = append(closed.Windows, window)
			continue
		}
		for _, record := range window.records(a.Tenant, nextSequence) {
			records = append(records, record)
			window.Exported += record.MicroUnits
			nextSequence++
		}
		window.UnexportedByPlan = map[string]MicroUnits{}
		// The window stays while one of its reservations may be open, because the window's usage counts toward what
		// that reservation has available.
		if nowNanos < exportAtNanos+settings.MaxLeaseNanos+settings.ClockSkewNanos {
			closed.Windows = append(closed.Windows, window)
		}
	}
	if len(records) == 0 && len(closed.Windows) == len(a.Windows) {
		return a, nil
	}
	closed.forgetChanges(nowNanos - settings.WindowNanos - settings.ExportDelayNanos - settings.MaxLeaseNanos)
	return closed, records
}

// forgetChanges drops plan changes that took effect before a moment, except for the last of them, which
// determines the plan in force. The account must be a clone.
func (a *Account) forgetChanges(beforeNanos int64) {
	for len(a.PlanChanges) > 1 && a.PlanChanges[1].EffectiveNanos < beforeNanos {
		a.PlanChanges = a.PlanChanges[1:]
	}
}

// DropWindows drops the usage of windows that began before a moment, and returns how many windows it dropped.
func (a Account) DropWindows(beforeNanos int64) (Account, int) {
	count := len(a.Windows)
	a = a.clone()
	isBefore := func(window Window) bool { return window.StartNanos < beforeNanos }
	a.Windows = slices.DeleteFunc(a.Windows, isBefore)
	return a, count - len(a.Windows)
}
