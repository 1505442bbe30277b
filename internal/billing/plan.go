package billing

import (
	"cmp"
	"math"
	"slices"
)

// maxPlanChangeLeadNanos is the longest time from the scheduling of a plan change to its effect: a leap year.
const maxPlanChangeLeadNanos = 366 * 24 * 3600 * nanosPerSecond

// PlanChange is a change of a tenant's plan that takes effect at a given time.
type PlanChange struct {
	ID             string `json:"id"`
	EffectiveNanos int64  `json:"at"` // unix ns
	Plan           string `json:"plan"`
}

// PlanAt returns the plan in force at a time (unix ns). It returns "" if no change has set a plan by then; in that case
// the plan that a request names applies.
func (a Account) PlanAt(atNanos int64) string {
	plan := ""
	for _, change := range a.PlanChanges {
		if change.EffectiveNanos <= atNanos {
			plan = change.Plan
		}
	}
	return plan
}

// SchedulePlanChange adds a change of the tenant's plan. It succeeds without effect if the account already contains
// exactly this change, so a client may repeat the call. The error wraps ErrOutOfRange, ErrNotFound, ErrConflict,
// ErrTooSoon or ErrNoCapacity.
func (a Account) SchedulePlanChange(settings Settings, nowNanos int64, change PlanChange) (Account, error) {
	if err := checkID(change.ID); err != nil {
		return a, err
	}
	if _, ok := settings.Plans[change.Plan]; !ok {
		return a, wrapWithSubject(ErrNotFound, "plan %.80q", change.Plan)
	}
	if slices.Contains(a.PlanChanges, change) {
		return a, nil
	}
	if err := a.checkPlanChange(settings, nowNanos, change); err != nil {
		return a, err
	}
	a = a.clone()
	a.PlanChanges = append(a.PlanChanges, change)
	slices.SortFunc(a.PlanChanges, func(x, y PlanChange) int {
		return cmp.Compare(x.EffectiveNanos, y.EffectiveNanos)
	})
	return a, nil
}

// checkPlanChange checks a new change's id and effective time, and that the account can hold one more change.
func (a Account) checkPlanChange(settings Settings, nowNanos int64, change PlanChange) error {
	for _, other := range a.PlanChanges {
		if other.ID == change.ID {
			return wrapWithSubject(ErrConflict, "id %q", change.ID)
		}
		if other.EffectiveNanos == change.EffectiveNanos {
			return wrapWithSubject(ErrConflict, "the moment, by change %q to %s,", other.ID, other.Plan)
		}
	}
	leadNanos := change.EffectiveNanos - nowNanos
	if change.EffectiveNanos < nowNanos+settings.PlanChangeNoticeNanos {
		return wrapWithSubject(ErrTooSoon, "the moment, %d ms from now where %d are needed,",
			leadNanos/nanosPerMilli, settings.PlanChangeNoticeNanos/nanosPerMilli)
	}
	if change.EffectiveNanos > nowNanos+maxPlanChangeLeadNanos {
		return wrapWithSubject(ErrOutOfRange, "the moment, more than a year ahead,")
	}
	if len(a.PlanChanges) >= maxPlanChanges {
		return wrapWithSubject(ErrNoCapacity, "the list of changes, of %d,", maxPlanChanges)
	}
	return nil
}

// CancelPlanChange removes a plan change. It fails with ErrExpired if the change takes effect in less than
// Settings.PlanChangeNoticeNanos, because an instance could then apply the change before the removal reaches it. The
// error may also wrap ErrNotFound.
func (a Account) CancelPlanChange(settings Settings, nowNanos int64, id string) (Account, error) {
	index := slices.IndexFunc(a.PlanChanges, func(change PlanChange) bool { return change.ID == id })
	if index < 0 {
		return a, wrapWithSubject(ErrNotFound, "change %.80q", id)
	}
	if a.PlanChanges[index].EffectiveNanos < nowNanos+settings.PlanChangeNoticeNanos {
		return a, wrapWithSubject(ErrExpired, "the time to take change %q back", id)
	}
	a = a.clone()
	a.PlanChanges = slices.Delete(a.PlanChanges, index, index+1)
	return a, nil
}

// Allowance returns the units that may be used in a window: the rate of each plan multiplied by the time that the plan
// is in force within the window, plus the burst of the plan in force at nowNanos. defaultPlan applies while no change
// has set a plan.
func (a Account) Allowance(settings Settings, windowStartNanos, nowNanos int64, defaultPlan string) MicroUnits {
	planQuota := func(plan string) Quota { return settings.Plans[cmp.Or(plan, defaultPlan)] }
	windowEndNanos := windowStartNanos + settings.WindowNanos
	units := 0.0
	segmentStartNanos := windowStartNanos
	plan := a.PlanAt(windowStartNanos)
	for _, change := range a.PlanChanges {
		if change.EffectiveNanos > windowStartNanos && change.EffectiveNanos < windowEndNanos {
			units += planQuota(plan).Rate * float64(change.EffectiveNanos-segmentStartNanos) / nanosPerSecond
			segmentStartNanos = change.EffectiveNanos
			plan = change.Plan
		}
	}
	units += planQuota(plan).Rate * float64(windowEndNanos-segmentStartNanos) / nanosPerSecond
	units += planQuota(a.PlanAt(nowNanos)).Burst
	return MicroUnits(math.Round(units * microsPerUnit))
}

// Available returns how many units of a window may still be reserved. The result is negative if more units are used
// and reserved than the window allows, for example after a change to a smaller plan.
func (a Account) Available(settings Settings, windowStartNanos, nowNanos int64, defaultPlan string) MicroUnits {
	available := a.Allowance(settings, windowStartNanos, nowNanos, defaultPlan)
	for _, window := range a.Windows {
		if window.StartNanos != windowStartNanos {
			continue
		}
		available -= window.Exported
		for _, used := range window.UnexportedByPlan {
			available -= used
		}
	}
	for _, reservation := range a.Reservations {
		if reservation.WindowStartNanos == windowStartNanos {
			available -= reservation.Remaining
		}
	}
	return available
}
