package policy

import (
	"testing"
	"time"
)

// Fault: a limit of two attempts in flight was enforced by each of many instances for itself, and passed many
// times over, or by an even part of it, so that one attempt at an instance had the next one there rejected.
func TestConcurrencyLimit_AppliesAcrossInstances(t *testing.T) {
	settings := defaultSettings()
	settings.Plans[0].ConcurrencyLimit = 2
	local := newHarness(t, settings, readyEndpoints(1, 2, 3, 4)...)
	remote := newHarness(t, settings, readyEndpoints(1, 2, 3, 4)...)
	remote.counterTotals = local.counterTotals
	submitAndAnswer := func(h *harness, id RequestID) *clientRequest {
		request := h.submit(id, 0, 0, 7, 2*time.Second, 1)
		h.answerAllCounterCalls(Succeeded)
		return request
	}
	localRequest, remoteRequest := submitAndAnswer(local, 1), submitAndAnswer(remote, 2)
	if len(localRequest.attempts) != 1 || len(remoteRequest.attempts) != 1 {
		t.Fatal("not admitted up to the limit")
	}
	if next := submitAndAnswer(local, 3); next.finalAnswer != "rejected" {
		t.Error("admitted past the limit, with one in flight here and one there")
	}
	remote.endAttempt(remoteRequest, 0, Succeeded)
	remote.answerAllCounterCalls(Succeeded)
	if next := submitAndAnswer(local, 4); len(next.attempts) != 1 {
		t.Error("the end of an attempt at the other instance was not reported")
	}
	if next := submitAndAnswer(local, 5); next.finalAnswer != "rejected" {
		t.Error("admitted past the limit, with two in flight here")
	}
	noLimit := newHarness(t, defaultSettings(), readyEndpoints(1)...)
	noLimit.now = local.now
	if noLimit.submit(1, 0, 0, 7, 2*time.Second, 1); noLimit.pendingAdds[0].key == local.engine.tenants[7].window.key {
		t.Error("an instance that knows of no limit reads the same count")
	}
	weight, total := local.engine.plans[0].attemptWeight, local.counterTotals[local.engine.tenants[7].window.key]
	units := total - 2*weight // reported exactly beside the units, the end of b's too
	if units < 0 || units > 10 {
		t.Errorf("the count stands at %f, of two attempts of %f each and at most ten units", total, weight)
	}
}

// Fault: without the counter a limit was an even part of an attempt, at least one, whatever the tenant's
// rate.
func TestConcurrencyLimit_IsEstimatedWithoutCounter(t *testing.T) {
	for rate, want := range map[float64]int{1: 3, 50: 1} {
		settings := defaultSettings()
		settings.Plans[0] = PlanSettings{Rate: rate, Burst: 100, ConcurrencyLimit: 3}
		settings.Instances = 1
		h := newHarness(t, settings, readyEndpoints(1, 2, 3, 4)...)
		request := h.submit(1, 0, 0, 2, 2*time.Second, 1)
		h.answerOldestCounterCall(Rejected)
		h.advance(100 * time.Millisecond)
		h.endAttempt(request, 0, Succeeded) // the latency is known from here on
		admitted := 0
		for n := range 5 {
			next := h.submit(RequestID(10+n), 0, 0, 1, 2*time.Second, 1)
			h.answerAllCounterCalls(Rejected)
			if len(next.attempts) > 0 {
				admitted++
			}
		}
		if admitted != want {
			t.Errorf("%d in flight at once at a rate of %.0f", admitted, rate)
		}
	}
}
