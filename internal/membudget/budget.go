// Package membudget bounds the memory that all connections of a process hold for large values together. A
// reader that would exceed the budget waits until another releases some of it.
//
// A Budget owns nothing but the count: what is acquired must be released. All methods are safe for concurrent
// use, and on a nil *Budget, which bounds nothing.
package membudget

import (
	"context"
	"time"

	"golang.org/x/sync/semaphore"
)

// Budget is a number of bytes that may be held at once.
type Budget struct {
	bytes int64
	free  *semaphore.Weighted
}

// New makes a budget of so many bytes; of one at least.
func New(bytes int64) *Budget {
	bytes = max(bytes, 1)
	return &Budget{bytes: bytes, free: semaphore.NewWeighted(bytes)}
}

// Acquire waits for so many bytes until the deadline, and returns how many to release: more than the whole
// budget waits for, and gets, the whole budget. ok is false if they were not free in time.
func (b *Budget) Acquire(bytes int64, deadline time.Time) (acquired int64, ok bool) {
	if b == nil || bytes <= 0 {
		return 0, true
	}
	bytes = min(bytes, b.bytes)
	if b.free.TryAcquire(bytes) { // the ordinary case needs no timer
		return bytes, true
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if b.free.Acquire(ctx, bytes) != nil {
		return 0, false
	}
	return bytes, true
}

// Release gives back what Acquire returned.
func (b *Budget) Release(bytes int64) {
	if b != nil && bytes > 0 {
		b.free.Release(bytes)
	}
}
