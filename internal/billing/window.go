package billing

import (
	"cmp"
	"maps"
	"slices"
)

// Window holds the usage of one window.
type Window struct {
	StartNanos int64            `json:"start"` // unix ns
	Used       map[string]Units `json:"used"`  // by plan, not yet exported
	Exported   Units            `json:"sent"`  // of all plans
}

// Record is usage to be billed. Records of the same tenant, plan and window add up.
type Record struct {
	Sequence           uint64 `json:"sequence"`
	Tenant             string `json:"gestoria"`
	Plan               string `json:"plan"`
	WindowStartSeconds int64  `json:"window_unix_s"`
	Units              Units  `json:"micro_units"`
}

// window returns the account's own window with the given start, and adds it if it does not exist. The account
// must be a clone.
func (a *Account) window(start int64) *Window {
	position, found := slices.BinarySearchFunc(a.Windows, start, func(window Window, start int64) int {
		return cmp.Compare(window.StartNanos, start)
	})
	if !found {
		a.Windows = slices.Insert(a.Windows, position, Window{StartNanos: start, Used: map[string]Units{}})
	}
	return &a.Windows[position]
}

// RecordUsage adds units that were used under a plan, which is the plan under which their requests were
// admitted.
func (a Account) RecordUsage(
	settings Settings, windowStart int64, plan string, units Units,
) (Account, error) {
	if units <= 0 || units > maxUnits*microsPerUnit*maxReportFactor {
		return a, annotate(ErrOutOfRange, "use of %d", units)
	}
	if windowStart != settings.windowStart(windowStart) {
		return a, annotate(ErrOutOfRange, "window %d", windowStart)
	}
	a = a.clone()
	a.window(windowStart).Used[plan] += units
	return a, nil
}

// CloseWindows returns the records of windows whose export is due, numbered from nextSequence on, and the
// account without the usage in them. The export does not wait for a reservation that may still add to a
// window: what it adds makes a further record.
func (a Account) CloseWindows(settings Settings, now int64, nextSequence uint64) (Account, []Record) {
	var records []Record
	closed := a.clone()
	windows := closed.Windows
	closed.Windows = nil
	for _, window := range windows {
		exportAt := settings.exportAt(window.StartNanos)
		if now < exportAt {
			closed.Windows = append(closed.Windows, window)
			continue
		}
		for _, plan := range slices.Sorted(maps.Keys(window.Used)) {
			units := window.Used[plan]
			records = append(records, Record{
				Sequence:           nextSequence,
				Tenant:             a.Tenant,
				Plan:               plan,
				WindowStartSeconds: window.StartNanos / 1e9,
				Units:              units,
			})
			nextSequence++
			window.Exported += units
		}
		window.Used = map[string]Units{}
		// The window stays while one of its reservations may be open, because the window's usage counts toward what
		// that reservation has available.
		if now < exportAt+settings.MaxLeaseNanos+settings.ClockSkewNanos {
			closed.Windows = append(closed.Windows, window)
		}
	}
	if len(records) == 0 && len(closed.Windows) == len(a.Windows) {
		return a, nil
	}
	closed.forgetChanges(now - settings.WindowNanos - settings.ExportDelayNanos - settings.MaxLeaseNanos)
	return closed, records
}

// forgetChanges drops plan changes that took effect before a moment, except for the last of them, which
// determines the plan in force. The account must be a clone.
func (a *Account) forgetChanges(before int64) {
	for len(a.Changes) > 1 && a.Changes[1].EffectiveNanos < before {
		a.Changes = a.Changes[1:]
	}
}

// DropWindows drops the usage of windows that began before a moment, and returns how many windows it dropped.
func (a Account) DropWindows(before int64) (Account, int) {
	count := len(a.Windows)
	a = a.clone()
	a.Windows = slices.DeleteFunc(a.Windows, func(window Window) bool { return window.StartNanos < before })
	return a, count - len(a.Windows)
}
