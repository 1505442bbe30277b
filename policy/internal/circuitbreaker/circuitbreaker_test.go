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
			t.Fatalf("%s after %d failures", b.State, failures)
		}
		b.RecordFailure(threshold, at(50))
	}
	if b.IsClosed() || b.State != Open {
		t.Fatalf("%s after %d failures", b.State, threshold)
	}
	if b.TryHalfOpen(at(49)) {
		t.Error("a call passes before the time to retry")
	}
	if !b.TryHalfOpen(at(50)) || b.State != HalfOpen {
		t.Errorf("no call passes at the time to retry: %s", b.State)
	}
	if b.TryHalfOpen(at(60)) {
		t.Error("a second call passes while the first is out")
	}
	if b.RecordFailure(threshold, at(90)); b.State != Open || b.TryHalfOpen(at(60)) {
		t.Errorf("%s after the call failed", b.State)
	}
	if !b.TryHalfOpen(at(90)) {
		t.Error("no further call passes")
	}
	if b.RecordSuccess(); !b.IsClosed() || b.ConsecutiveFailures != 0 {
		t.Errorf("%s after a success, with %d failures", b.State, b.ConsecutiveFailures)
	}
}

func TestState_String(t *testing.T) {
	for state, want := range map[State]string{Closed: "closed", Open: "open", HalfOpen: "half-open", 7: "7"} {
		if got := state.String(); got != want {
			t.Errorf("%q, want %q", got, want)
		}
	}
}
