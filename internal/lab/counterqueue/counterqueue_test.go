package counterqueue

import (
	"testing"
	"time"

	"fawnplank/internal/monotime"
)

func at(span time.Duration) monotime.Instant { return monotime.FromNanos(int64(span)) }

func TestQueue_BeginsCallsAtItsRate(t *testing.T) {
	q := New(100, 50*time.Millisecond)
	for n, call := range []struct{ now, want time.Duration }{
		{0, 0},
		{0, 10 * time.Millisecond},
		{5 * time.Millisecond, 20 * time.Millisecond},
		{100 * time.Millisecond, 100 * time.Millisecond}, // the queue is empty again
		{100 * time.Millisecond, 110 * time.Millisecond},
	} {
		if begin, ok := q.Push(at(call.now)); !ok || begin != at(call.want) {
			t.Errorf("call %d at %v: begin %v, accepted %v; want %v", n, call.now, begin, ok, call.want)
		}
	}
}

func TestQueue_RefusesCallsThatWouldWaitTooLong(t *testing.T) {
	q := New(100, 5*time.Millisecond) // a call waits for 20 ms at most
	for range 3 {
		if _, ok := q.Push(at(0)); !ok {
			t.Fatal("a call that would wait for at most 20 ms was refused")
		}
	}
	if begin, ok := q.Push(at(10 * time.Millisecond)); !ok || begin != at(30*time.Millisecond) {
		t.Errorf("a call with a wait of 20 ms: begin %v, accepted %v", begin, ok)
	}
	if _, ok := q.Push(at(19 * time.Millisecond)); ok {
		t.Error("a call with a wait of 21 ms was accepted")
	}
	if begin, ok := q.Push(at(20 * time.Millisecond)); !ok || begin != at(40*time.Millisecond) {
		t.Errorf("call after a refused one: begin %v, accepted %v; want 40 ms", begin, ok)
	}
}

func TestQueue_UnlimitedRateBeginsAtOnce(t *testing.T) {
	q := New(0, time.Millisecond)
	for range 1000 {
		if begin, ok := q.Push(at(time.Second)); !ok || begin != at(time.Second) {
			t.Fatalf("call at 1 s: begin %v, accepted %v", begin, ok)
		}
	}
}
