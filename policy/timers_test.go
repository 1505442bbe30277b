package policy

import (
	"testing"
	"time"
)

// TestTimers_EarlyWakeupIsRequestedAgain guards against a fault: on a coarser clock a wake-up came slightly before its
// time, and no other one was requested.
func TestTimers_EarlyWakeupIsRequestedAgain(t *testing.T) {
	h := newHarness(t, defaultSettings(), readyEndpoints(1)...)
	h.submit(1, 0, 0, 1, 2*time.Second, 1)
	w := h.wakeups[len(h.wakeups)-1]
	h.wakeups = nil
	h.now = w.at.Add(-1)
	h.engine.HandleTimer(h.now, w.timer)
	if len(h.wakeups) != 1 {
		t.Fatal("no new wake-up requested after an early one")
	}
	h.advance(10 * time.Millisecond)
	if len(h.sentTimes[1]) != 1 {
		t.Error("the request was not sent after the second wake-up")
	}
}
