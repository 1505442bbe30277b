package policy

import (
	"math"
	"testing"
	"time"
)

// Fault: requests that no backend had capacity for were counted, and shut the tenant's later ones out.
func TestAdmission_WithoutCapacityNothingIsCounted(t *testing.T) {
	h := newHarness(t, defaultSettings())
	if request := h.submit(1, 0, 0, 1, 2*time.Second, 1); len(h.pendingAdds) > 0 || request.finalAnswer != "rejected" {
		t.Errorf("%d calls, %q", len(h.pendingAdds), request.finalAnswer)
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
			h.answerAllCounterCalls(outcome)
			ends[request.finalAnswer]++
			if len(request.attempts) > 0 || !request.handle.Done() {
				t.Fatalf("%d attempts were sent for a question, which ended as %q", len(request.attempts), request.finalAnswer)
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
		for _, total := range h.counterTotals {
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
