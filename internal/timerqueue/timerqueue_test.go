package timerqueue

import (
	"slices"
	"testing"
)

func TestQueue_PopsInOrderOfTimeThenOfPush(t *testing.T) {
	var q Queue[string]
	q.Push(20, "c")
	q.Push(10, "a")
	q.Push(20, "d")
	q.Push(10, "b")
	if value, ok := q.PopDue(9); ok {
		t.Errorf("%q popped before its time", value)
	}
	var order []string
	for value, ok := q.PopDue(20); ok; value, ok = q.PopDue(20) {
		order = append(order, value)
	}
	if !slices.Equal(order, []string{"a", "b", "c", "d"}) {
		t.Errorf("popped in the order %q", order)
	}
}

func TestQueue_NextDueDropsObsoleteValues(t *testing.T) {
	var q Queue[int]
	q.Push(1, -1)
	q.Push(3, 3)
	q.Push(2, -2)
	negative := func(n int) bool { return n < 0 }
	if at, ok := q.NextDue(negative); !ok || at != 3 {
		t.Errorf("next due at %d, %t, want 3", at, ok)
	}
	if n, ok := q.PopDue(100); !ok || n != 3 {
		t.Errorf("popped %d, %t, want 3", n, ok)
	}
	if at, ok := q.NextDue(negative); ok {
		t.Errorf("an empty queue has a value due at %d", at)
	}
}
