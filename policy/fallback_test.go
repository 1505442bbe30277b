package policy

import "testing"

func TestFallback_RejectedCallAppliesFallbackMode(t *testing.T) {
	for mode, want := range []int{LocalShare: 5, FailOpen: 30, FailClosed: 0} { // local share: half of the burst of 10
		settings := defaultSettings()
		settings.Classes[0].FallbackMode = FallbackMode(mode)
		h := newHarness(t, settings, readyEndpoints(1, 2, 3)...)
		if admitted := h.countAdmitted(0, 30, 1, Rejected); admitted != want {
			t.Errorf("fallback mode %d: %d requests admitted, want %d", mode, admitted, want)
		}
	}
}
