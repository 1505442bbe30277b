package dispatch

import (
	"io"
	"sync"
	"testing"
	"time"

	"fawnplank/internal/monotime"
	"fawnplank/policy"
)

// TestAttempt_DoesNotStartOnceClientIsGone guards against a fault: where the settings allow no cancellation,
// an attempt that waited for its connection when its client left was written all the same once the connection
// came up; where they do, its backend was taken for one that cannot be reached.
func TestAttempt_DoesNotStartOnceClientIsGone(t *testing.T) {
	for _, cancellation := range []bool{false, true} {
		settings := testSettings
		settings.Cancellation = cancellation
		withNetwork(t, 1, settings, func(n *fakeNetwork) {
			n.updateEndpoints(policy.FullSnapshot, policy.Endpoint{Backend: 1, State: policy.EndpointReady})
			request := n.submit(0, time.Second)
			attempt := request.NextStep().Attempt
			request.HandleClientGone()
			if attempt.Start(&fakeConn{}) {
				t.Error("started for a client that is gone")
			}
			next := n.submit(0, time.Second)
			if step := next.NextStep(); step.Action != Send {
				t.Errorf("the only backend is not sent to: %+v", step)
			}
			next.HandleClientGone()
			if open := n.dispatcher.RequestsInFlight(); open > 0 {
				t.Errorf("%d are in flight", open)
			}
		})
	}
}

// TestAttempt_RetryStartsWithinDedupWindow guards against a fault: a retry of a request that is idempotent
// with a key, decided on within the dedup window, waited for its connection and was written when the window
// was over.
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
		withNetwork(t, 1, settings, func(n *fakeNetwork) {
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
				t.Errorf("started %v after the first: %t", 100*time.Millisecond+delay, got)
			}
			if !want {
				// Rejected: all backends know its key, and the client's next request has another.
				if last := request.NextStep(); last.Action != Reject {
					t.Errorf("%+v", last)
				}
			}
			request.HandleClientGone()
		})
	}
}

// TestAttempt_AbandonedWhileWriting: an attempt that was given up while it was being written has run only if
// it got out whole, which its writer knows.
func TestAttempt_AbandonedWhileWriting(t *testing.T) {
	for name, test := range map[string]struct {
		err  error
		want Action
	}{
		"not whole": {&NetworkError{Writing, io.ErrShortWrite}, Reject},
		"whole":     {&NetworkError{Written, io.EOF}, Abort},
	} {
		t.Run(name, func(t *testing.T) {
			withNetwork(t, 1, testSettings, func(n *fakeNetwork) {
				request := n.submit(1, 400*time.Millisecond)
				attempt := request.NextStep().Attempt
				conn := newFakeConn(true)
				attempt.Start(conn)
				<-conn.abandoned
				attempt.Report(nil, 0, test.err)
				if got := request.NextStep(); got.Action != test.want {
					t.Errorf("%+v, wanted %v", got, test.want)
				}
			})
		})
	}
}

// TestAttempt_CancelWaitingSparesStarted guards against a race: an attempt that began between the check that it
// still waits and its cancellation was reported as one that cannot have run, so that a non-idempotent request
// could be sent again.
func TestAttempt_CancelWaitingSparesStarted(t *testing.T) {
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
			request.newAttempt(policy.AttemptSpec{Backend: 1, StartBefore: monotime.Latest})
		}
		d.requests[1] = request
		var beginning sync.WaitGroup
		begun := make([]bool, attempts)
		beginning.Go(func() {
			for i := range begun { // in the order of the cancellations, so that both meet often
				begun[i] = request.attempts[i].Start(conns[i])
			}
		})
		d.mu.Lock()
		d.cancelUnusableAttempts(newEndpointUpdate(policy.Delta, draining))
		d.mu.Unlock()
		beginning.Wait()
		for i, conn := range conns {
			if begun[i] && conn.isAbandoned() {
				t.Fatalf("attempt %d was abandoned although it had begun", i)
			}
		}
	}
}
