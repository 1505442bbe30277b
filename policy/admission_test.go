package policy

import (
	"math"
	"testing"
	"time"
)

func TestHardQuota_HoldsWithoutTheCounterAndThroughRestarts(t *testing.T) {
	settings := defaultSettings()
	settings.Plans[0] = PlanSettings{HardQuotaRate: 4, HardQuotaBurst: 8}
	h := newHarness(t, settings, readyEndpoints(1, 2, 3)...)
	sent := 0
	for n := range 400 {
		if request := h.submit(RequestID(n), 0, 0, 1, 2*time.Second, 1); len(request.attempts) > 0 {
			sent++
			h.endAttempt(request, 0, Succeeded)
		}
		h.advance(20 * time.Millisecond)
		// This instance's half of four units a second, and nothing to begin with.
		if upper := 2 * float64(h.now.Sub(startOfTest)) / float64(time.Second); float64(sent) > upper+roundingTolerance {
			t.Fatalf("%d units of at most %.1f", sent, upper)
		}
	}
	if sent < 14 {
		t.Errorf("%d units sent of 16 that the hard quota allows in 8 s", sent)
	}
}

// Fault: requests that no backend had capacity for were to be retried after the latency objective, to be late
// for certain.
func TestReject_WithoutCapacityAtOnceWithAnEarlyRetryAfter(t *testing.T) {
	h := newHarnessWithoutCounter(t)
	for n := range 20 {
		h.submit(RequestID(n), 0, 0, TenantID(n), 2*time.Second, 1)
	}
	request := h.requests[19]
	if request.ended != "rejected" || request.retryAfter <= 0 || request.retryAfter >= 750*time.Millisecond/4 {
		t.Errorf("with a full instance: %q, retry after %d", request.ended, request.retryAfter)
	}
}

// Fault: requests that no backend had capacity for were counted, and shut the tenant's later ones out.
func TestAdmission_WithoutCapacityNothingIsCounted(t *testing.T) {
	h := newHarness(t, defaultSettings())
	if request := h.submit(1, 0, 0, 1, 2*time.Second, 1); len(h.pendingAdds) > 0 || request.ended != "rejected" {
		t.Errorf("%d calls, %q", len(h.pendingAdds), request.ended)
	}
}

// A class that only counts: admitted while there is quota, rejected beyond it, and nothing is ever sent. What
// was admitted stays counted, with the counter and without; what was not leaves nothing behind.
func TestCheckOnly_IsCountedAndNothingIsSent(t *testing.T) {
	for _, outcome := range []Outcome{Succeeded, ConnectFailed} {
		settings := defaultSettings()
		question := ClassID(len(settings.Classes))
		settings.Classes = append(settings.Classes,
			ClassSettings{LatencyObjective: time.Second, Deadline: 2 * time.Second, CheckOnly: true})
		h := newHarness(t, settings) // no backend is ready, which is nothing to a question
		ends := map[string]int{}
		for n := range 40 {
			request := h.submit(RequestID(n), question, 0, 1, 2*time.Second, 1)
			h.answerCounterCalls(outcome)
			ends[request.ended]++
			if len(request.attempts) > 0 || !request.handle.Done() {
				t.Fatalf("%d attempts were sent for a question, which ended as %q", len(request.attempts), request.ended)
			}
		}
		want := 10 // the burst
		if outcome != Succeeded {
			want = 5 // this instance's share of it
		}
		if ends["admitted"] < want-1 || ends["admitted"] > want+1 || ends["admitted"]+ends["rejected"] != 40 {
			t.Errorf("counter %s: %v", outcome, ends)
		}
		sum := 0.0
		for _, total := range h.counter {
			sum += total
		}
		if outcome == Succeeded && math.Abs(sum-float64(ends["admitted"])) > 1 {
			t.Errorf("%d admitted and %.1f counted", ends["admitted"], sum)
		}
		query := QuotaQuery{Tenant: 1, EntryPoints: 2}
		if q, ok := h.engine.QuotaStatus(h.now, query); !ok || q.Limit != 10 || q.Used < 9 {
			t.Errorf("counter %s: %+v", outcome, q)
		}
	}
}
