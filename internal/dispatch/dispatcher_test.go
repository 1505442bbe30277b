package dispatch

import (
	"testing"
	"time"

	"fawnplank/policy"
)

// TestDispatcher_UpdateEndpointsCancelsWaitingAttempts: an attempt that waits for its connection when its
// backend begins to drain must not be written, since connecting may take longer than the drain's grace.
func TestDispatcher_UpdateEndpointsCancelsWaitingAttempts(t *testing.T) {
	for name, update := range map[string]func(n *fakeNetwork, backend policy.BackendID){
		"draining": func(n *fakeNetwork, backend policy.BackendID) {
			n.updateEndpoints(policy.Delta, policy.Endpoint{Backend: backend, State: policy.EndpointDraining})
		},
		"gone": func(n *fakeNetwork, backend policy.BackendID) {
			n.updateEndpoints(policy.Delta, policy.Endpoint{Backend: backend, State: policy.EndpointGone})
		},
		"not listed": func(n *fakeNetwork, backend policy.BackendID) {
			other := policy.Endpoint{Backend: 3 - backend, State: policy.EndpointReady}
			n.updateEndpoints(policy.FullSnapshot, other)
		},
	} {
		t.Run(name, func(t *testing.T) {
			withNetwork(t, 1, testSettings, func(n *fakeNetwork) {
				request := n.submit(0, time.Second)
				first := request.NextStep().Attempt
				update(n, first.Backend)
				if first.Start(&fakeConn{}) {
					t.Error("the attempt was started")
				}
				if step := request.NextStep(); step.Action != Send || step.Attempt.Backend == first.Backend {
					t.Errorf("not sent elsewhere: %+v", step)
				}
				request.HandleClientGone()
			})
		})
	}
}

// TestDispatcher_PanicReleasesLock: after a panic of the engine other connections go on.
func TestDispatcher_PanicReleasesLock(t *testing.T) {
	withNetwork(t, 1, testSettings, func(n *fakeNetwork) {
		func() {
			defer func() {
				if recover() == nil {
					t.Error("no panic")
				}
			}()
			n.dispatcher.do(func(policy.Instant) { panic("broken") })
		}()
		request := n.submit(0, time.Second)
		if step := request.NextStep(); step.Action != Send {
			t.Errorf("%+v", step)
		}
		request.HandleClientGone()
	})
}

// TestDispatcher_PollsEndpoints: where endpoints are polled for, they are at the start, and again after a
// failure.
func TestDispatcher_PollsEndpoints(t *testing.T) {
	settings := testSettings
	settings.PollEndpoints = true
	settings.PollTimeout = 10e9
	withNetwork(t, 1, settings, func(n *fakeNetwork) {
		time.Sleep(500 * time.Millisecond) // far more than a few instances take to ask one after another
		if got := n.watches.Load(); got != 1 {
			t.Errorf("asked %d times", got)
		}
		n.dispatcher.UpdateEndpoints(policy.UpdateFailed, nil)
		time.Sleep(2 * time.Second)
		if got := n.watches.Load(); got != 2 {
			t.Errorf("asked %d times", got)
		}
	})
}

// TestDispatcher_PanicLeavesNothingToTheNextCall guards against requests that wait for a stranger: after a panic in
// the engine, the attempts that the call had ended and what it had asked of the network were left to the next,
// unrelated call.
func TestDispatcher_PanicLeavesNothingToTheNextCall(t *testing.T) {
	withNetwork(t, 1, testSettings, func(n *fakeNetwork) {
		d := n.dispatcher
		request := n.submit(0, time.Second)
		attempt := request.NextStep().Attempt
		func() {
			defer func() {
				if recover() == nil {
					t.Error("the panic does not reach the caller")
				}
			}()
			d.do(func(policy.Instant) {
				attempt.cancelWaiting(policy.ConnectFailed)
				effects{d}.CheckHealth(2)
				panic("test: the engine panics")
			})
		}()
		if state := attempt.state.load(); state != attemptSettled {
			t.Errorf("the attempt that the call ended is %v", state)
		}
		if left := d.networkWork; left.flushCounter || len(left.backendsToCheck) > 0 {
			t.Errorf("left to the next call: %+v", left)
		}
		request.HandleClientGone()
	})
}
