package policy

import (
	"testing"
	"time"
)

// Guards against a hard quota that grants its burst after a restart or depends on the counter (rule 5).
func TestHardQuota_StartsEmptyAndNeedsNoCounter(t *testing.T) {
	settings := defaultSettings()
	settings.Plans[0] = PlanSettings{HardQuotaRate: 4, HardQuotaBurst: 8}
	h := newHarness(t, settings, readyEndpoints(1, 2, 3)...)
	sent := 0
	for n := range 400 {
		if request := h.submit(RequestID(n), 0, 0, 1, 2*time.Second, 1); len(request.attempts) > 0 {
			sent++
			h.endAttempt(request, 0, Succeeded)
		}
		h.advance(20 * time.Millisecond)
		// This instance's half of four units a second; the bucket starts empty.
		if upper := 2 * float64(h.now.Sub(testStart)) / float64(time.Second); float64(sent) > upper+roundingTolerance {
			t.Fatalf("%d units sent, want at most %.1f", sent, upper)
		}
	}
	if sent < 14 {
		t.Errorf("%d units sent in 8 s, want at least 14 of the 16 that the hard quota allows", sent)
	}
}
