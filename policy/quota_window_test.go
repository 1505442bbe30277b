package policy

import (
	"testing"
	"time"
)

func TestQuotaWindow_RolloverCarriesOverUsage(t *testing.T) {
	h, admitted := newHarness(t, defaultSettings(), readyEndpoints(1, 2, 3)...), 0
	for n := range 50 { // through five windows of two seconds
		admitted += h.countAdmitted(100*n, 20, 1, Succeeded)
		h.advance(200 * time.Millisecond)
	}
	if admitted < 55 || admitted > 10+50 {
		t.Errorf("%d requests admitted in ten seconds, want 55 to 60 with a burst of 10 and 5 units a second", admitted)
	}
}

// Guards against rejecting a tenant's requests after a long outage of the counter: all units admitted during the
// outage were reported at its end.
func TestQuotaWindow_DropsUnreportedUnitsOfEarlierWindows(t *testing.T) {
	h := newHarness(t, defaultSettings(), readyEndpoints(1, 2, 3)...)
	for n := range 40 {
		h.countAdmitted(10*n, 1, 1, ConnectFailed)
		h.advance(400 * time.Millisecond)
	}
	h.advance(4 * time.Second)
	for n := range 60 { // the half-open call closes the breaker, and the call share recovers
		h.countAdmitted(1000+n, 1, TenantID(10+n), Succeeded)
	}
	if admitted := h.countAdmitted(2000, 8, 1, Succeeded); admitted < 7 {
		t.Errorf("%d of 8 requests admitted after an outage, want at least 7", admitted)
	}
}

// Guards against granting a second burst after an outage: the counts of the new windows were empty, although the
// tenant had used its quota through the local shares.
func TestQuotaWindow_CarriesLocalUsageOverAfterOutage(t *testing.T) {
	settings := defaultSettings()
	settings.Plans[0] = PlanSettings{Rate: 5, Burst: 50, OverQuotaCost: 1} // windows of ten seconds
	h := newHarness(t, settings, readyEndpoints(1, 2, 3)...)
	for n := range 200 { // forty seconds, always more than this instance's half of the quota
		h.countAdmitted(10*n, 2, 1, ConnectFailed)
		h.advance(200 * time.Millisecond)
	}
	clear(h.counterTotals)
	for n := range 60 { // the half-open call closes the breaker
		h.countAdmitted(10000+10*n, 1, TenantID(10+n), Succeeded)
		h.advance(40 * time.Millisecond)
	}
	if admitted := h.countAdmitted(20000, 60, 1, Succeeded); admitted > 25 {
		t.Errorf("%d requests admitted at once after the outage, want at most 25 of a quota used up locally", admitted)
	}
}

// Guards against granting a quota twice: a settings reload that added plans moved the plan table, each tenant's
// plan seemed to have changed, and the units carried over from its previous window were dropped.
func TestQuotaWindow_AddedPlansKeepCarriedOverUnits(t *testing.T) {
	for _, addsPlans := range []bool{false, true} {
		h := newHarness(t, defaultSettings(), readyEndpoints(1, 2, 3)...)
		h.countAdmitted(0, 1, 1, Succeeded)
		end := h.engine.tenants[1].windowEnd()
		h.advance(end.Sub(h.now) - 20*time.Millisecond)
		h.countAdmitted(100, 20, 1, Succeeded)
		h.advance(40 * time.Millisecond)
		h.submit(200, 0, 0, 1, 2*time.Second, 1) // rolls over; its call is lost
		h.pendingAdds = nil
		if addsPlans {
			h.settings.Plans = append(h.settings.Plans, make([]PlanSettings, 20)...)
			h.engine.UpdateSettings(h.settings)
		}
		h.submit(201, 0, 0, 1, 2*time.Second, 1)
		if got := h.engine.tenants[1].window.lostUnits; got < 5 {
			t.Errorf("plans added: %t: %.1f units are carried over from the previous window, want at least 5", addsPlans, got)
		}
	}
}
