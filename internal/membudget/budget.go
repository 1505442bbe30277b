// Package membudget bounds the total memory that all connections of a process hold for large values. A reader
// that would exceed the budget waits until another reader releases some of it.
//
// A Budget only counts bytes, so what is acquired must be released. All methods are safe for concurrent use.
// They may also be called on a nil *Budget, which bounds nothing.
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

// New returns a budget of the given number of bytes, at least one.
func New(bytes int64) *Budget {
	bytes = max(bytes, 1)
	return &Budget{bytes: bytes, free: semaphore.NewWeighted(bytes)}
}

// Acquire waits until the deadline for the given number of bytes, and returns how many the caller must
// release. A request for more than the whole budget waits for, and gets, the whole budget. ok is false if the
// bytes were not free in time. Those who wait are served in the order in which they came.
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

// Release returns bytes to the budget; pass the number that Acquire returned.
func (b *Budget) Release(bytes int64) {
	if b != nil && bytes > 0 {
		b.free.Release(bytes)
	}
}
