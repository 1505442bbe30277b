package dispatch

import (
	"io"
	"testing"
	"time"

	"fawnplank/policy"
)

// Guards against a request that runs after its end: the rest of its command was written although its client had left,
// where the settings do not allow attempts to be canceled.
func TestDelivery_EndIsNotWrittenAfterTheRequestEnds(t *testing.T) {
	for _, cancellation := range []bool{false, true} {
		settings := testSettings
		settings.Cancellation = cancellation
		withFakeNetwork(t, 1, settings, func(n *fakeNetwork) {
			request := n.submit(1, time.Second)
			attempt := request.NextStep().Attempt
			conn := newFakeConn(true)
			attempt.Start(conn)
			attempt.BeginDelivery()
			attempt.ReportDelivery(0.5)
			request.HandleClientGone()
			if !conn.isAbandoned() || attempt.CompleteDelivery() {
				t.Errorf("cancellation %t: the end may be written after the client has left", cancellation)
			}
			attempt.Report(nil, 0, &NetworkError{Writing, io.ErrShortWrite})
			if inFlight := n.dispatcher.RequestsInFlight(); inFlight > 0 {
				t.Errorf("%d requests are still in flight", inFlight)
			}
		})
	}
}

// TestDelivery_CompleteAttemptIsNotCanceled checks that an attempt whose end was written goes on after its client has
// left, where the settings do not allow attempts to be canceled.
func TestDelivery_CompleteAttemptIsNotCanceled(t *testing.T) {
	settings := testSettings
	settings.Cancellation = false
	withFakeNetwork(t, 1, settings, func(n *fakeNetwork) {
		request := n.submit(0, time.Second)
		attempt := request.NextStep().Attempt
		conn := newFakeConn(true)
		attempt.Start(conn)
		attempt.BeginDelivery()
		if !attempt.CompleteDelivery() {
			t.Error("the end of the command may not be written")
		}
		if request.HandleClientGone(); conn.isAbandoned() {
			t.Error("a complete attempt was canceled")
		}
		attempt.Report(nil, 0, nil)
	})
}

// Guards against an effect that happens twice: the command of a retry arrived after the backends had dropped the key of
// an earlier attempt, since only its first byte had to be written before that.
func TestDelivery_EndIsNotWrittenAfterTheStartDeadline(t *testing.T) {
	withFakeNetwork(t, 1, testSettings, func(n *fakeNetwork) {
		request := n.submit(1, time.Second)
		attempt := request.NextStep().Attempt
		conn := newFakeConn(true)
		attempt.Start(conn)
		attempt.BeginDelivery()
		attempt.startDeadline = n.dispatcher.now()
		if attempt.CompleteDelivery() || !conn.isAbandoned() {
			t.Error("the end may be written after the start deadline")
		}
		attempt.Report(nil, 0, &NetworkError{Writing, io.ErrShortWrite})
		if step := request.NextStep(); step.Action != Send {
			t.Errorf("step %+v, want another attempt, since this one did not run", step)
		}
		request.HandleClientGone()
	})
}

// TestDelivery_MovesResultDeadline checks that an attempt with an expiry of its own does not end at it while its
// command makes progress.
func TestDelivery_MovesResultDeadline(t *testing.T) {
	settings := testSettings
	settings.Cancellation, settings.Hedging = false, false
	withFakeNetwork(t, 1, settings, func(n *fakeNetwork) {
		request := n.submit(0, 1200*time.Millisecond)
		attempt := request.NextStep().Attempt
		conn := newFakeConn(true)
		attempt.Start(conn)
		attempt.BeginDelivery()
		for step := 1; step <= 8; step++ { // 800 ms, longer than the longest attempt timeout
			time.Sleep(100 * time.Millisecond)
			attempt.ReportDelivery(float64(step) / 10)
		}
		if conn.isAbandoned() {
			t.Error("the attempt ended while its command made progress")
		}
		time.Sleep(450 * time.Millisecond)
		if !conn.isAbandoned() {
			t.Error("the attempt goes on after the deadline of its request")
		}
		attempt.Report(nil, 0, &NetworkError{Writing, io.ErrShortWrite})
	})
}

// TestOutcome_GivenUpBeforeWritten checks that an attempt that this instance gave up before it was written is not held
// against its backend.
func TestOutcome_GivenUpBeforeWritten(t *testing.T) {
	attempt := &Attempt{}
	attempt.state.store(attemptAbandoned)
	if got := attempt.reportedOutcome(&NetworkError{Writing, io.EOF}); got != policy.LocalFailure {
		t.Errorf("outcome %v, want %v", got, policy.LocalFailure)
	}
}
