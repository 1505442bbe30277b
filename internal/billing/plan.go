package billing

import (
	"cmp"
	"math"
	"slices"
)

// maxChangeAheadNanos is how far ahead a plan change may lie: one year, which may be a leap year.
const maxChangeAheadNanos = 366 * 24 * 3600 * nanosPerSecond

// PlanChange puts a plan in force from a moment on.
type PlanChange struct {
	ID             string `json:"id"`
	EffectiveNanos int64  `json:"at"` // unix ns
	Plan           string `json:"plan"`
}

// PlanAt returns the plan in force at a moment (unix ns). It is empty if no change has set one; then the plan that a
// request asks for applies.
func (a Account) PlanAt(atNanos int64) string {
	plan := ""
	for _, change := range a.PlanChanges {
		if change.EffectiveNanos <= atNanos {
			plan = change.Plan
		}
	}
	return plan
}

// SchedulePlanChange sets the tenant's plan from a moment on. Repeating the same change is not an error,
// since the change has already been made. The error wraps ErrOutOfRange, ErrNotFound, ErrConflict, ErrTooSoon or
// ErrNoCapacity.
func (a Account) SchedulePlanChange(settings Settings, nowNanos int64, change PlanChange) (Account, error) {
	if err := checkID(change.ID); err != nil {
		return a, err
	}
	if _, ok := settings.Plans[change.Plan]; !ok {
		return a, annotate(ErrNotFound, "plan %.80q", change.Plan)
	}
	if slices.Contains(a.PlanChanges, change) {
		return a, nil
	}
	if err := a.checkChange(settings, nowNanos, change); err != nil {
		return a, err
	}
	a = a.clone()
	a.PlanChanges = append(a.PlanChanges, change)
	slices.SortFunc(a.PlanChanges, func(x, y PlanChange) int {
		return cmp.Compare(x.EffectiveNanos, y.EffectiveNanos)
	})
	return a, nil
}

// checkChange checks a new change against the existing ones, and checks its moment.
func (a Account) checkChange(settings Settings, nowNanos int64, change PlanChange) error {
	for _, other := range a.PlanChanges {
		if other.ID == change.ID {
			return annotate(ErrConflict, "id %q", change.ID)
		}
		if other.EffectiveNanos == change.EffectiveNanos {
			return annotate(ErrConflict, "the moment, by change %q to %s,", other.ID, other.Plan)
		}
	}
	aheadNanos := change.EffectiveNanos - nowNanos
	if change.EffectiveNanos < nowNanos+settings.PlanChangeNoticeNanos {
		return annotate(ErrTooSoon, "the moment, %d ms from now where %d are needed,",
			aheadNanos/nanosPerMilli, settings.PlanChangeNoticeNanos/nanosPerMilli)
	}
	if change.EffectiveNanos > nowNanos+maxChangeAheadNanos {
		return annotate(ErrOutOfRange, "the moment, more than a year ahead,")
	}
	if len(a.PlanChanges) >= maxChanges {
		return annotate(ErrNoCapacity, "the list of changes, of %d,", maxChanges)
	}
	return nil
}

// CancelPlanChange cancels a change that no instance applies yet. The error wraps ErrNotFound or ErrExpired.
func (a Account) CancelPlanChange(settings Settings, nowNanos int64, id string) (Account, error) {
	position := slices.IndexFunc(a.PlanChanges, func(change PlanChange) bool { return change.ID == id })
	if position < 0 {
		return a, annotate(ErrNotFound, "change %.80q", id)
	}
	if a.PlanChanges[position].EffectiveNanos < nowNanos+settings.PlanChangeNoticeNanos {
		return a, annotate(ErrExpired, "the time to take change %q back", id)
	}
	a = a.clone()
	a.PlanChanges = slices.Delete(a.PlanChanges, position, position+1)
	return a, nil
}

// Allowance returns the units that a window allows: the rate of each plan for the time that it is in force in
// the window, plus the burst of the plan now in force. defaultPlan applies where no change has set a plan.
func (a Account) Allowance(settings Settings, windowStartNanos, nowNanos int64, defaultPlan string) MicroUnits {
	quota := func(plan string) Quota { return settings.Plans[cmp.Or(plan, defaultPlan)] }
	endNanos := windowStartNanos + settings.WindowNanos
	sum := 0.0
	fromNanos := windowStartNanos
	plan := a.PlanAt(windowStartNanos)
	for _, change := range a.PlanChanges {
		if change.EffectiveNanos > windowStartNanos && change.EffectiveNanos < endNanos {
			sum += quota(plan).Rate * float64(change.EffectiveNanos-fromNanos) / nanosPerSecond
			fromNanos = change.EffectiveNanos
			plan = change.Plan
		}
	}
	sum += quota(plan).Rate * float64(endNanos-fromNanos) / nanosPerSecond
	sum += quota(a.PlanAt(nowNanos)).Burst
	return MicroUnits(math.Round(sum * microsPerUnit))
}

// Available returns how many units of a window may still be reserved. It is below 0 if a plan change left
// less than is already used or reserved.
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
