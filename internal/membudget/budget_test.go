package membudget

import (
	"testing"
	"testing/synctest"
	"time"
)

func TestBudget_Acquire(t *testing.T) {
	for _, test := range []struct {
		name         string
		budget       *Budget
		bytes        int64
		wantAcquired int64
	}{
		{name: "part of the budget", budget: New(10), bytes: 4, wantAcquired: 4},
		{name: "all", budget: New(10), bytes: 10, wantAcquired: 10},
		{name: "more than the budget", budget: New(10), bytes: 11, wantAcquired: 10},
		{name: "nothing", budget: New(10), bytes: 0, wantAcquired: 0},
		{name: "budget of 0 bytes", budget: New(0), bytes: 5, wantAcquired: 1},
		{name: "nil budget", budget: nil, bytes: 5, wantAcquired: 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			acquired, ok := test.budget.Acquire(test.bytes, time.Now())
			if acquired != test.wantAcquired || !ok {
				t.Errorf("acquired %d, ok %t, want %d", acquired, ok, test.wantAcquired)
			}
			test.budget.Release(acquired)
		})
	}
}

func TestBudget_AcquireGivesUpAtDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := New(10)
		budget.Acquire(7, time.Now())
		start := time.Now()
		if acquired, ok := budget.Acquire(4, start.Add(time.Second)); ok || acquired != 0 {
			t.Errorf("acquired %d bytes although only 3 are free", acquired)
		}
		if elapsed := time.Since(start); elapsed != time.Second {
			t.Errorf("gave up after %v", elapsed)
		}
		if acquired, ok := budget.Acquire(3, time.Now()); !ok || acquired != 3 {
			t.Errorf("acquired %d, ok %t: the Acquire that timed out still holds bytes", acquired, ok)
		}
	})
}

func TestBudget_AcquireWaitsForRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := New(10)
		acquired, _ := budget.Acquire(20, time.Now())
		time.AfterFunc(300*time.Millisecond, func() { budget.Release(acquired) })
		start := time.Now()
		if acquired, ok := budget.Acquire(4, start.Add(time.Second)); !ok || acquired != 4 {
			t.Errorf("acquired %d, ok %t, want 4 bytes", acquired, ok)
		}
		if elapsed := time.Since(start); elapsed != 300*time.Millisecond {
			t.Errorf("waited for %v", elapsed)
		}
	})
}
