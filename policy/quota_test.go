package policy

import (
	"strings"
	"testing"
	"time"
)

func TestQuota_IsThatOfTheCounter(t *testing.T) {
	h := newHarness(t, defaultSettings(), readyEndpoints(1, 2, 3)...)
	if admitted := h.countAdmitted(0, 30, 1, Succeeded); admitted != 10 {
		t.Errorf("%d admitted of a burst of 10", admitted)
	}
	if request := h.requests[29]; request.ended != "rejected" || request.retryAfter == 0 {
		t.Errorf("beyond the quota: %q, retry after %d", request.ended, request.retryAfter)
	}
	h.advance(time.Second)
	if admitted := h.countAdmitted(100, 30, 1, Succeeded); admitted != 5 {
		t.Errorf("%d admitted after a second at 5 a second", admitted)
	}
}

func TestQuota_RolloverGrantsNoFreshBurst(t *testing.T) {
	h, admitted := newHarness(t, defaultSettings(), readyEndpoints(1, 2, 3)...), 0
	for n := range 50 { // through five windows of two seconds
		admitted += h.countAdmitted(100*n, 20, 1, Succeeded)
		h.advance(200 * time.Millisecond)
	}
	if admitted < 55 || admitted > 10+50 {
		t.Errorf("%d admitted over ten seconds of a burst of 10 and 5 a second", admitted)
	}
}

// Fault: where instances are many, those that had not seen a tenant's last window relied on its refill and
// admitted twice the quota.
func TestQuota_PlainCountWhereInstancesAreMany(t *testing.T) {
	for _, entries := range []int{2, 40} {
		h, admitted := newHarness(t, defaultSettings(), readyEndpoints(1, 2, 3)...), 0
		for c := range 20 { // windows start at times of each tenant's own
			request := h.submitSpec(RequestSpec{ID: RequestID(c), Tenant: TenantID(c), Remaining: time.Second, Units: 1,
				EntryPoints: entries})
			h.counter[h.pendingAdds[0].key] = 10 // other instances admitted the whole quota in this window
			h.answerCounterCalls(Succeeded)
			if len(request.attempts) > 0 {
				admitted++
				h.endAttempt(request, 0, Succeeded)
			}
		}
		if (admitted > 0) != (entries == 2) { // few instances know what is to be carried, and rely on the refill
			t.Errorf("%d of 20 admitted beyond a window's count that comes through %d instances", admitted, entries)
		}
	}
}

func TestQuota_SlowCounterCostsOneShortWaitAndStillInforms(t *testing.T) {
	h := newHarness(t, defaultSettings(), readyEndpoints(1, 2, 3)...)
	request := h.submit(1, 0, 0, 1, 2*time.Second, 1)
	h.advance(40 * time.Millisecond)
	if len(request.attempts) != 1 || request.attempts[0].sentAt.After(startOfTest.Add(40*time.Millisecond)) {
		t.Fatalf("not sent after the wait for the counter: %v", h.log)
	}
	h.counter[h.pendingAdds[0].key] = 30 // others used it up
	h.answerCounter(Succeeded)
	if next := h.submit(2, 0, 0, 1, 2*time.Second, 1); len(next.attempts) > 0 || next.ended != "rejected" {
		t.Error("the late total was not taken in")
	}
}

// Fault: an answer without a total, which stands for an amount that was added, had the amount reported once
// more.
func TestQuota_SpoiltAnswerOfTheCounterWasAdded(t *testing.T) {
	for outcome, want := range map[Outcome]float64{ConnectionLost: 0, ConnectFailed: 1} {
		h := newHarness(t, defaultSettings(), readyEndpoints(1, 2, 3)...)
		h.submit(1, 0, 0, 1, 2*time.Second, 1)
		h.answerCounter(outcome)
		if got := h.engine.tenants[1].unreported; got != want {
			t.Errorf("outcome %s: then %v is unreported, wanted %v", outcome, got, want)
		}
	}
}

func TestQuota_EmptiedCounterIsReconciled(t *testing.T) {
	settings := defaultSettings()
	settings.Plans[0] = PlanSettings{Rate: 0.5, Burst: 10}
	h := newHarness(t, settings, readyEndpoints(1, 2, 3)...)
	first := h.countAdmitted(0, 8, 1, Succeeded)
	clear(h.counter)
	if admitted := first + h.countAdmitted(100, 20, 1, Succeeded); admitted < 9 || admitted > 11 {
		t.Errorf("%d admitted of a burst of 10 through a counter that came back empty", admitted)
	}
}

// Fault: units admitted during a long outage were reported in full afterwards, and the tenant was shut out.
func TestQuota_OutageLeavesNoDebtOfOldWindows(t *testing.T) {
	h := newHarness(t, defaultSettings(), readyEndpoints(1, 2, 3)...)
	for n := range 40 {
		h.countAdmitted(10*n, 1, 1, ConnectFailed)
		h.advance(400 * time.Millisecond)
	}
	h.advance(4 * time.Second)
	for n := range 60 { // the half-open call closes the breaker, and the calls come back
		h.countAdmitted(1000+n, 1, TenantID(10+n), Succeeded)
	}
	if admitted := h.countAdmitted(2000, 8, 1, Succeeded); admitted < 7 {
		t.Errorf("%d of 8 admitted after an outage", admitted)
	}
}

// Fault: every instance that saw a window's count lack the carried use reconciled it at once.
func TestQuota_InstancesReconcileInTurn(t *testing.T) {
	reconciled := 0
	for index := range 2 {
		settings := defaultSettings()
		settings.InstanceIndex = index
		h := newHarness(t, settings, readyEndpoints(1, 2, 3)...)
		h.countAdmitted(0, 12, 1, Succeeded)
		h.advance(2100 * time.Millisecond)
		clear(h.counter)
		n := len(h.log)
		h.submit(100, 0, 0, 1, 2*time.Second, 1)
		h.answerCounter(Succeeded)
		for _, l := range h.log[n:] {
			if strings.Contains(l, "count") && !strings.Contains(l, "by 1.000") {
				reconciled++
			}
		}
	}
	if reconciled > 1 {
		t.Errorf("%d of 2 instances reconciled the same count at first sight", reconciled)
	}
}

// Fault: after an outage the counts are those of new windows, and a tenant that had used its quota through
// the local shares had a fresh burst from the counter.
func TestQuota_UseIsCarriedOverAnOutage(t *testing.T) {
	settings := defaultSettings()
	settings.Plans[0] = PlanSettings{Rate: 5, Burst: 50, OverQuotaCost: 1} // windows of ten seconds
	h := newHarness(t, settings, readyEndpoints(1, 2, 3)...)
	for n := range 200 { // forty seconds, always beyond the share of half
		h.countAdmitted(10*n, 2, 1, ConnectFailed)
		h.advance(200 * time.Millisecond)
	}
	clear(h.counter)
	for n := range 60 { // the half-open call closes the breaker
		h.countAdmitted(10000+10*n, 1, TenantID(10+n), Succeeded)
		h.advance(40 * time.Millisecond)
	}
	if admitted := h.countAdmitted(20000, 60, 1, Succeeded); admitted > 25 {
		t.Errorf("%d admitted at once after an outage through which the tenant used all it could", admitted)
	}
}
