package policy

import (
	"testing"
	"time"
)

func TestCounterCall_SlowCounterCostsOneShortWaitAndStillInforms(t *testing.T) {
	h := newHarness(t, defaultSettings(), readyEndpoints(1, 2, 3)...)
	request := h.submit(1, 0, 0, 1, 2*time.Second, 1)
	h.advance(40 * time.Millisecond)
	if len(request.attempts) != 1 || request.attempts[0].sentAt.After(startOfTest.Add(40*time.Millisecond)) {
		t.Fatalf("not sent after the wait for the counter: %v", h.log)
	}
	h.counter[h.pendingAdds[0].key] = 30 // others used it up
	h.answerCounter(Succeeded)
	if next := h.submit(2, 0, 0, 1, 2*time.Second, 1); len(next.attempts) > 0 || next.ended != "rejected" {
		t.Error("the late total was not taken in")
	}
}

// Fault: an answer without a total, which stands for an amount that was added, had the amount reported once
// more.
func TestCounterCall_MalformedAnswerCountsAsAdded(t *testing.T) {
	for outcome, want := range map[Outcome]float64{ConnectionLost: 0, ConnectFailed: 1} {
		h := newHarness(t, defaultSettings(), readyEndpoints(1, 2, 3)...)
		h.submit(1, 0, 0, 1, 2*time.Second, 1)
		h.answerCounter(outcome)
		if got := h.engine.tenants[1].unreported; got != want {
			t.Errorf("outcome %s: then %v is unreported, wanted %v", outcome, got, want)
		}
	}
}
