package policy

import (
	"testing"
	"time"
)

// Fault: a wake came a little before its time on a coarser clock, and none was asked for again.
func TestTimers_EarlyWakeupIsRequestedAgain(t *testing.T) {
	h := newHarness(t, defaultSettings(), readyEndpoints(1)...)
	h.submit(1, 0, 0, 1, 2*time.Second, 1)
	w := h.wakeups[len(h.wakeups)-1]
	h.wakeups = nil
	h.now = w.at.Add(-1)
	h.engine.HandleTimer(h.now, w.timer)
	if len(h.wakeups) != 1 {
		t.Fatal("no wake asked for again")
	}
	h.advance(10 * time.Millisecond)
	if len(h.sentTimes[1]) != 1 {
		t.Error("the request was forgotten")
	}
}
