package policy

import (
	"testing"
	"time"
)

// TestSelection_NewInstanceOfManyHasFewInFlight guards against a fault: after their start, many instances sent every
// request that they got before the first late answer revealed the overload.
func TestSelection_NewInstanceOfManyHasFewInFlight(t *testing.T) {
	settings := defaultSettings()
	settings.CounterEnabled, settings.Instances = false, 100
	h, sent := newHarness(t, settings, readyEndpoints(1, 2, 3, 4, 5, 6, 7, 8, 9, 10)...), 0
	for n := range 40 {
		sent += len(h.submit(RequestID(n), 0, 0, TenantID(n), 2*time.Second, 1).attempts)
	}
	if sent < 1 || sent > 4 {
		t.Errorf("%d attempts in flight from one of 100 instances before any answer, want 1 to 4", sent)
	}
}

// TestSelection_InstancesFillTheirOwnSharesFirst guards against a fault: every instance sent to every backend, so that
// each of many instances had to detect each dead backend on its own.
func TestSelection_InstancesFillTheirOwnSharesFirst(t *testing.T) {
	first := map[BackendID]int{}
	for index := range 4 {
		settings := defaultSettings()
		settings.InstanceIndex = index
		settings.Instances = 4
		settings.CounterEnabled = false
		h := newHarness(t, settings, readyEndpoints(1, 2, 3, 4, 5, 6, 7, 8)...)
		for n := range 10 {
			request := h.submit(RequestID(n), 0, 0, TenantID(n), 2*time.Second, 1)
			first[request.attempts[0].endpoint.Backend] = index
			h.advance(100 * time.Millisecond)
			h.endAttempt(request, 0, Succeeded)
		}
		if len(first) != 2*(index+1) {
			t.Fatalf("%d backends in use by %d instances, want two per instance", len(first), index+1)
		}
	}
}
