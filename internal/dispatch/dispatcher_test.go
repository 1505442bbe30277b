package dispatch

import (
	"testing"
	"time"

	"fawnplank/internal/monotime"
	"fawnplank/policy"
)

// atSecond returns the Instant that lies the given number of seconds after the clock's zero.
func atSecond(seconds int64) policy.Instant { return monotime.FromNanos(seconds * int64(time.Second)) }

// TestDispatcher_UpdateEndpointsCancelsWaitingAttempts checks that an attempt that waits for its connection when its
// backend begins to drain is not written, since connecting may take longer than the grace period of the drain.
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
			withFakeNetwork(t, 1, testSettings, func(n *fakeNetwork) {
				request := n.submit(0, time.Second)
				first := request.NextStep().Attempt
				update(n, first.Backend)
				if first.Start(&fakeConn{}) {
					t.Error("the attempt was started")
				}
				if step := request.NextStep(); step.Action != Send || step.Attempt.Backend == first.Backend {
					t.Errorf("step %+v, want an attempt to the other backend", step)
				}
				request.HandleClientGone()
			})
		})
	}
}

// Guards against an attempt to a process that was taken for another one: it waited for its connection when its backend
// was replaced by a new process at the same address, or by one with another zone or group, whose processes do not know
// the keys of the old one's. The new process is not held to have failed.
func TestDispatcher_NewIncarnationGetsNoWaitingAttempts(t *testing.T) {
	for name, replaced := range map[string]policy.Endpoint{
		"new process":   {StartedAt: atSecond(1000)},
		"other zone":    {Zone: 1},
		"other group":   {Group: 1},
		"warming group": {Group: 2, StartedAt: atSecond(1000)},
	} {
		t.Run(name, func(t *testing.T) {
			withFakeNetwork(t, 1, testSettings, func(n *fakeNetwork) {
				request := n.submit(1, time.Second)
				first := request.NextStep().Attempt
				replaced.Backend, replaced.State = first.Backend, policy.EndpointReady
				n.updateEndpoints(policy.Delta, replaced)
				if first.Start(newFakeConn(true)) {
					t.Error("the attempt was started")
					first.Report(nil, 0, nil)
					return
				}
				if step := request.NextStep(); step.Action != Send {
					t.Errorf("step %+v, want another attempt", step)
				}
				request.HandleClientGone()
			})
		})
	}
}

// TestDispatcher_UnchangedBackendKeepsWaitingAttempts checks that a list without changes cancels nothing.
func TestDispatcher_UnchangedBackendKeepsWaitingAttempts(t *testing.T) {
	withFakeNetwork(t, 1, testSettings, func(n *fakeNetwork) {
		request := n.submit(0, time.Second)
		first := request.NextStep().Attempt
		n.updateEndpoints(policy.FullSnapshot, policy.Endpoint{Backend: 1, State: policy.EndpointReady},
			policy.Endpoint{Backend: 2, State: policy.EndpointReady})
		if !first.Start(newFakeConn(true)) {
			t.Error("the attempt was canceled")
		}
		first.Report(nil, 0, nil)
	})
}

// TestDispatcher_PanicReleasesLock checks that requests of other connections are still handled after a panic in the
// engine.
func TestDispatcher_PanicReleasesLock(t *testing.T) {
	withFakeNetwork(t, 1, testSettings, func(n *fakeNetwork) {
		func() {
			defer func() {
				if recover() == nil {
					t.Error("the panic did not propagate to the caller")
				}
			}()
			n.dispatcher.callEngine(func(policy.Instant) { panic("broken") })
		}()
		request := n.submit(0, time.Second)
		if step := request.NextStep(); step.Action != Send {
			t.Errorf("%+v", step)
		}
		request.HandleClientGone()
	})
}

// TestDispatcher_PollsEndpoints checks that, with polling of endpoints enabled, the list is requested at the start
// and again after a failed update.
func TestDispatcher_PollsEndpoints(t *testing.T) {
	settings := testSettings
	settings.PollEndpoints = true
	settings.PollTimeout = 10e9
	withFakeNetwork(t, 1, settings, func(n *fakeNetwork) {
		time.Sleep(500 * time.Millisecond) // far more than several instances need to request it one after another
		if got := n.watchCalls.Load(); got != 1 {
			t.Errorf("list requested %d times at the start, want 1", got)
		}
		n.dispatcher.UpdateEndpoints(policy.UpdateFailed, nil)
		time.Sleep(2 * time.Second)
		if got := n.watchCalls.Load(); got != 2 {
			t.Errorf("list requested %d times after a failed update, want 2", got)
		}
	})
}

// TestDispatcher_PanicLeavesNoWorkForNextCall guards against requests that wait for an unrelated call: after a panic
// in the engine, the attempts that the call had ended and the network work that it had requested were not handled
// before the next call.
func TestDispatcher_PanicLeavesNoWorkForNextCall(t *testing.T) {
	withFakeNetwork(t, 1, testSettings, func(n *fakeNetwork) {
		d := n.dispatcher
		request := n.submit(0, time.Second)
		attempt := request.NextStep().Attempt
		func() {
			defer func() {
				if recover() == nil {
					t.Error("the panic did not propagate to the caller")
				}
			}()
			d.callEngine(func(policy.Instant) {
				attempt.cancelWaiting(policy.ConnectFailed)
				effects{d}.CheckHealth(2)
				panic("test: the engine panics")
			})
		}()
		if state := attempt.state.load(); state != attemptSettled {
			t.Errorf("state of the attempt that the call ended: %v, want settled", state)
		}
		if remaining := d.networkWork; remaining.flushCounter || len(remaining.backendsToCheck) > 0 {
			t.Errorf("network work remaining for the next call: %+v, want none", remaining)
		}
		request.HandleClientGone()
	})
}
