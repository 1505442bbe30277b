package policy

import (
	"strings"
	"testing"
	"time"
)

func TestReconciliation_RestoresUnitsLostByCounter(t *testing.T) {
	settings := defaultSettings()
	settings.Plans[0] = PlanSettings{Rate: 0.5, Burst: 10}
	h := newHarness(t, settings, readyEndpoints(1, 2, 3)...)
	first := h.countAdmitted(0, 8, 1, Succeeded)
	clear(h.counterTotals)
	if admitted := first + h.countAdmitted(100, 20, 1, Succeeded); admitted < 9 || admitted > 11 {
		t.Errorf("%d requests admitted with a counter that lost its counts, want the burst of 10", admitted)
	}
}

// Guards against concurrent reconciliation: each instance that found the carried-over units missing from a count
// added them immediately.
func TestReconciliation_InstancesAddLostUnitsInTurn(t *testing.T) {
	reconciled := 0
	for index := range 2 {
		settings := defaultSettings()
		settings.InstanceIndex = index
		h := newHarness(t, settings, readyEndpoints(1, 2, 3)...)
		h.countAdmitted(0, 12, 1, Succeeded)
		h.advance(2100 * time.Millisecond)
		clear(h.counterTotals)
		n := len(h.log)
		h.submit(100, 0, 0, 1, 2*time.Second, 1)
		h.answerOldestCounterCall(Succeeded)
		for _, line := range h.log[n:] {
			if strings.Contains(line, "count") && !strings.Contains(line, "by 1.000") {
				reconciled++
			}
		}
	}
	if reconciled > 1 {
		t.Errorf("%d of 2 instances reconciled the count at their first call, want at most 1", reconciled)
	}
}
