// Package due keeps things in the order of the times they fall due; equal times keep their order of arrival.
package timerqueue

import "container/heap"

type item[T any] struct {
	at   int64
	turn uint64
	what T
}

type line[T any] []item[T]

func (l line[T]) Len() int      { return len(l) }
func (l line[T]) Swap(i, j int) { l[i], l[j] = l[j], l[i] }
func (l *line[T]) Push(x any)   { *l = append(*l, x.(item[T])) }
func (l line[T]) Less(i, j int) bool {
	return l[i].at < l[j].at || l[i].at == l[j].at && l[i].turn < l[j].turn
}
func (l *line[T]) Pop() any {
	last := len(*l) - 1
	x := (*l)[last]
	(*l)[last] = item[T]{}
	*l = (*l)[:last]
	return x
}

// Queue holds things and their times. Its zero value is empty and ready.
type Queue[T any] struct {
	items line[T]
	turn  uint64
}

// Push puts what in the queue for the time at.
func (q *Queue[T]) Push(at int64, what T) {
	q.turn++
	heap.Push(&q.items, item[T]{at, q.turn, what})
}

// NextDue tells the earliest time in the queue; what is needless by now is dropped on the way.
func (q *Queue[T]) NextDue(needless func(T) bool) (at int64, ok bool) {
	for len(q.items) > 0 && needless(q.items[0].what) {
		heap.Pop(&q.items)
	}
	if len(q.items) == 0 {
		return 0, false
	}
	return q.items[0].at, true
}

// PopDue removes the earliest thing that is due by now.
func (q *Queue[T]) PopDue(now int64) (what T, ok bool) {
	if len(q.items) == 0 || q.items[0].at > now {
		return what, false
	}
	return heap.Pop(&q.items).(item[T]).what, true
}
