package policy

import (
	"testing"
	"time"
)

// Fault: backends that overload had made slow got nothing, and so were never found quick again; likewise by an
// instance that had met the overload before it knew a baseline.
func TestLatency_BackendIsTriedAgainAfterOverload(t *testing.T) {
	for _, fastAnswers := range []int{40, 0} {
		h := newHarnessWithoutCounter(t, readyEndpoints(1)...)
		for n := range fastAnswers + 10 {
			request := h.submit(RequestID(n), 0, 0, TenantID(n), 2*time.Second, 1)
			if h.advance(50 * time.Millisecond); n >= fastAnswers {
				h.advance(650 * time.Millisecond)
			}
			for i := range request.attempts {
				h.endAttempt(request, i, Succeeded)
			}
		}
		h.advance(12 * time.Second)
		if request := h.submit(100, 0, 0, 100, 2*time.Second, 1); len(request.attempts) != 1 {
			t.Errorf("nothing sent long after overload that came after %d quick answers", fastAnswers)
		}
	}
}

// Fault: where backends became slow of themselves, as those that warm up are, instances that had seen quick
// ones sent next to nothing, and nothing at all to new ones, which were never measured.
func TestLatency_SlowFleetIsNotTakenForOverloaded(t *testing.T) {
	h, sent := newHarnessWithoutCounter(t, readyEndpoints(1, 2, 3, 4)...), 0
	for n := range 100 {
		request := h.submit(RequestID(n), 0, 0, TenantID(n), 2*time.Second, 1)
		h.advance(40 * time.Millisecond)
		if n >= 40 {
			h.advance(170 * time.Millisecond)
		}
		for i := range request.attempts {
			h.endAttempt(request, i, Succeeded)
		}
		if n >= 80 {
			sent += len(request.attempts)
		}
	}
	if sent < 18 {
		t.Errorf("%d of 20 sent, one after another, to a fleet that answers in time", sent)
	}
	h.updateEndpoints(FullSnapshot, readyEndpoints(11, 12)...)
	if request := h.submit(200, 0, 0, 200, 2*time.Second, 1); len(request.attempts) != 1 {
		t.Error("nothing sent to a new backend of that kind")
	}
}

// Fault: after a mass restart many instances of few attempts each kept the rest of the fleet overloaded: full
// queues turned attempts away at once and showed nothing, and late answers showed it too late.
func TestLatency_OverloadIsDetectedBeforeAnswersArrive(t *testing.T) {
	for _, outcome := range []Outcome{Rejected, Succeeded} {
		settings := defaultSettings()
		settings.CounterEnabled = false
		settings.Cancellation = false
		settings.MaxAttempts = 1
		var list []BackendID
		for n := range 140 {
			list = append(list, BackendID(n))
		}
		h := newHarness(t, settings, readyEndpoints(list...)...)
		sent := 0
		for n := range 140 {
			request := h.submit(RequestID(n), 0, 0, TenantID(n), 2*time.Second, 1)
			if h.advance(20 * time.Millisecond); n < 40 {
				h.endAttempt(request, 0, Succeeded)
				continue
			}
			sent += len(request.attempts)
			if len(request.attempts) > 0 && outcome == Rejected { // else it stays in flight
				h.endAttempt(request, 0, outcome)
			}
		}
		if sent > 80 {
			t.Errorf("%d of 100 attempts sent into overload with outcomes %s", sent, outcome)
		}
	}
}

// Fault: where units stand for work, large requests passed for slow backends, and found no capacity.
func TestLatency_EstimatesAccountForUnits(t *testing.T) {
	settings := defaultSettings()
	settings.CounterEnabled, settings.Plans[0].Burst = false, 100
	h := newHarness(t, settings, readyEndpoints(1, 2, 3)...)
	for n := range 120 {
		units := float64(1 + n%2*7) // one, or eight
		request := h.submit(RequestID(n), 0, 0, TenantID(n), 2*time.Second, units)
		if h.advance(time.Duration(units) * 24 * time.Millisecond); len(request.attempts) == 0 {
			t.Fatalf("no capacity for the %dth, of %.0f units", n, units)
		}
		h.endAttempt(request, 0, Succeeded)
	}
	for _, b := range h.engine.endpoints {
		if ratio := b.latency.estimate / h.engine.latency.mean.Value; ratio < 0.8 || ratio > 1.25 {
			t.Errorf("backend %d is estimated at %.2f of the fleet's latency", b.id, ratio)
		}
	}
	if one, eight := h.engine.relativeCost(1), h.engine.relativeCost(8); one > 0.5 || eight < 1.5 {
		t.Errorf("one unit is taken for %.2f of the mean, eight for %.2f", one, eight)
	}
	if request := h.submit(200, 0, 0, 200, 2*time.Second, 8); len(request.attempts) != 1 {
		t.Error("no capacity for a large one in a quiet fleet")
	}
}

// Fault: an instance of a few answers a second went by the last thirty, and saw overload after seven seconds:
// 281 such instances went on filling the warm backends while 90 of 151 were replaced (join+mass, seed 11: 29%
// answered in time).
func TestLatency_InstanceWithLowThroughputDetectsOverload(t *testing.T) {
	settings := defaultSettings()
	settings.Instances, settings.CounterEnabled = 1, false
	h := newHarness(t, settings, readyEndpoints(1, 2, 3, 4, 5, 6, 7, 8)...)
	for n := 0; h.now.Before(testStart.Add(22500 * time.Millisecond)); n++ {
		request := h.submit(RequestID(n), 0, 0, TenantID(n), 2*time.Second, 1)
		answerTime := 100 * time.Millisecond
		if h.now.After(atSecond(1020)) {
			answerTime = 240 * time.Millisecond
		}
		if h.advance(answerTime); len(request.attempts) > 0 && request.attempts[0].inFlight {
			h.endAttempt(request, 0, Succeeded)
		}
		h.advance(250*time.Millisecond - answerTime)
	}
	if h.engine.latency.mean.Value < float64(190*time.Millisecond) {
		t.Errorf("after 2.5 s of answers in 240 ms the latency is %.0f ms", h.engine.latency.mean.Value/1e6)
	}
}

// Fault: an instance that got no answer for ten seconds of overload took 12 ms for the fleet's latency: all looked
// quick, and what was only late was canceled and sent again.
func TestLatency_IdleDecayStopsAtBaseline(t *testing.T) {
	h := newHarnessWithoutCounter(t, readyEndpoints(1, 2)...)
	h.serveTwentyRequests(100 * time.Millisecond)
	request := h.submit(100, 0, 0, 100, 2*time.Second, 1)
	h.advance(1800 * time.Millisecond)
	if request.finalAnswer != "" || h.engine.latency.mean.Value < float64(100*time.Millisecond) {
		t.Errorf("%q; with an attempt in flight, silence took the latency to %.0f ms",
			request.finalAnswer, h.engine.latency.mean.Value/1e6)
	}
	h.advance(20 * time.Second)
	if h.engine.latency.mean.Value < float64(90*time.Millisecond) {
		t.Errorf("long after, the latency is taken for %.0f ms", h.engine.latency.mean.Value/1e6)
	}
}

// Fault: one late answer among quick ones put the last backend's own mean over the latency budget. With nothing
// in flight nothing renewed it, and every request was rejected for seconds.
func TestLatency_OneLateAnswerBlocksNoBackend(t *testing.T) {
	for _, test := range []struct{ usual, late time.Duration }{
		{100 * time.Microsecond, 10 * time.Millisecond},
		{100 * time.Microsecond, 210 * time.Millisecond},
		{2 * time.Millisecond, 200 * time.Millisecond},
		{10 * time.Millisecond, 290 * time.Millisecond},
	} {
		h := newHarnessWithoutCounter(t, readyEndpoints(1, 2)...)
		answer := func(id int, latency time.Duration) (backend BackendID) {
			request := h.submit(RequestID(id), 0, 0, TenantID(id), 2*time.Second, 1)
			if len(request.attempts) != 1 {
				return 0
			}
			h.advance(latency)
			h.endAttempt(request, 0, Succeeded)
			return request.attempts[0].endpoint.Backend
		}
		for n := range 400 {
			answer(n, test.usual)
			h.advance(2 * time.Millisecond)
		}
		late := answer(400, test.late)
		h.updateEndpoints(Delta, Endpoint{Backend: 3 - late, State: EndpointDraining})
		h.advance(20 * time.Millisecond)
		for n := range 20 {
			if answer(500+n, test.usual) == 0 {
				t.Errorf("one answer of %d ns among some of %d: request %d is rejected", test.late, test.usual, n)
				break
			}
			h.advance(10 * time.Millisecond)
		}
	}
}
