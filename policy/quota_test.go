package policy

import (
	"testing"
	"time"
)

func TestQuota_LimitsAdmissionByCounterTotal(t *testing.T) {
	h := newHarness(t, defaultSettings(), readyEndpoints(1, 2, 3)...)
	if admitted := h.countAdmitted(0, 30, 1, Succeeded); admitted != 10 {
		t.Errorf("%d requests admitted, want the burst of 10", admitted)
	}
	if request := h.requests[29]; request.finalAnswer != "rejected" || request.retryAfter == 0 {
		t.Errorf("request beyond the quota ended as %q with Retry-After %d", request.finalAnswer, request.retryAfter)
	}
	h.advance(time.Second)
	if admitted := h.countAdmitted(100, 30, 1, Succeeded); admitted != 5 {
		t.Errorf("%d requests admitted after a second, want 5 at 5 units a second", admitted)
	}
}

// Guards against admitting twice the quota where a tenant has many entry points: instances that had seen nothing
// of the tenant's previous window relied on its refill.
func TestQuota_ManyEntryPointsIgnoreRefill(t *testing.T) {
	for _, entryPoints := range []int{2, 40} {
		h, admitted := newHarness(t, defaultSettings(), readyEndpoints(1, 2, 3)...), 0
		for index := range 20 { // the windows of each tenant start at a different offset
			request := h.submitSpec(RequestSpec{ID: RequestID(index), Tenant: TenantID(index), Remaining: time.Second, Units: 1,
				EntryPoints: entryPoints})
			h.counterTotals[h.pendingAdds[0].key] = 10 // other instances admitted the whole quota in this window
			h.answerAllCounterCalls(Succeeded)
			if len(request.attempts) > 0 {
				admitted++
				h.endAttempt(request, 0, Succeeded)
			}
		}
		if (admitted > 0) != (entryPoints == 2) { // two instances track what is carried over, and admit the refill
			t.Errorf("%d of 20 requests admitted beyond a used-up quota with %d entry points", admitted, entryPoints)
		}
	}
}
