package policy

import (
	"strings"
	"testing"
	"time"
)

// Fault: where few attempts are in flight, a merely long request was taken for a stalled one and sent again.
func TestRetry_LongRequestIsNotStalled(t *testing.T) {
	h := newHarnessWithoutCounter(t, readyEndpoints(1, 2)...)
	h.serveTwentyRequests(52 * time.Millisecond)
	request := h.submit(100, 0, 0, 100, 2*time.Second, 1)
	h.advance(200 * time.Millisecond)
	if h.endAttempt(request, 0, Succeeded); strings.Contains(strings.Join(h.log, "\n"), "cancel") {
		t.Error("canceled after four usual latencies")
	}
	next := h.submit(101, 0, 0, 101, 2*time.Second, 1)
	h.advance(400 * time.Millisecond)
	if !strings.Contains(strings.Join(h.log, "\n"), "cancel 0 of 101") {
		t.Error("a stalled attempt was not canceled")
	}
	h.endAttempt(next, 0, Canceled)
	if len(next.attempts) != 2 || next.attempts[1].endpoint.Backend == next.attempts[0].endpoint.Backend {
		t.Error("no attempt elsewhere after a stall")
	}
}

// Fault: requests that may have run were held back for capacity that could not help them.
func TestRetry_NonIdempotentIsAbortedAfterError(t *testing.T) {
	settings := defaultSettings()
	settings.Classes[0].Idempotency, settings.CounterEnabled = NonIdempotent, false
	h := newHarness(t, settings, readyEndpoints(1, 2)...)
	request := h.submit(1, 0, 0, 1, 2*time.Second, 1)
	if h.endAttempt(request, 0, Failed); request.finalAnswer != "aborted" {
		t.Errorf("after an error: %q", request.finalAnswer)
	}
	next := h.submit(2, 0, 0, 2, 2*time.Second, 1)
	if h.endAttempt(next, 0, ConnectFailed); len(next.attempts) != 2 {
		t.Error("no second attempt though the first did not run")
	}
}

// Fault: an instance of many gets an answer of a backend once in seconds; attempts a little longer than usual
// were canceled there, and the work done twice, while the whole fleet was slow.
func TestRetry_SlowFleetIsNotTakenForStalled(t *testing.T) {
	h := newHarnessWithoutCounter(t, readyEndpoints(1, 2)...)
	h.serveTwentyRequests(160 * time.Millisecond)
	request := h.submit(100, 0, 0, 100, 2*time.Second, 1)
	h.advance(700 * time.Millisecond)
	if len(request.attempts) != 1 || strings.Contains(strings.Join(h.log, "\n"), "cancel") {
		t.Error("canceled before five usual latencies")
	}
	if h.engine.inFlightNotOverdue != 0 {
		t.Error("overdue, and still held for one that is likely to end soon")
	}
}
