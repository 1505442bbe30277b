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

// Guards against two faults of shares of less than one request: a minimum of one request for each instance
// exceeded small quotas, and without it small tenants with many entry points were rejected entirely.
func TestLocalShare_ShareBelowOneRequestAdmitsAtRandom(t *testing.T) {
	// 0 stands for no counter, and 1 for an outage of a counter that had admitted all requests of the plan.
	for _, planFraction := range []float64{0, 1} {
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

// Guards against applying an even share early in an outage to tenants whose traffic arrives mostly at one
// instance.
func TestLocalShare_FollowsObservedTraffic(t *testing.T) {
	h := newHarness(t, defaultSettings(), readyEndpoints(1, 2, 3)...)
	for n := range 60 { // all traffic of this tenant arrives at this instance
		h.countAdmitted(n, 1, 1, Succeeded)
		h.advance(400 * time.Millisecond)
	}
	if admitted := h.countAdmitted(100, 30, 1, ConnectFailed); admitted < 6 || admitted > 10 {
		t.Errorf("%d requests admitted by the only instance with the tenant's traffic, want 6 to 10", admitted)
	}
}

// Guards against uncounted requests that take the capacity of the backends from counted ones, which were then
// charged and not served.
func TestLocalShare_UncountedRequestsLeaveCapacityToCounted(t *testing.T) {
	for _, answer := range []Outcome{Succeeded, Rejected} {
		h := newHarness(t, defaultSettings(), readyEndpoints(1)...)
		for n := range 40 {
			request := h.submit(RequestID(n), 0, 0, TenantID(n), 2*time.Second, 1)
			h.answerAllCounterCalls(Succeeded)
			if h.advance(230 * time.Millisecond); len(request.attempts) == 0 {
				t.Fatalf("request %d was not sent and ended as %q", n, request.finalAnswer)
			}
			h.endAttempt(request, 0, Succeeded)
		}
		// The likely latency is 230 ms. The budget is 300 ms for a counted request and 180 ms for an uncounted one.
		request := h.submit(100, 0, 0, 100, 2*time.Second, 1)
		if h.answerOldestCounterCall(answer); (len(request.attempts) == 1) != (answer == Succeeded) {
			t.Errorf("counter call %s: %d attempts sent", answer, len(request.attempts))
		}
	}
}

// Checks that a tenant with a single entry point has its whole quota during an outage of the counter, and no
// more: the share of that instance is the whole quota.
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
		t.Errorf("%d requests admitted in a minute, want 295 to 312 at 5 units a second with a burst of 10", admitted)
	}
}

// Guards against shares that add up to more than one: an instance observed the traffic of others only between
// its first and last answer of a window, and overestimated its share by half with two answers in a window. Of
// two instances with equal traffic, each must have a share of about one half.
func TestLocalShare_SharesOfInstancesAddUpToOne(t *testing.T) {
	settings := defaultSettings()
	settings.Plans[0] = PlanSettings{Rate: 10, Burst: 10, OverQuotaCost: 1} // windows of a second
	h := newHarness(t, settings, readyEndpoints(1, 2, 3)...)
	random, sum, samples := rand.New(rand.NewPCG(5, 5)), 0.0, 0
	for id := range 800 {
		request := h.submit(RequestID(id), 0, 0, 1, 2*time.Second, 1)
		for len(h.pendingAdds) > 0 {
			add := h.pendingAdds[0] // units of the other instance, on average as many, are counted before it
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
		t.Errorf("mean share of one of two instances with equal traffic: %.3f, want 0.48 to 0.515", meanShare)
	}
}

// Guards against rejecting all requests of a plan: a request of 0 units under an exhausted quota made the
// admitted fraction 0/0.
func TestLocalShare_ZeroUnitRequestKeepsFractionsFinite(t *testing.T) {
	h := newHarness(t, defaultSettings(), readyEndpoints(1, 2, 3)...)
	h.countAdmitted(0, 20, 1, Succeeded)
	h.submit(100, 0, 0, 1, 2*time.Second, 0)
	h.answerAllCounterCalls(Succeeded)
	if planFraction := h.engine.plans[0].admittedFraction.Value; math.IsNaN(planFraction) {
		t.Errorf("the admitted fraction of the plan is %v", planFraction)
	}
	if tenantFraction := h.engine.tenants[1].admittedFraction.Value; math.IsNaN(tenantFraction) {
		t.Errorf("the admitted fraction of the tenant is %v", tenantFraction)
	}
}

// Guards against rejecting requests of 0 units within the concurrency limit: such a request was estimated to
// have infinitely many attempts in flight at other instances, and was rejected while one was in flight at this
// instance.
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
		t.Errorf("%d of 3 requests of 0 units sent, with a concurrency limit of 20", sent)
	}
}
