package policy

import (
	"strings"
	"testing"
	"time"
)

// TestRetry_LongRequestIsNotStalled guards against a fault: with few attempts in flight, an attempt that merely took
// long counted as stalled and was sent again.
func TestRetry_LongRequestIsNotStalled(t *testing.T) {
	h := newHarnessWithoutCounter(t, readyEndpoints(1, 2)...)
	h.serveTwentyRequests(52 * time.Millisecond)
	request := h.submit(100, 0, 0, 100, 2*time.Second, 1)
	h.advance(200 * time.Millisecond)
	if h.endAttempt(request, 0, Succeeded); strings.Contains(strings.Join(h.log, "\n"), "cancel") {
		t.Error("an attempt was canceled after four mean latencies")
	}
	next := h.submit(101, 0, 0, 101, 2*time.Second, 1)
	h.advance(400 * time.Millisecond)
	if !strings.Contains(strings.Join(h.log, "\n"), "cancel 0 of 101") {
		t.Error("a stalled attempt was not canceled")
	}
	h.endAttempt(next, 0, Canceled)
	if len(next.attempts) != 2 || next.attempts[1].endpoint.Backend == next.attempts[0].endpoint.Backend {
		t.Error("no second attempt at another backend after a stalled attempt")
	}
}

// TestRetry_NonIdempotentIsAbortedAfterError guards against a fault: non-idempotent requests that may have run waited
// for capacity, although they could not be sent again.
func TestRetry_NonIdempotentIsAbortedAfterError(t *testing.T) {
	settings := defaultSettings()
	settings.Classes[0].Idempotency, settings.CounterEnabled = NonIdempotent, false
	h := newHarness(t, settings, readyEndpoints(1, 2)...)
	request := h.submit(1, 0, 0, 1, 2*time.Second, 1)
	if h.endAttempt(request, 0, Failed); request.finalAnswer != "aborted" {
		t.Errorf("after a failed attempt the request ended as %q, want aborted", request.finalAnswer)
	}
	next := h.submit(2, 0, 0, 2, 2*time.Second, 1)
	if h.endAttempt(next, 0, ConnectFailed); len(next.attempts) != 2 {
		t.Error("no second attempt although the first did not run")
	}
}

// TestRetry_SlowFleetIsNotTakenForStalled guards against a fault: one instance of many gets an answer of a given
// backend only once in several seconds. While the whole fleet was slow, attempts that took slightly longer than the
// mean were therefore canceled, and the work was done twice.
func TestRetry_SlowFleetIsNotTakenForStalled(t *testing.T) {
	h := newHarnessWithoutCounter(t, readyEndpoints(1, 2)...)
	h.serveTwentyRequests(160 * time.Millisecond)
	request := h.submit(100, 0, 0, 100, 2*time.Second, 1)
	h.advance(700 * time.Millisecond)
	if len(request.attempts) != 1 || strings.Contains(strings.Join(h.log, "\n"), "cancel") {
		t.Error("an attempt was canceled or repeated before five mean latencies had passed")
	}
	if h.engine.inFlightNotOverdue != 0 {
		t.Error("an overdue attempt still counts as not overdue")
	}
}
