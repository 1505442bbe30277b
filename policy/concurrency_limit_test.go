package policy

import (
	"testing"
	"time"
)

// Guards against a concurrency limit that each instance enforces alone: in full, so that the instances together
// exceed it many times over, or by an even part, so that one attempt in flight has the next request at its
// instance rejected.
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
		t.Fatal("requests up to the limit were not admitted")
	}
	if next := submitAndAnswer(local, 3); next.finalAnswer != "rejected" {
		t.Error("request admitted beyond the limit, with one attempt in flight at each instance")
	}
	remote.endAttempt(remoteRequest, 0, Succeeded)
	remote.answerAllCounterCalls(Succeeded)
	if next := submitAndAnswer(local, 4); len(next.attempts) != 1 {
		t.Error("request rejected: the end of an attempt at the other instance was not reported")
	}
	if next := submitAndAnswer(local, 5); next.finalAnswer != "rejected" {
		t.Error("request admitted beyond the limit, with two attempts in flight at this instance")
	}
	noLimit := newHarness(t, defaultSettings(), readyEndpoints(1)...)
	noLimit.now = local.now
	if noLimit.submit(1, 0, 0, 7, 2*time.Second, 1); noLimit.pendingAdds[0].key == local.engine.tenants[7].window.key {
		t.Error("an instance without a concurrency limit uses the same counter key")
	}
	weight, total := local.engine.plans[0].attemptWeight, local.counterTotals[local.engine.tenants[7].window.key]
	units := total - 2*weight // the end of the remote attempt has been reported too
	if units < 0 || units > 10 {
		t.Errorf("the count is %f, want two attempts of %f each and 0 to 10 units", total, weight)
	}
}

// Guards against a concurrency limit that ignores the tenant's rate while the counter does not answer: each
// instance allowed an even part of the limit, and at least one attempt.
func TestConcurrencyLimit_IsEstimatedWithoutCounter(t *testing.T) {
	for rate, want := range map[float64]int{1: 3, 50: 1} {
		settings := defaultSettings()
		settings.Plans[0] = PlanSettings{Rate: rate, Burst: 100, ConcurrencyLimit: 3}
		settings.Instances = 1
		h := newHarness(t, settings, readyEndpoints(1, 2, 3, 4)...)
		request := h.submit(1, 0, 0, 2, 2*time.Second, 1)
		h.answerOldestCounterCall(Rejected)
		h.advance(100 * time.Millisecond)
		h.endAttempt(request, 0, Succeeded) // from here on the latency is measured
		admitted := 0
		for n := range 5 {
			next := h.submit(RequestID(10+n), 0, 0, 1, 2*time.Second, 1)
			h.answerAllCounterCalls(Rejected)
			if len(next.attempts) > 0 {
				admitted++
			}
		}
		if admitted != want {
			t.Errorf("wrong number of attempts in flight at once: %d at a rate of %.0f units a second", admitted, rate)
		}
	}
}
