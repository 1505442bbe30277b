// Package room bounds the memory that all connections of a process hold for large values together, clients'
// and backends' alike. A reader that would pass the bound waits until another gives room back. It owns nothing
// but the count, and must never decide anything.
package membudget

import (
	"context"
	"time"

	"golang.org/x/sync/semaphore"
)

// Budget is the bound.
type Budget struct {
	most int64
	free *semaphore.Weighted
}

// New makes a room of so many bytes.
func New(bytes int64) *Budget {
	return &Budget{most: max(bytes, 1), free: semaphore.NewWeighted(max(bytes, 1))}
}

// Acquire waits for n bytes until the time given; false says that they could not be had by then. More than all of
// it waits for all of it.
func (r *Budget) Acquire(n int64, until time.Time) (taken int64, ok bool) {
	if r == nil || n <= 0 {
		return 0, true
	}
	n = min(n, r.most)
	if r.free.TryAcquire(n) {
		return n, true
	}
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	if r.free.Acquire(ctx, n) != nil {
		return 0, false
	}
	return n, true
}

// Release gives back what Take gave.
func (r *Budget) Release(n int64) {
	if r != nil && n > 0 {
		r.free.Release(n)
	}
}
