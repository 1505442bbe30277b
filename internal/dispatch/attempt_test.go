package dispatch

import (
	"io"
	"sync"
	"testing"
	"time"

	"fawnplank/internal/monotime"
	"fawnplank/policy"
)

// TestAttempt_DoesNotStartAfterClientDisconnects guards against two faults of an attempt that waits for its
// connection when the client disconnects: with cancellation disabled, it was still written once the connection was
// established; with cancellation enabled, the backend counted as unreachable.
func TestAttempt_DoesNotStartAfterClientDisconnects(t *testing.T) {
	for _, cancellation := range []bool{false, true} {
		settings := testSettings
		settings.Cancellation = cancellation
		withFakeNetwork(t, 1, settings, func(n *fakeNetwork) {
			n.updateEndpoints(policy.FullSnapshot, policy.Endpoint{Backend: 1, State: policy.EndpointReady})
			request := n.submit(0, time.Second)
			attempt := request.NextStep().Attempt
			request.HandleClientGone()
			if attempt.Start(&fakeConn{}) {
				t.Error("the attempt started after its client had disconnected")
			}
			next := n.submit(0, time.Second)
			if step := next.NextStep(); step.Action != Send {
				t.Errorf("next request: step %+v, want an attempt to the only backend", step)
			}
			next.HandleClientGone()
			if inFlight := n.dispatcher.RequestsInFlight(); inFlight > 0 {
				t.Errorf("%d requests are still in flight", inFlight)
			}
		})
	}
}

// TestAttempt_RetryStartsWithinDedupWindow guards against a retry outside the dedup window: a retry of a request that
// is idempotent with a key was created within the window, waited for its connection, and was written after the end
// of the window.
func TestAttempt_RetryStartsWithinDedupWindow(t *testing.T) {
	settings := testSettings
	settings.Classes = []policy.ClassSettings{{LatencyObjective: 500e6, Deadline: 1500e6,
		Idempotency: policy.IdempotentWithKey, DedupWindow: 300 * time.Millisecond}}
	for delay, want := range map[time.Duration]bool{
		50 * time.Millisecond:  true,
		199 * time.Millisecond: true,
		200 * time.Millisecond: false,
		250 * time.Millisecond: false,
	} {
		withFakeNetwork(t, 1, settings, func(n *fakeNetwork) {
			request := n.submit(0, time.Second)
			first := request.NextStep().Attempt
			first.Start(newFakeConn(false))
			time.Sleep(100 * time.Millisecond)
			first.Report(nil, 0, ErrBackendFailed) // it may have run
			second := request.NextStep()
			if second.Action != Send {
				t.Errorf("%+v", second)
				return
			}
			time.Sleep(delay)
			if got := second.Attempt.Start(newFakeConn(false)); got != want {
				t.Errorf("retry %v after the first attempt: started = %t", 100*time.Millisecond+delay, got)
			}
			if !want {
				// The request is rejected and not aborted: all backends know its idempotency key, and the
				// client's next request has another key.
				if last := request.NextStep(); last.Action != Reject {
					t.Errorf("%+v", last)
				}
			}
			request.HandleClientGone()
		})
	}
}

// TestAttempt_AbandonedWhileWriting checks that an attempt that is abandoned while it is being written counts as one
// that may have run only if its writer reports that it was written completely.
func TestAttempt_AbandonedWhileWriting(t *testing.T) {
	for name, test := range map[string]struct {
		err  error
		want Action
	}{
		"partly written": {&NetworkError{Writing, io.ErrShortWrite}, Reject},
		"whole":          {&NetworkError{Written, io.EOF}, Abort},
	} {
		t.Run(name, func(t *testing.T) {
			withFakeNetwork(t, 1, testSettings, func(n *fakeNetwork) {
				request := n.submit(1, 400*time.Millisecond)
				attempt := request.NextStep().Attempt
				conn := newFakeConn(true)
				attempt.Start(conn)
				<-conn.abandoned
				attempt.Report(nil, 0, test.err)
				if got := request.NextStep(); got.Action != test.want {
					t.Errorf("step %+v, want action %v", got, test.want)
				}
			})
		})
	}
}

// TestAttempt_EndpointUpdateDoesNotCancelStarted guards against a race: an attempt that started between the check
// that it was still waiting and its cancellation was reported as one that cannot have run, so that a non-idempotent
// request could be sent again.
func TestAttempt_EndpointUpdateDoesNotCancelStarted(t *testing.T) {
	const (
		rounds   = 200
		attempts = 1000
	)
	draining := []policy.Endpoint{{Backend: 1, State: policy.EndpointDraining}}
	for range rounds {
		d := New()
		request := &Request{dispatcher: d}
		conns := make([]*fakeConn, attempts)
		for i := range conns {
			conns[i] = newFakeConn(false)
			request.newAttempt(policy.AttemptSpec{Backend: 1, StartBefore: monotime.MaxInstant})
		}
		d.requests[1] = request
		var starting sync.WaitGroup
		started := make([]bool, attempts)
		starting.Go(func() {
			for i := range started { // in the order of the cancellations, so that they often coincide
				started[i] = request.attempts[i].Start(conns[i])
			}
		})
		d.mu.Lock()
		d.cancelUnusableAttempts(newEndpointUpdate(policy.Delta, draining))
		d.mu.Unlock()
		starting.Wait()
		for i, conn := range conns {
			if started[i] && conn.isAbandoned() {
				t.Fatalf("attempt %d was abandoned although it had started", i)
			}
		}
	}
}
