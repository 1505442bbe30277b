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
		name                  string
		wallNow, stated, want policy.Instant
	}{
		{"long ago", now.Add(-hour), policy.Instant{}, policy.Instant{}},
		{"no step", now, started, started},
		{"slewed", now.Add(900 * time.Millisecond), started, started},
		{"stated after a step back", now.Add(-hour), now.Add(-hour - age), started},
		{"stated before a step back", now.Add(-hour), started, started},
		{"stated after a step forward", now.Add(hour), now.Add(hour - age), started},
		{"stated before a step forward", now.Add(hour), started, started},
	} {
		if got := translateStart(clockReadings{now: now, wallNow: test.wallNow}, test.stated); got != test.want {
			t.Errorf("%s: %v from now, want %v", test.name, got.Sub(now), test.want.Sub(now))
		}
	}
}

// TestDispatcher_BackendStartedAfterClockStepWarmsUp: a backend that starts after the wall clock was stepped an
// hour back gets no more attempts than one that starts without a step. A later list that states the same start
// does not make it another incarnation.
func TestDispatcher_BackendStartedAfterClockStepWarmsUp(t *testing.T) {
	attempts := func(step time.Duration) (count int) {
		withNetwork(t, 1, testSettings, func(n *fakeNetwork) {
			time.Sleep(2 * time.Second) // a new instance waits an overload window
			wallNow := func() policy.Instant { return monotime.FromNanos(time.Now().Add(step).UnixNano()) }
			n.dispatcher.mu.Lock()
			n.dispatcher.wallNow = wallNow
			n.dispatcher.mu.Unlock()
			started := policy.Endpoint{Backend: 1, State: policy.EndpointReady, StartedAt: wallNow()}
			n.updateEndpoints(policy.FullSnapshot, started)
			for range 50 {
				request := n.submit(0, time.Second)
				if next := request.NextStep(); next.Action == Send {
					count++
				}
				request.HandleClientGone()
				time.Sleep(2 * time.Millisecond)
				n.updateEndpoints(policy.FullSnapshot, started)
			}
		})
		return count
	}
	want := attempts(0)
	for _, step := range []time.Duration{-time.Hour, time.Hour} {
		if got := attempts(step); got != want {
			t.Errorf("step of %v: %d of 50 requests sent, without a step %d", step, got, want)
		}
	}
	if want == 50 {
		t.Error("the backend does not warm up")
	}
}
