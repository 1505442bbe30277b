package policy

import (
	"testing"
	"time"
)

// Guards against memory that grows without end: a client that sends requests under ever new names added a tenant with
// each of them, which was kept for a minute.
func TestTenant_NewTenantsBeyondBoundAreNotKept(t *testing.T) {
	const bound = 10
	settings := defaultSettings()
	settings.MaxTenants = bound
	h := newHarness(t, settings, readyEndpoints(1, 2, 3)...)
	for n := range 20 * bound {
		h.submitSpec(RequestSpec{
			ID: RequestID(n), Tenant: TenantID(n), Remaining: time.Second, Units: 1, EntryPoints: 1,
		})
		h.answerAllCounterCalls(Succeeded)
		if len(h.engine.tenants) > bound {
			t.Fatalf("state of %d tenants is kept, want %d at most", len(h.engine.tenants), bound)
		}
	}
	if h.requests[20*bound-1].finalAnswer == "" && len(h.requests[20*bound-1].attempts) == 0 {
		t.Error("the request of a tenant beyond the bound was neither sent nor answered")
	}
}

// Guards rule 5: a tenant that is not kept would start with a full hard quota for each request.
func TestTenant_HardQuotaBeyondBoundIsNotGranted(t *testing.T) {
	settings := defaultSettings()
	settings.MaxTenants = 1
	settings.Plans[0].HardQuotaRate = 1
	settings.Plans[0].HardQuotaBurst = 5
	h := newHarness(t, settings, readyEndpoints(1, 2, 3)...)
	h.advance(10 * time.Second)
	for n, want := range []int{1, 0, 0} {
		request := h.submitSpec(RequestSpec{
			ID: RequestID(n), Tenant: TenantID(n), Remaining: time.Second, Units: 1, EntryPoints: 1,
		})
		if want == 0 && request.finalAnswer != "rejected" {
			t.Errorf("request %d of a tenant beyond the bound: %q, want a rejection", n, request.finalAnswer)
		}
		if want == 1 && request.finalAnswer == "rejected" {
			t.Error("the request of the tenant that is kept was rejected")
		}
	}
}
