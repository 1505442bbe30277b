package policy

import (
	"math"
	"testing"
	"time"
)

// Guards against counting requests that no backend has capacity for: the counted units had later requests of the
// tenant rejected.
func TestAdmission_NoBackendCapacityMakesNoCounterCall(t *testing.T) {
	h := newHarness(t, defaultSettings())
	if request := h.submit(1, 0, 0, 1, 2*time.Second, 1); len(h.pendingAdds) > 0 || request.finalAnswer != "rejected" {
		t.Errorf("%d calls to the counter, request ended as %q", len(h.pendingAdds), request.finalAnswer)
	}
}

// Checks that requests of a check-only class are admitted within the quota, rejected beyond it, and never sent.
// With and without the counter, admitted requests stay counted, and rejected ones leave no units in the count.
func TestCheckOnly_CountsRequestsWithoutSendingAttempts(t *testing.T) {
	for _, outcome := range []Outcome{Succeeded, ConnectFailed} {
		settings := defaultSettings()
		checkOnlyClass := ClassID(len(settings.Classes))
		settings.Classes = append(settings.Classes,
			ClassSettings{LatencyObjective: time.Second, Deadline: 2 * time.Second, CheckOnly: true})
		h := newHarness(t, settings) // no backend is ready; a check-only class needs none
		counts := map[string]int{}
		for n := range 40 {
			request := h.submit(RequestID(n), checkOnlyClass, 0, 1, 2*time.Second, 1)
			h.answerAllCounterCalls(outcome)
			counts[request.finalAnswer]++
			if len(request.attempts) > 0 || !request.handle.Done() {
				t.Fatalf("%d attempts were sent for a check-only request, which ended as %q",
					len(request.attempts), request.finalAnswer)
			}
		}
		want := 10 // the burst
		if outcome != Succeeded {
			want = 5 // this instance's share of the burst
		}
		if counts["admitted"] < want-1 || counts["admitted"] > want+1 || counts["admitted"]+counts["rejected"] != 40 {
			t.Errorf("counter call %s: the requests ended as %v", outcome, counts)
		}
		counted := 0.0
		for _, total := range h.counterTotals {
			counted += total
		}
		if outcome == Succeeded && math.Abs(counted-float64(counts["admitted"])) > 1 {
			t.Errorf("%d requests of one unit admitted, but %.1f units counted", counts["admitted"], counted)
		}
		query := QuotaQuery{Tenant: 1, EntryPoints: 2}
		if status, ok := h.engine.QuotaStatus(h.now, query); !ok || status.Limit != 10 || status.Used < 9 {
			t.Errorf("counter call %s: quota status %+v", outcome, status)
		}
	}
}
