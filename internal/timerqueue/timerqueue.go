// Package timerqueue keeps values in the order of the times at which they are due. Values with equal times
// keep the order in which they were pushed, so that a state machine driven by the queue is deterministic. A
// Queue is not safe for concurrent use. All times are on one clock of the caller's choice.
package timerqueue

import (
	"container/heap"

	"fawnplank/internal/monotime"
)

type item[T any] struct {
	at       monotime.Instant
	sequence uint64 // number of the push; breaks ties
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
	(*s)[last] = item[T]{} // release the memory that the value refers to
	*s = (*s)[:last]
	return popped
}

// Queue holds values and their times. Its zero value is empty and ready to use.
type Queue[T any] struct {
	items    items[T]
	sequence uint64
}

// Push puts a value into the queue, due at the given time.
func (q *Queue[T]) Push(at monotime.Instant, value T) {
	q.sequence++
	heap.Push(&q.items, item[T]{at: at, sequence: q.sequence, value: value})
}

// NextDue returns the earliest due time in the queue. It first removes obsolete values from the front. ok is
// false if the queue is empty then.
func (q *Queue[T]) NextDue(isObsolete func(T) bool) (at monotime.Instant, ok bool) {
	for len(q.items) > 0 && isObsolete(q.items[0].value) {
		heap.Pop(&q.items)
	}
	if len(q.items) == 0 {
		return monotime.Instant{}, false
	}
	return q.items[0].at, true
}

// PopDue removes and returns the earliest value if it is due at the time now. ok is false if no value is due.
func (q *Queue[T]) PopDue(now monotime.Instant) (value T, ok bool) {
	if len(q.items) == 0 || q.items[0].at.After(now) {
		return value, false
	}
	return heap.Pop(&q.items).(item[T]).value, true
}
