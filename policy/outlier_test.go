package policy

import (
	"testing"
	"time"
)

// Fault: every connection reset under an attempt had its backend ejected, until most were.
func TestOutlier_LostConnectionIsNoDeadBackend(t *testing.T) {
	h := newHarnessWithoutCounter(t, readyEndpoints(1)...)
	request := h.submit(1, 0, 0, 1, 2*time.Second, 1)
	h.endAttempt(request, 0, ConnectionLost)
	if len(request.attempts) != 2 {
		t.Fatalf("%d attempts, the first cut off: %q", len(request.attempts), request.ended)
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
