package timerqueue

import (
	"slices"
	"testing"

	"fawnplank/internal/monotime"
)

func at(nanos int64) monotime.Instant { return monotime.FromNanos(nanos) }

func TestQueue_PopsInOrderOfTimeThenOfPush(t *testing.T) {
	var q Queue[string]
	q.Push(at(20), "c")
	q.Push(at(10), "a")
	q.Push(at(20), "d")
	q.Push(at(10), "b")
	if value, ok := q.PopDue(at(9)); ok {
		t.Errorf("%q popped before its due time", value)
	}
	var order []string
	for value, ok := q.PopDue(at(20)); ok; value, ok = q.PopDue(at(20)) {
		order = append(order, value)
	}
	if !slices.Equal(order, []string{"a", "b", "c", "d"}) {
		t.Errorf("popped in the order %q, want a, b, c, d", order)
	}
}

func TestQueue_NextDueDropsObsoleteValues(t *testing.T) {
	var q Queue[int]
	q.Push(at(1), -1)
	q.Push(at(3), 3)
	q.Push(at(2), -2)
	negative := func(n int) bool { return n < 0 }
	if due, ok := q.NextDue(negative); !ok || due != at(3) {
		t.Errorf("next due at %d, %t, want 3", due.Nanos(), ok)
	}
	if n, ok := q.PopDue(at(100)); !ok || n != 3 {
		t.Errorf("popped %d, %t, want 3", n, ok)
	}
	if due, ok := q.NextDue(negative); ok {
		t.Errorf("an empty queue has a value due at %d", due.Nanos())
	}
}
