package billing

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
)

const second = int64(1e9)

func terms() Settings {
	return Settings{WindowNanos: 60 * second, ChangeNoticeNanos: 5 * second, ClockSkewNanos: second, MaxLeaseNanos: 30 * second, ExportDelayNanos: 10 * second,
		Plans: map[string]Quota{"small": {1, 10}, "large": {5, 100}}}
}

func TestChanges(t *testing.T) {
	T, now := terms(), 1000*second
	a := Account{Tenant: "g"}
	do := func(c PlanChange, want error) {
		t.Helper()
		b, err := a.SchedulePlanChange(T, now, c)
		if !errors.Is(err, want) || want == nil && err != nil {
			t.Fatalf("%+v: %v", c, err)
		}
		if err == nil {
			a = b
		}
	}
	do(PlanChange{"1", now + 10*second, "large"}, nil)
	do(PlanChange{"1", now + 10*second, "large"}, nil) // sent twice
	do(PlanChange{"1", now + 20*second, "large"}, ErrConflict)
	do(PlanChange{"2", now + 10*second, "small"}, ErrConflict) // two at once
	do(PlanChange{"3", now + 4*second, "small"}, ErrTooSoon)
	do(PlanChange{"3", now + 20*second, "gold"}, ErrUnknown)
	do(PlanChange{"", now + 20*second, "small"}, ErrOutOfRange)
	do(PlanChange{"4", now + 8*second, "small"}, nil) // before the first
	if a.PlanAt(now) != "" || a.PlanAt(now+9*second) != "small" || a.PlanAt(now+10*second) != "large" || len(a.Changes) != 2 {
		t.Errorf("%+v", a.Changes)
	}
	if _, err := a.CancelChange(T, now+4*second, "4"); !errors.Is(err, ErrExpired) {
		t.Error(err)
	}
	if b, err := a.CancelChange(T, now+2*second, "4"); err != nil || b.PlanAt(now+9*second) != "" || len(a.Changes) != 2 {
		t.Error(err, b)
	}
	if _, err := a.CancelChange(T, now, "9"); !errors.Is(err, ErrUnknown) {
		t.Error(err)
	}
	// A window in which the plan changes allows each plan's rate for its time: 980 to 1008 none set (small is asked for), to
	// 1010 small, to 1020 large; and at once what the plan now in force does.
	start := T.start(now)
	if got := a.Allowance(T, start, now, "small").Float(); got != float64((1010-start/second)*1)+float64(start/second+60-1010)*5+10 {
		t.Error(got)
	}
}

func TestReservations(t *testing.T) {
	T, now := terms(), 6000*second // the start of a window: small allows 70 units
	a := Account{Tenant: "g"}
	a, h, err := a.Reserve(T, now, "r", "me", "small", 50e6, 10*second)
	if err != nil || h.Remaining != 50e6 {
		t.Fatal(err)
	}
	for _, x := range []struct {
		id, holder, plan string
		units            Units
		lease            int64
		want             error
	}{{"r", "other", "small", 1e6, second, ErrConflict}, {"s", "me", "small", 21e6, second, ErrNoCapacity}, {"s", "me", "gold", 1e6, second, ErrUnknown}, {"s", "me", "small", -1, second, ErrOutOfRange},
		{"s", "me", "small", 1 << 60, second, ErrOutOfRange}, {"s", "me", "small", 1e6, 0, ErrOutOfRange}, {"s", "me", "small", 1e6, 31 * second, ErrOutOfRange}, {"", "me", "small", 1e6, second, ErrOutOfRange}} {
		if b, _, err := a.Reserve(T, now, x.id, x.holder, x.plan, x.units, x.lease); !errors.Is(err, x.want) || fmt.Sprint(b) != fmt.Sprint(a) {
			t.Errorf("%+v: %v", x, err)
		}
	}
	if _, again, err := a.Reserve(T, now, "r", "me", "small", 50e6, second); err != nil || again != h {
		t.Error("sent twice: ", err, again)
	}
	first := h.Epoch
	if a, h, err = a.Commit(T, now, "r", first, 20e6); err != nil || h.Remaining != 30e6 {
		t.Fatal(err)
	}
	if _, _, err := a.Commit(T, now, "r", first, 20e6); !errors.Is(err, ErrStaleEpoch) {
		t.Error("a commit sent twice was done twice: ", err)
	}
	if _, _, err := a.Commit(T, now, "r", h.Epoch, 31e6); !errors.Is(err, ErrOutOfRange) {
		t.Error(err)
	}
	old := h
	if a, h, err = a.AdoptReservation(T, now, "r", "other", 10*second); err != nil {
		t.Fatal(err)
	}
	if _, _, err := a.Commit(T, now, "r", old.Epoch, 1e6); !errors.Is(err, ErrStaleEpoch) {
		t.Error("the old holder spent what another took: ", err)
	}
	if _, _, err := a.Commit(T, h.ExpiresNanos, "r", h.Epoch, 1e6); !errors.Is(err, ErrExpired) {
		t.Error("spent after its lease: ", err)
	}
	if b := a.ExpireReservations(T, h.ExpiresNanos+T.ClockSkewNanos-1); len(b.Reservations) != 1 {
		t.Error("returned while it may be spent on another clock")
	}
	b := a.ExpireReservations(T, h.ExpiresNanos+T.ClockSkewNanos)
	if len(b.Reservations) != 0 || b.Available(T, now, now, "small") != 50e6 {
		t.Error("not returned")
	}
	if _, _, err := b.Commit(T, now, "r", h.Epoch, 1e6); !errors.Is(err, ErrExpired) {
		t.Error("spent and returned: ", err)
	}
	if _, _, err := b.Reserve(T, now, "r", "me", "small", 1e6, second); !errors.Is(err, ErrExpired) {
		t.Error("an id that ended holds again: ", err)
	}
	// A plan that allows less than is used: nothing is taken away, and nothing more is granted.
	c, err := a.RecordUsage(T, now, "small", 60e6)
	if err != nil || c.Available(T, now, now, "small") >= 0 {
		t.Error(err)
	}
	if _, _, err := c.Reserve(T, now, "s", "me", "small", 1, second); !errors.Is(err, ErrNoCapacity) {
		t.Error(err)
	}
	if _, _, err := c.Commit(T, now, "r", h.Epoch, 30e6); err != nil {
		t.Error("what was granted does not hold: ", err)
	}
}

// Whatever is asked in whatever order, at clocks that differ: units are neither lost nor made. What was used and
// committed is in records and open windows, each once; what was granted is spent, returned or held; no grant passes the
// allowance; sequences have no gap.
func TestUnitsAreConserved(t *testing.T) {
	for seed := range uint64(60) {
		r := rand.New(rand.NewPCG(seed, 7))
		T, a, now := terms(), Account{Tenant: "g"}, 6000*second
		used, exported := Units(0), map[string]Units{}
		granted, spent := map[string]Units{}, map[string]Units{}
		epochs := map[string]uint64{}
		next := uint64(1)
		for step := range 600 {
			now += int64(r.IntN(4)) * second / 2
			clock := now + int64(r.IntN(1000))*second/1000 // of the door that is asked: within the skew
			id := fmt.Sprint("r", step/10-r.IntN(3))
			units := Units(1+r.IntN(40)) * 1e5
			before := fmt.Sprint(a)
			keep := a
			var err error
			switch r.IntN(9) {
			case 0:
				a, err = a.SchedulePlanChange(T, clock, PlanChange{fmt.Sprint(step), clock + int64(r.IntN(20))*second, []string{"small", "large", "gold"}[r.IntN(3)]})
			case 1, 2:
				start, plan := T.start(clock-int64(r.IntN(90))*second), []string{"small", "large"}[r.IntN(2)]
				if a, err = a.RecordUsage(T, start, plan, units); err == nil {
					used += units
				}
			case 3, 4:
				var h Reservation
				lapsed := a.ExpireReservations(T, clock)
				room := lapsed.Available(T, T.start(clock), clock, "small")
				if a, h, err = a.Reserve(T, clock, id, "me", "small", units, int64(1+r.IntN(20))*second); err == nil {
					if _, ok := granted[id]; !ok {
						if granted[id] = h.Remaining; h.Remaining > room {
							t.Fatalf("seed %d: %v granted of %v", seed, h.Remaining, room)
						}
					}
					epochs[id] = h.Epoch
				}
			case 5:
				var h Reservation
				if a, h, err = a.Commit(T, clock, id, epochs[id]-uint64(r.IntN(5)/4), units); err == nil {
					spent[id] += units
					used += units
					epochs[id] = h.Epoch
				}
			case 6:
				a, err = a.Release(T, clock, id, epochs[id])
			case 7:
				a = a.ExpireReservations(T, clock)
			case 8:
				var records []Record
				a, records = a.CloseWindows(T, clock, next)
				for _, x := range records {
					if x.Sequence != next || x.Units <= 0 {
						t.Fatalf("seed %d: %+v after %d", seed, x, next)
					}
					next++
					exported[x.Plan] += x.Units
				}
			}
			if fmt.Sprint(keep) != before || err != nil && fmt.Sprint(a.Windows, a.Changes) != fmt.Sprint(keep.Windows, keep.Changes) {
				t.Fatalf("seed %d, step %d: an account was changed by what did not happen: %v", seed, step, err)
			}
			sum := Units(0)
			for _, w := range a.Windows {
				for _, u := range w.Used {
					sum += u
				}
			}
			for _, u := range exported {
				sum += u
			}
			if sum != used {
				t.Fatalf("seed %d, step %d: %v used, %v in records and windows", seed, step, used, sum)
			}
			for id, g := range granted {
				if left := a.Reservations[id].Remaining; left+spent[id] > g {
					t.Fatalf("seed %d, step %d: %v granted to %s, %v spent and %v held", seed, step, g, id, spent[id], left)
				}
			}
		}
		if used == 0 || next < 5 || len(granted) < 5 {
			t.Fatalf("seed %d shows little: %v, %d, %d", seed, used, next, len(granted))
		}
	}
}
