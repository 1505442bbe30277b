package billing

import (
	"errors"
	"testing"
)

const second = int64(1e9)

func testSettings() Settings {
	return Settings{
		WindowNanos:           60 * second,
		PlanChangeNoticeNanos: 5 * second,
		ClockSkewNanos:        second,
		MaxLeaseNanos:         30 * second,
		ExportDelayNanos:      10 * second,
		Plans:                 map[string]Quota{"small": {Rate: 1, Burst: 10}, "large": {Rate: 5, Burst: 100}},
	}
}

func TestAccount_SchedulesAndCancelsPlanChanges(t *testing.T) {
	settings := testSettings()
	now := 1000 * second
	account := Account{Tenant: "g"}
	for _, test := range []struct {
		name   string
		change PlanChange
		want   error
	}{
		{"first", PlanChange{"1", now + 10*second, "large"}, nil},
		{"repeated request", PlanChange{"1", now + 10*second, "large"}, nil},
		{"same id, another time", PlanChange{"1", now + 20*second, "large"}, ErrConflict},
		{"same time, another id", PlanChange{"2", now + 10*second, "small"}, ErrConflict},
		{"too soon", PlanChange{"3", now + 4*second, "small"}, ErrTooSoon},
		{"unknown plan", PlanChange{"3", now + 20*second, "gold"}, ErrNotFound},
		{"no id", PlanChange{"", now + 20*second, "small"}, ErrOutOfRange},
		{"earlier than the first", PlanChange{"4", now + 8*second, "small"}, nil},
	} {
		changed, err := account.SchedulePlanChange(settings, now, test.change)
		if !errors.Is(err, test.want) || test.want == nil && err != nil {
			t.Fatalf("%s: %+v: %v", test.name, test.change, err)
		}
		if err == nil {
			account = changed
		}
	}
	if account.PlanAt(now) != "" || account.PlanAt(now+9*second) != "small" ||
		account.PlanAt(now+10*second) != "large" || len(account.PlanChanges) != 2 {
		t.Errorf("%+v", account.PlanChanges)
	}
	if _, err := account.CancelPlanChange(settings, now+4*second, "4"); !errors.Is(err, ErrExpired) {
		t.Error(err)
	}
	canceled, err := account.CancelPlanChange(settings, now+2*second, "4")
	if err != nil || canceled.PlanAt(now+9*second) != "" || len(account.PlanChanges) != 2 {
		t.Error(err, canceled)
	}
	if _, err := account.CancelPlanChange(settings, now, "9"); !errors.Is(err, ErrNotFound) {
		t.Error(err)
	}
	// The allowance of a window in which the plan changes is the sum of each plan's rate for its time in force: the
	// default small until 1008 s, the scheduled small until 1010 s, then large. The burst is that of the plan in force
	// at now.
	start := settings.WindowStart(now)
	smallUnits := float64((1010 - start/second) * 1)
	largeUnits := float64(start/second+60-1010) * 5
	if got := account.Allowance(settings, start, now, "small").Float(); got != smallUnits+largeUnits+10 {
		t.Error(got)
	}
}
