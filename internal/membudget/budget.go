// Package membudget limits the total memory that all connections of a process hold for large values. A reader
// that would exceed the budget waits until other readers release enough of it.
//
// A Budget only counts bytes: all bytes that are acquired must be released. All methods are safe for concurrent
// use. They may also be called on a nil *Budget, which has no limit.
package membudget

import (
	"context"
	"runtime"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"
)

// Budget is a limit for the number of bytes that may be held at the same time.
type Budget struct {
	bytes   int64
	free    *semaphore.Weighted
	garbage atomic.Int64 // bytes recorded by AddGarbage since the last collection that Acquire has made
}

// garbageDivisor bounds the memory that is no longer used, but not collected yet, to a part of the budget.
const garbageDivisor = 4

// New returns a budget of the given number of bytes, at least one.
func New(bytes int64) *Budget {
	bytes = max(bytes, 1)
	return &Budget{bytes: bytes, free: semaphore.NewWeighted(bytes)}
}

// Acquire waits until the given number of bytes is free, and acquires them. It returns the number of bytes that the
// caller must release: if more than the whole budget is requested, Acquire waits for, and acquires, the whole budget.
// ok is false if the bytes were not free before the deadline. Waiting callers are served in the order of their calls.
func (b *Budget) Acquire(bytes int64, deadline time.Time) (acquired int64, ok bool) {
	if b == nil || bytes <= 0 {
		return 0, true
	}
	bytes = min(bytes, b.bytes)
	b.collectGarbage()
	if b.free.TryAcquire(bytes) { // avoids a timer in the usual case
		return bytes, true
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if b.free.Acquire(ctx, bytes) != nil {
		return 0, false
	}
	return bytes, true
}

// AddGarbage records that a large buffer of the given number of bytes is no longer used. It occupies memory until the
// next collection, which the collector may not begin in time where the memory of the process is small.
func (b *Budget) AddGarbage(bytes int64) {
	if b != nil {
		b.garbage.Add(bytes)
	}
}

// collectGarbage collects the garbage of the process if too much was recorded.
func (b *Budget) collectGarbage() {
	if garbage := b.garbage.Load(); garbage > b.bytes/garbageDivisor && b.garbage.CompareAndSwap(garbage, 0) {
		runtime.GC()
	}
}

// TryAcquire acquires the given number of bytes if they are free and no caller of Acquire waits. ok is false if it does
// not.
func (b *Budget) TryAcquire(bytes int64) (ok bool) {
	return b == nil || bytes <= 0 || b.free.TryAcquire(bytes)
}

// Release returns bytes to the budget. The number must be the one that Acquire returned.
func (b *Budget) Release(bytes int64) {
	if b != nil && bytes > 0 {
		b.free.Release(bytes)
	}
}
