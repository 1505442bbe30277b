package circuitbreaker

import (
	"testing"

	"fawnplank/internal/monotime"
)

func at(nanos int64) monotime.Instant { return monotime.FromNanos(nanos) }

func TestBreaker_StateTransitions(t *testing.T) {
	var b Breaker
	const threshold = 3
	for failures := range threshold {
		if !b.IsClosed() || b.TryHalfOpen(at(100)) {
			t.Fatalf("breaker is %s after %d failures", b.State, failures)
		}
		b.RecordFailure(threshold, at(50))
	}
	if b.IsClosed() || b.State != Open {
		t.Fatalf("breaker is %s after %d failures", b.State, threshold)
	}
	if b.TryHalfOpen(at(49)) {
		t.Error("a call is allowed before the time to retry")
	}
	if !b.TryHalfOpen(at(50)) || b.State != HalfOpen {
		t.Errorf("no call is allowed at the time to retry: breaker is %s", b.State)
	}
	if b.TryHalfOpen(at(60)) {
		t.Error("a second call is allowed while the half-open call is unanswered")
	}
	if b.RecordFailure(threshold, at(90)); b.State != Open || b.TryHalfOpen(at(60)) {
		t.Errorf("breaker is %s after the half-open call failed", b.State)
	}
	if !b.TryHalfOpen(at(90)) {
		t.Error("no call is allowed at the second time to retry")
	}
	if b.RecordSuccess(); !b.IsClosed() || b.ConsecutiveFailures != 0 {
		t.Errorf("breaker is %s after a success, with %d consecutive failures", b.State, b.ConsecutiveFailures)
	}
}

func TestState_String(t *testing.T) {
	for state, want := range map[State]string{Closed: "closed", Open: "open", HalfOpen: "half-open", 7: "7"} {
		if got := state.String(); got != want {
			t.Errorf("state string %q, want %q", got, want)
		}
	}
}
