package policy

import (
	"testing"
	"time"
)

func TestQuota_LimitsAdmissionByCounterTotal(t *testing.T) {
	h := newHarness(t, defaultSettings(), readyEndpoints(1, 2, 3)...)
	if admitted := h.countAdmitted(0, 30, 1, Succeeded); admitted != 10 {
		t.Errorf("%d admitted of a burst of 10", admitted)
	}
	if request := h.requests[29]; request.finalAnswer != "rejected" || request.retryAfter == 0 {
		t.Errorf("beyond the quota: %q, retry after %d", request.finalAnswer, request.retryAfter)
	}
	h.advance(time.Second)
	if admitted := h.countAdmitted(100, 30, 1, Succeeded); admitted != 5 {
		t.Errorf("%d admitted after a second at 5 a second", admitted)
	}
}

// Fault: where instances are many, those that had not seen a tenant's last window relied on its refill and
// admitted twice the quota.
func TestQuota_ManyEntryPointsIgnoreRefill(t *testing.T) {
	for _, entryPoints := range []int{2, 40} {
		h, admitted := newHarness(t, defaultSettings(), readyEndpoints(1, 2, 3)...), 0
		for index := range 20 { // windows start at times of each tenant's own
			request := h.submitSpec(RequestSpec{ID: RequestID(index), Tenant: TenantID(index), Remaining: time.Second, Units: 1,
				EntryPoints: entryPoints})
			h.counterTotals[h.pendingAdds[0].key] = 10 // other instances admitted the whole quota in this window
			h.answerAllCounterCalls(Succeeded)
			if len(request.attempts) > 0 {
				admitted++
				h.endAttempt(request, 0, Succeeded)
			}
		}
		if (admitted > 0) != (entryPoints == 2) { // few instances know what is to be carried, and rely on the refill
			t.Errorf("%d of 20 admitted beyond a window's count that comes through %d instances", admitted, entryPoints)
		}
	}
}
