package policy

import (
	"math"
	"testing"
	"time"
)

// Fault: requests that no backend had capacity for were counted, and shut the tenant's later ones out.
func TestAdmission_NoBackendCapacityMakesNoCounterCall(t *testing.T) {
	h := newHarness(t, defaultSettings())
	if request := h.submit(1, 0, 0, 1, 2*time.Second, 1); len(h.pendingAdds) > 0 || request.finalAnswer != "rejected" {
		t.Errorf("%d calls, %q", len(h.pendingAdds), request.finalAnswer)
	}
}

// A class that only counts: admitted while there is quota, rejected beyond it, and nothing is ever sent. What
// was admitted stays counted, with the counter and without; what was not leaves nothing behind.
func TestCheckOnly_CountsRequestsWithoutSendingAttempts(t *testing.T) {
	for _, outcome := range []Outcome{Succeeded, ConnectFailed} {
		settings := defaultSettings()
		checkOnlyClass := ClassID(len(settings.Classes))
		settings.Classes = append(settings.Classes,
			ClassSettings{LatencyObjective: time.Second, Deadline: 2 * time.Second, CheckOnly: true})
		h := newHarness(t, settings) // no backend is ready, which is nothing to a question
		counts := map[string]int{}
		for n := range 40 {
			request := h.submit(RequestID(n), checkOnlyClass, 0, 1, 2*time.Second, 1)
			h.answerAllCounterCalls(outcome)
			counts[request.finalAnswer]++
			if len(request.attempts) > 0 || !request.handle.Done() {
				t.Fatalf("%d attempts were sent for a question, which ended as %q", len(request.attempts), request.finalAnswer)
			}
		}
		want := 10 // the burst
		if outcome != Succeeded {
			want = 5 // this instance's share of it
		}
		if counts["admitted"] < want-1 || counts["admitted"] > want+1 || counts["admitted"]+counts["rejected"] != 40 {
			t.Errorf("counter %s: %v", outcome, counts)
		}
		counted := 0.0
		for _, total := range h.counterTotals {
			counted += total
		}
		if outcome == Succeeded && math.Abs(counted-float64(counts["admitted"])) > 1 {
			t.Errorf("%d admitted and %.1f counted", counts["admitted"], counted)
		}
		query := QuotaQuery{Tenant: 1, EntryPoints: 2}
		if status, ok := h.engine.QuotaStatus(h.now, query); !ok || status.Limit != 10 || status.Used < 9 {
			t.Errorf("counter %s: %+v", outcome, status)
		}
	}
}
