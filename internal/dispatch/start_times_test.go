package dispatch

import (
	"testing"
	"time"

	"fawnplank/internal/monotime"
	"fawnplank/policy"
)

func TestTranslateStart_AcrossClockSteps(t *testing.T) {
	const (
		hour = time.Hour
		age  = 3 * time.Second
	)
	now := monotime.FromNanos(int64(100 * time.Hour))
	started := now.Add(-age)
	for _, test := range []struct {
		name                     string
		wallNow, announced, want policy.Instant
	}{
		{"long ago", now.Add(-hour), policy.Instant{}, policy.Instant{}},
		{"no step", now, started, started},
		{"slewed", now.Add(900 * time.Millisecond), started, started},
		{"announced after a step back", now.Add(-hour), now.Add(-hour - age), started},
		{"announced before a step back", now.Add(-hour), started, started},
		{"announced after a step forward", now.Add(hour), now.Add(hour - age), started},
		{"announced before a step forward", now.Add(hour), started, started},
	} {
		if got := translateStart(clockReadings{now: now, wallNow: test.wallNow}, test.announced); got != test.want {
			t.Errorf("%s: start time is %v from now, want %v", test.name, got.Sub(now), test.want.Sub(now))
		}
	}
}

// TestDispatcher_BackendStartedAfterClockStepWarmsUp checks that a backend that starts after the wall clock was
// stepped by an hour gets as many attempts as one that starts without a step. A later list that announces the same
// start time does not make the backend another incarnation.
func TestDispatcher_BackendStartedAfterClockStepWarmsUp(t *testing.T) {
	countAttempts := func(clockStep time.Duration) (count int) {
		withFakeNetwork(t, 1, testSettings, func(n *fakeNetwork) {
			time.Sleep(2 * time.Second) // a new instance waits for one overload window
			wallNow := func() policy.Instant { return monotime.FromNanos(time.Now().Add(clockStep).UnixNano()) }
			n.dispatcher.mu.Lock()
			n.dispatcher.wallNow = wallNow
			n.dispatcher.mu.Unlock()
			endpoint := policy.Endpoint{Backend: 1, State: policy.EndpointReady, StartedAt: wallNow()}
			n.updateEndpoints(policy.FullSnapshot, endpoint)
			for range 50 {
				request := n.submit(0, time.Second)
				if step := request.NextStep(); step.Action == Send {
					count++
				}
				request.HandleClientGone()
				time.Sleep(2 * time.Millisecond)
				n.updateEndpoints(policy.FullSnapshot, endpoint)
			}
		})
		return count
	}
	want := countAttempts(0)
	for _, clockStep := range []time.Duration{-time.Hour, time.Hour} {
		if got := countAttempts(clockStep); got != want {
			t.Errorf("clock step of %v: %d of 50 requests sent, want %d as without a step", clockStep, got, want)
		}
	}
	if want == 50 {
		t.Error("all 50 requests were sent: the backend had no slow start")
	}
}
