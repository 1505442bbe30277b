package policy

import (
	"testing"
	"time"
)

func TestCounterCall_BoundsTheWaitAndStoresALateTotal(t *testing.T) {
	h := newHarness(t, defaultSettings(), readyEndpoints(1, 2, 3)...)
	request := h.submit(1, 0, 0, 1, 2*time.Second, 1)
	h.advance(40 * time.Millisecond)
	if len(request.attempts) != 1 || request.attempts[0].sentAt.After(testStart.Add(40*time.Millisecond)) {
		t.Fatalf("the request was not sent at the end of its wait for the counter: %v", h.log)
	}
	h.counterTotals[h.pendingAdds[0].key] = 30 // other instances used up the quota
	h.answerOldestCounterCall(Succeeded)
	if next := h.submit(2, 0, 0, 1, 2*time.Second, 1); len(next.attempts) > 0 || next.finalAnswer != "rejected" {
		t.Error("the total of the late answer was not stored")
	}
}

// Guards against reporting units twice: the counter had added the units of a call whose answer was malformed.
func TestCounterCall_MalformedAnswerCountsAsAdded(t *testing.T) {
	for outcome, want := range map[Outcome]float64{ConnectionLost: 0, ConnectFailed: 1} {
		h := newHarness(t, defaultSettings(), readyEndpoints(1, 2, 3)...)
		h.submit(1, 0, 0, 1, 2*time.Second, 1)
		h.answerOldestCounterCall(outcome)
		if got := h.engine.tenants[1].unreportedUnits; got != want {
			t.Errorf("outcome %s: %v units unreported, want %v", outcome, got, want)
		}
	}
}

// Guards against deciding a request by the wrong count: the answer to a call made before a rollover was adjusted
// by the lost units and the corrections of the window after it.
func TestCounterCall_AnswerUsesAdjustmentOfItsOwnWindow(t *testing.T) {
	for name, test := range map[string]struct {
		lost, corrections float64 // of the new window
		total             float64 // on the counter for the previous window
		want              bool
	}{
		"quota left, new window has lost units":  {lost: 30, total: 2, want: true},
		"quota used up, new window is corrected": {corrections: -10, total: 20, want: false},
	} {
		t.Run(name, func(t *testing.T) {
			settings := defaultSettings()
			settings.Plans[0].OverQuotaCost = 1
			h := newHarness(t, settings, readyEndpoints(1, 2, 3)...)
			h.countAdmitted(0, 1, 1, Succeeded)
			h.advance(h.engine.tenants[1].windowEnd().Sub(h.now) - 8*time.Millisecond)
			request := h.submit(100, 0, 0, 1, 2*time.Second, 1)
			h.counterTotals[h.pendingAdds[0].key] = test.total
			h.advance(12 * time.Millisecond)
			tenant := h.engine.tenants[1]
			h.engine.rollOver(h.now, tenant, 2)
			tenant.window.lostUnits = test.lost
			tenant.window.corrections = test.corrections
			h.answerOldestCounterCall(Succeeded)
			if got := len(request.attempts) > 0; got != test.want {
				t.Errorf("request admitted: %t, which is wrong; it ended as %q", got, request.finalAnswer)
			}
		})
	}
}

// Guards against exceeding the quota: units that a call had counted in the previous window for a request that
// was not admitted were subtracted from the count of the current window, which did not include them.
func TestCounterCall_FailureInPreviousWindowLowersNoCount(t *testing.T) {
	settings := defaultSettings()
	settings.Classes[0].FallbackMode = FailClosed
	h := newHarness(t, settings, readyEndpoints(1, 2, 3)...)
	h.countAdmitted(0, 1, 1, Succeeded)
	h.advance(h.engine.tenants[1].windowEnd().Sub(h.now) - 8*time.Millisecond)
	request := h.submit(100, 0, 0, 1, 2*time.Second, 5)
	h.advance(60 * time.Millisecond)
	if len(request.attempts) > 0 {
		t.Fatal("the request was admitted although its class fails closed")
	}
	tenant := h.engine.tenants[1]
	h.engine.rollOver(h.now, tenant, 2)
	h.answerOldestCounterCall(TimedOut)
	if tenant.unreportedUnits != 0 {
		t.Errorf("%v units unreported in the new window, want 0", tenant.unreportedUnits)
	}
}
