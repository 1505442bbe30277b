package policy

import (
	"testing"
	"time"
)

// Fault: every connection reset under an attempt had its backend ejected, until most were.
func TestOutlier_SingleLostConnectionDoesNotEject(t *testing.T) {
	h := newHarnessWithoutCounter(t, readyEndpoints(1)...)
	request := h.submit(1, 0, 0, 1, 2*time.Second, 1)
	h.endAttempt(request, 0, ConnectionLost)
	if len(request.attempts) != 2 {
		t.Fatalf("%d attempts, the first cut off: %q", len(request.attempts), request.finalAnswer)
	}
	h.endAttempt(request, 1, Succeeded)
	next := h.submit(2, 0, 0, 1, 2*time.Second, 1)
	for n := range 3 {
		if len(next.attempts) <= n {
			t.Fatalf("ejected after %d cut off", n)
		}
		h.endAttempt(next, n, ConnectionLost)
	}
	if last := h.submit(3, 0, 0, 1, 2*time.Second, 1); len(last.attempts) > 0 {
		t.Error("still sent to after three in a row")
	}
}

// TestOutlier_LocalFailureDoesNotEject guards against ejections of healthy backends: an attempt for which this
// instance had no connection counted as a backend that cannot be reached, and so did a health check.
func TestOutlier_LocalFailureDoesNotEject(t *testing.T) {
	settings := defaultSettings()
	settings.CounterEnabled = false
	settings.Classes[0].Idempotency = NonIdempotent
	h := newHarness(t, settings, readyEndpoints(1)...)
	request := h.submit(1, 0, 0, 1, 2*time.Second, 1)
	h.endAttempt(request, 0, LocalFailure)
	if len(request.attempts) != 2 {
		t.Fatalf("%d attempts, the first one never connected: %q", len(request.attempts), request.finalAnswer)
	}
	h.endAttempt(request, 1, LocalFailure)
	h.endAttempt(request, 2, LocalFailure)
	if request.finalAnswer != "rejected" {
		t.Errorf("ended as %q", request.finalAnswer)
	}
	ejected := h.submit(2, 0, 0, 1, 2*time.Second, 1)
	h.endAttempt(ejected, 0, ConnectFailed)
	h.advance(250 * time.Millisecond)
	if len(h.pendingHealthChecks) != 1 {
		t.Fatalf("%d health checks", len(h.pendingHealthChecks))
	}
	h.engine.HandleHealthCheck(h.now, 1, LocalFailure)
	if next := h.submit(3, 0, 0, 1, 2*time.Second, 1); len(next.attempts) != 1 {
		t.Errorf("no attempt after a check that could not be made: %q", next.finalAnswer)
	}
}
