package policy

import (
	"testing"
	"time"
)

// Fault: at their start many instances sent all they got before the first late answer showed overload.
func TestSelection_NewInstanceOfManyHasFewInFlight(t *testing.T) {
	settings := defaultSettings()
	settings.CounterEnabled, settings.Instances = false, 100
	h, sent := newHarness(t, settings, readyEndpoints(1, 2, 3, 4, 5, 6, 7, 8, 9, 10)...), 0
	for n := range 40 {
		sent += len(h.submit(RequestID(n), 0, 0, TenantID(n), 2*time.Second, 1).attempts)
	}
	if sent < 1 || sent > 4 {
		t.Errorf("%d attempts in flight from one of 100 instances before any answer", sent)
	}
}

// Fault: every instance tried every backend, so that each of many had to find each dead one for itself.
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
			t.Fatalf("%d backends in use by %d instances of two each", len(first), index+1)
		}
	}
}
