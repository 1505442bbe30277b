package policy

import (
	"testing"
	"time"
)

// TestOutlier_SingleLostConnectionDoesNotEject guards against a fault: each connection that was reset during an
// attempt ejected its backend, until most backends were ejected.
func TestOutlier_SingleLostConnectionDoesNotEject(t *testing.T) {
	h := newHarnessWithoutCounter(t, readyEndpoints(1)...)
	request := h.submit(1, 0, 0, 1, 2*time.Second, 1)
	h.endAttempt(request, 0, ConnectionLost)
	if len(request.attempts) != 2 {
		t.Fatalf("%d attempts after a lost connection, want 2; the request ended as %q",
			len(request.attempts), request.finalAnswer)
	}
	h.endAttempt(request, 1, Succeeded)
	next := h.submit(2, 0, 0, 1, 2*time.Second, 1)
	for n := range 3 {
		if len(next.attempts) <= n {
			t.Fatalf("the backend was ejected after %d lost connections", n)
		}
		h.endAttempt(next, n, ConnectionLost)
	}
	if last := h.submit(3, 0, 0, 1, 2*time.Second, 1); len(last.attempts) > 0 {
		t.Error("the backend still gets attempts after three lost connections in a row")
	}
}

// TestOutlier_LocalFailureDoesNotEject guards against a fault: healthy backends were ejected. An attempt or a health
// check for which this instance could not open a connection counted as a failure to reach the backend.
func TestOutlier_LocalFailureDoesNotEject(t *testing.T) {
	settings := defaultSettings()
	settings.CounterEnabled = false
	settings.Classes[0].Idempotency = NonIdempotent
	h := newHarness(t, settings, readyEndpoints(1)...)
	request := h.submit(1, 0, 0, 1, 2*time.Second, 1)
	h.endAttempt(request, 0, LocalFailure)
	if len(request.attempts) != 2 {
		t.Fatalf("%d attempts after a local failure, want 2; the request ended as %q",
			len(request.attempts), request.finalAnswer)
	}
	h.endAttempt(request, 1, LocalFailure)
	h.endAttempt(request, 2, LocalFailure)
	if request.finalAnswer != "rejected" {
		t.Errorf("after three local failures the request ended as %q, want rejected", request.finalAnswer)
	}
	ejected := h.submit(2, 0, 0, 1, 2*time.Second, 1)
	h.endAttempt(ejected, 0, ConnectFailed)
	h.advance(250 * time.Millisecond)
	if len(h.pendingHealthChecks) != 1 {
		t.Fatalf("%d health checks after an ejection, want 1", len(h.pendingHealthChecks))
	}
	h.engine.HandleHealthCheck(h.now, 1, LocalFailure)
	if next := h.submit(3, 0, 0, 1, 2*time.Second, 1); len(next.attempts) != 1 {
		t.Errorf("no attempt after a health check with a local failure; the request ended as %q", next.finalAnswer)
	}
}
