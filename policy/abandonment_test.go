package policy

import (
	"testing"
	"time"
)

// Fault: clients who left before the answers of an overloaded fleet hid the overload, and requests that they
// would not wait for were sent on.
func TestAbandonment_RevealsOverloadAndLimitsSending(t *testing.T) {
	h := newHarnessWithoutCounter(t, readyEndpoints(1, 2, 3)...)
	h.serveTwentyRequests(100 * time.Millisecond)
	before := h.engine.latency.mean.Value
	submitAndAbandon := func(id RequestID) bool {
		request := h.submit(id, 0, 0, TenantID(id), 2*time.Second, 1)
		h.advance(240 * time.Millisecond)
		if len(request.attempts) == 0 {
			return false
		}
		h.disconnectClient(request)
		h.endAttempt(request, 0, Canceled)
		return true
	}
	sent := 0
	for n := range 40 {
		if submitAndAbandon(RequestID(100 + n)) {
			sent++
		}
	}
	if h.engine.latency.mean.Value < 1.1*before {
		t.Errorf("latency %.0f ms after attempts that took 240 and more", h.engine.latency.mean.Value/1e6)
	}
	if sent > 30 { // a client who stays for 240 ms is not worth an attempt where answers take longer
		t.Errorf("%d of 40 sent to backends that do not answer before their clients leave", sent)
	}
	share, timeToAbandonment := h.engine.plans[0].abandonment.abandonedShare.Value,
		h.engine.plans[0].abandonment.timeToAbandonment.Value
	if share < 0.3 || time.Duration(timeToAbandonment) > 250*time.Millisecond {
		t.Errorf("%.2f leave, after %.0f ms", share, timeToAbandonment/1e6)
	}
}

// Fault: after a burst of clients who left at once, all others of their plan were rejected for good, with
// backends idle: who is rejected at once shows nothing of how long it would have stayed (zone+brink, seed 32:
// 680 of one instance's in 22 s).
func TestAbandonment_BurstDecays(t *testing.T) {
	h := newHarnessWithoutCounter(t, readyEndpoints(1, 2, 3)...)
	h.serveTwentyRequests(100 * time.Millisecond)
	for n := range 20 {
		request := h.submit(RequestID(100+n), 0, 0, TenantID(n), 2*time.Second, 1)
		if len(request.attempts) == 0 {
			continue
		}
		request.finalAnswer = "client gone"
		request.handle.HandleClientGone(h.now.Add(10 * time.Millisecond))
		h.advance(10 * time.Millisecond)
		h.endAttempt(request, 0, Canceled)
	}
	if h.engine.plans[0].abandonment.abandonedShare.Value < 0.3 {
		t.Fatalf("%.2f left", h.engine.plans[0].abandonment.abandonedShare.Value)
	}
	served, servedLate := 0, 0
	for n := range 200 { // twenty seconds, and none leaves
		request := h.submit(RequestID(200+n), 0, 0, TenantID(n), 2*time.Second, 1)
		h.advance(100 * time.Millisecond)
		if len(request.attempts) > 0 {
			h.endAttempt(request, 0, Succeeded)
			if served++; n >= 120 {
				servedLate++
			}
		}
	}
	if servedLate < 80 {
		t.Errorf("%d of 200 served after it, %d of the last 80", served, servedLate)
	}
}

// TestAbandonment_SingleAbandonmentCausesNoRejections guards against rejections for no good reason: the first client
// of a plan that left made all others of the plan seem to leave as early.
func TestAbandonment_SingleAbandonmentCausesNoRejections(t *testing.T) {
	h := newHarnessWithoutCounter(t, readyEndpoints(1, 2, 3)...)
	first := h.submit(1, 0, 0, 1, 2*time.Second, 1)
	h.advance(4 * time.Millisecond)
	h.disconnectClient(first)
	h.endAttempt(first, 0, Canceled)
	rejected := 0
	for n := range 20 {
		request := h.submit(RequestID(10+n), 0, 0, TenantID(n), 2*time.Second, 1)
		h.advance(100 * time.Millisecond)
		if len(request.attempts) == 0 {
			rejected++
			continue
		}
		h.endAttempt(request, 0, Succeeded)
	}
	if rejected > 0 {
		t.Errorf("%d of 20 rejected after one client that left", rejected)
	}
}
