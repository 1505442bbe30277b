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
		{"sent twice", PlanChange{"1", now + 10*second, "large"}, nil},
		{"same id, another moment", PlanChange{"1", now + 20*second, "large"}, ErrConflict},
		{"two at once", PlanChange{"2", now + 10*second, "small"}, ErrConflict},
		{"too soon", PlanChange{"3", now + 4*second, "small"}, ErrTooSoon},
		{"unknown plan", PlanChange{"3", now + 20*second, "gold"}, ErrNotFound},
		{"no id", PlanChange{"", now + 20*second, "small"}, ErrOutOfRange},
		{"before the first", PlanChange{"4", now + 8*second, "small"}, nil},
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
	// A window in which the plan changes allows each plan's rate for its time: until 1008 no plan is set (small
	// is the default), until 1010 small, then large. The burst is that of the plan now in force.
	start := settings.WindowStart(now)
	small := float64((1010 - start/second) * 1)
	large := float64(start/second+60-1010) * 5
	if got := account.Allowance(settings, start, now, "small").Float(); got != small+large+10 {
		t.Error(got)
	}
}
