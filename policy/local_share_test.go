package policy

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"fawnplank/internal/pcg"
	"fawnplank/policy/internal/circuitbreaker"
	"fawnplank/policy/internal/estimate"
)

// Fault: a floor of one request an instance added up past small quotas, and a share under one request shut
// small tenants out where instances are many.
func TestLocalShare_ShareBelowOneRequestAdmitsAtRandom(t *testing.T) {
	for _, planFraction := range []float64{0, 1} { // without a counter; while one is silent that let all in
		admitted := 0
		for index := range 20 {
			settings := defaultSettings()
			settings.InstanceIndex = index
			settings.Instances = 20
			settings.CounterEnabled = planFraction > 0
			settings.Plans[0] = PlanSettings{Rate: 0.1, Burst: 2}
			h := newHarness(t, settings, readyEndpoints(1, 2, 3)...)
			h.engine.random = pcg.New(uint64(index))
			h.engine.plans[0].admittedFraction = estimate.Mean{Value: planFraction, Count: planFraction * 20}
			h.engine.breaker.Breaker = circuitbreaker.Breaker{
				State:               circuitbreaker.Open,
				ConsecutiveFailures: breakerFailureThreshold,
				RetryAt:             h.now.Add(time.Second),
			}
			for tenantIndex := range 10 {
				request := h.submitSpec(RequestSpec{ID: RequestID(tenantIndex), Tenant: TenantID(tenantIndex),
					Remaining: time.Second, Units: 1, EntryPoints: 20})
				if len(request.attempts) > 0 {
					admitted++
					h.endAttempt(request, 0, Succeeded)
				}
			}
		}
		if lower, upper := 10+170*int(planFraction), 30+170*int(planFraction); admitted < lower || admitted > upper {
			t.Errorf("%d of 200 requests admitted for 10 tenants with quotas of 2 each", admitted)
		}
	}
}

// Fault: an even share met tenants whose traffic gathers at one instance early in an outage.
func TestLocalShare_FollowsObservedTraffic(t *testing.T) {
	h := newHarness(t, defaultSettings(), readyEndpoints(1, 2, 3)...)
	for n := range 60 { // all of this tenant's traffic comes here
		h.countAdmitted(n, 1, 1, Succeeded)
		h.advance(400 * time.Millisecond)
	}
	if admitted := h.countAdmitted(100, 30, 1, ConnectFailed); admitted < 6 || admitted > 10 {
		t.Errorf("%d admitted of a burst of 10 that all comes through this instance", admitted)
	}
}

// Fault: what the counter had not seen took the capacity of what it had admitted, and cost its value
// unserved.
func TestLocalShare_UncountedRequestsLeaveCapacityToCounted(t *testing.T) {
	for _, answer := range []Outcome{Succeeded, Rejected} {
		h := newHarness(t, defaultSettings(), readyEndpoints(1)...)
		for n := range 40 {
			request := h.submit(RequestID(n), 0, 0, TenantID(n), 2*time.Second, 1)
			h.answerAllCounterCalls(Succeeded)
			if h.advance(230 * time.Millisecond); len(request.attempts) == 0 {
				t.Fatalf("the %dth %s", n, request.finalAnswer)
			}
			h.endAttempt(request, 0, Succeeded)
		}
		// Likely to take 230 ms of at most 300, and of 180 where it is not counted.
		request := h.submit(100, 0, 0, 100, 2*time.Second, 1)
		if h.answerOldestCounterCall(answer); (len(request.attempts) == 1) != (answer == Succeeded) {
			t.Errorf("after an answer of kind %s: %d attempts", answer, len(request.attempts))
		}
	}
}

// A tenant of one instance has its whole quota without the counter, and no more: the share is the whole quota
// then.
func TestLocalShare_SoleInstanceHasWholeQuotaInOutage(t *testing.T) {
	h := newHarness(t, defaultSettings(), readyEndpoints(1, 2, 3)...)
	admitted := 0
	submitToSoleInstance := func(id RequestID, outcome Outcome) {
		request := h.submitSpec(RequestSpec{ID: id, Tenant: 1, Remaining: 2 * time.Second, Units: 1, EntryPoints: 1})
		h.answerAllCounterCalls(outcome)
		if len(request.attempts) > 0 {
			admitted++
			h.endAttempt(request, 0, Succeeded)
		}
	}
	for n := range 200 { // twenty seconds with the counter
		submitToSoleInstance(RequestID(n), Succeeded)
		h.advance(100 * time.Millisecond)
	}
	admitted = 0
	for n := range 600 { // a minute, ten requests a second for five
		submitToSoleInstance(RequestID(1000+n), ConnectFailed)
		h.advance(100 * time.Millisecond)
	}
	if admitted < 295 || admitted > 312 {
		t.Errorf("%d admitted through a minute of a rate of 5 a second and a burst of 10", admitted)
	}
}

// Fault: an instance took its share from between a window's first and last answer, for a half too large where
// two answers came a window. Two instances that see the same traffic have shares that add up to one.
func TestLocalShare_SharesOfInstancesAddUpToOne(t *testing.T) {
	settings := defaultSettings()
	settings.Plans[0] = PlanSettings{Rate: 10, Burst: 10, OverQuotaCost: 1} // windows of a second
	h := newHarness(t, settings, readyEndpoints(1, 2, 3)...)
	random, sum, samples := rand.New(rand.NewPCG(5, 5)), 0.0, 0
	for id := range 800 {
		request := h.submit(RequestID(id), 0, 0, 1, 2*time.Second, 1)
		for len(h.pendingAdds) > 0 {
			add := h.pendingAdds[0] // the other instance's, as many on the mean, came before it
			for random.Float64() < 0.5 {
				h.counterTotals[add.key]++
			}
			h.answerOldestCounterCall(Succeeded)
		}
		if len(request.attempts) > 0 {
			h.endAttempt(request, 0, Succeeded)
		}
		h.advance(time.Duration(random.ExpFloat64() * float64(400*time.Millisecond)))
		if id > 100 {
			sum, samples = sum+h.engine.tenants[1].traffic.share(2), samples+1
		}
	}
	if meanShare := sum / float64(samples); meanShare < 0.48 || meanShare > 0.515 {
		t.Errorf("an instance of two with half of the traffic takes its part for %.2f", meanShare)
	}
}

// TestLocalShare_ZeroUnitRequestKeepsFractionsFinite guards against a plan that is rejected for good: a request of 0
// units under a used-up quota made the admitted share 0/0.
func TestLocalShare_ZeroUnitRequestKeepsFractionsFinite(t *testing.T) {
	h := newHarness(t, defaultSettings(), readyEndpoints(1, 2, 3)...)
	h.countAdmitted(0, 20, 1, Succeeded)
	h.submit(100, 0, 0, 1, 2*time.Second, 0)
	h.answerAllCounterCalls(Succeeded)
	if planFraction := h.engine.plans[0].admittedFraction.Value; math.IsNaN(planFraction) {
		t.Errorf("admitted share of the plan: %v", planFraction)
	}
	if tenantFraction := h.engine.tenants[1].admittedFraction.Value; math.IsNaN(tenantFraction) {
		t.Errorf("admitted share of the tenant: %v", tenantFraction)
	}
}

// TestConcurrencyLimit_AdmitsZeroUnitRequests guards against rejections for no good reason: a request of 0 units was
// taken to stand for endless requests in flight at other instances, and rejected while one was in flight here.
func TestConcurrencyLimit_AdmitsZeroUnitRequests(t *testing.T) {
	settings := defaultSettings()
	settings.CounterEnabled = false
	settings.Plans = []PlanSettings{{Rate: 10, Burst: 1000, ConcurrencyLimit: 20, OverQuotaCost: 1}}
	h := newHarness(t, settings, readyEndpoints(1, 2, 3)...)
	h.serveTwentyRequests(20 * time.Millisecond)
	sent := 0
	for n := range 3 {
		sent += len(h.submit(RequestID(100+n), 0, 0, 1, 2*time.Second, 0).attempts)
	}
	if sent != 3 {
		t.Errorf("%d of 3 requests sent, with a limit of 20", sent)
	}
}
