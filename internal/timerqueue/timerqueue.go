// Package timerqueue implements a priority queue of values that are ordered by due time. Values with equal due
// times keep the order in which they were pushed, so that a state machine driven by the queue is deterministic.
// A Queue is not safe for concurrent use. All times of a Queue are on the same clock, which the caller chooses.
package timerqueue

import (
	"container/heap"

	"fawnplank/internal/monotime"
)

type item[T any] struct {
	at       monotime.Instant
	sequence uint64 // number of the push; orders items with equal times
	value    T
}

// items implements heap.Interface.
type items[T any] []item[T]

func (s items[T]) Len() int      { return len(s) }
func (s items[T]) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s items[T]) Less(i, j int) bool {
	return s[i].at.Before(s[j].at) || s[i].at == s[j].at && s[i].sequence < s[j].sequence
}
func (s *items[T]) Push(x any) { *s = append(*s, x.(item[T])) }
func (s *items[T]) Pop() any {
	last := len(*s) - 1
	popped := (*s)[last]
	(*s)[last] = item[T]{} // lets the garbage collector free what the value refers to
	*s = (*s)[:last]
	return popped
}

// Queue holds values with their due times. The zero value is empty and ready to use.
type Queue[T any] struct {
	items    items[T]
	sequence uint64
}

// Push adds a value that is due at the given time.
func (q *Queue[T]) Push(at monotime.Instant, value T) {
	q.sequence++
	heap.Push(&q.items, item[T]{at: at, sequence: q.sequence, value: value})
}

// NextDue removes obsolete values from the front of the queue and returns the earliest remaining due time. ok is
// false if the queue is then empty.
func (q *Queue[T]) NextDue(isObsolete func(T) bool) (at monotime.Instant, ok bool) {
	for len(q.items) > 0 && isObsolete(q.items[0].value) {
		heap.Pop(&q.items)
	}
	if len(q.items) == 0 {
		return monotime.Instant{}, false
	}
	return q.items[0].at, true
}

// PopDue removes and returns the earliest value if it is due at now. ok is false if no value is due.
func (q *Queue[T]) PopDue(now monotime.Instant) (value T, ok bool) {
	if len(q.items) == 0 || q.items[0].at.After(now) {
		return value, false
	}
	return heap.Pop(&q.items).(item[T]).value, true
}
