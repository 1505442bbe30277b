package policy

import (
	"testing"
	"time"
)

func TestBreaker_OpensOnTimeoutsAndClosesAfterOneSuccess(t *testing.T) {
	h := newHarness(t, defaultSettings(), readyEndpoints(1, 2, 3, 4, 5, 6)...)
	for n := range 20 {
		request := h.submit(RequestID(n), 0, 0, TenantID(n), 2*time.Second, 1)
		if h.advance(40 * time.Millisecond); len(request.attempts) > 0 {
			h.endAttempt(request, 0, Succeeded)
		}
	}
	if len(h.pendingAdds) != breakerFailureThreshold {
		t.Errorf("%d calls to a counter that does not answer, want as many as open the breaker", len(h.pendingAdds))
	}
	h.pendingAdds = nil
	h.advance(2 * time.Second)
	h.submit(100, 0, 0, 100, 2*time.Second, 1)
	h.submit(101, 0, 0, 101, 2*time.Second, 1)
	if len(h.pendingAdds) != 1 {
		t.Fatalf("%d half-open calls, want 1", len(h.pendingAdds))
	}
	h.engine.HandleCounterResult(h.now, CounterResult{Key: h.pendingAdds[0].key, Outcome: Succeeded, Total: 1})
	if h.submit(102, 0, 0, 102, 2*time.Second, 1); len(h.pendingAdds) < 2 {
		t.Error("the breaker did not close after the half-open call succeeded")
	}
}

// Guards against a breaker that stays half-open: the client of the half-open call left, and the result of the
// call was never recorded.
func TestBreaker_RecordsHalfOpenCallAfterClientLeft(t *testing.T) {
	h := newHarness(t, defaultSettings(), readyEndpoints(1, 2, 3)...)
	h.countAdmitted(0, breakerFailureThreshold, 1, Rejected)
	h.advance(2 * time.Second)
	request := h.submit(100, 0, 0, 2, 2*time.Second, 1)
	h.disconnectClient(request)
	h.advance(2 * time.Second)
	if n := len(h.pendingAdds); h.submit(101, 0, 0, 3, 2*time.Second, 1) == nil || len(h.pendingAdds) != n+1 {
		t.Error("no second half-open call was made after the client of the first had left")
	}
}

// Guards against calling an overloaded counter, which answers only some of the calls, for every request or for
// none.
func TestCallShare_OverloadedCounterGetsFewerCalls(t *testing.T) {
	h, calls := newHarness(t, defaultSettings(), readyEndpoints(1, 2, 3)...), 0
	for n := range 200 {
		request := h.submit(RequestID(n), 0, 0, TenantID(n), 2*time.Second, 1)
		if len(h.pendingAdds) > 0 {
			calls++
			h.answerOldestCounterCall([]Outcome{Succeeded, Rejected}[calls%2])
		}
		if len(request.attempts) > 0 {
			h.endAttempt(request, 0, Succeeded)
		}
	}
	if calls < 10 || calls > 80 {
		t.Errorf("%d of 200 requests called a counter that rejects every other call, want 10 to 80", calls)
	}
}
