package frontend

import (
	"sync/atomic"
	"time"
)

// drainClock measures how long a drain has lasted. It uses monotonic time, since the wall clock may be stepped during a
// drain. Its methods are safe for concurrent use.
type drainClock struct {
	origin     time.Time
	startNanos *atomic.Int64 // time from origin to the start of the drain; 0 without a drain
}

// newDrainClock returns a clock without a drain.
func newDrainClock() drainClock {
	return drainClock{origin: time.Now(), startNanos: new(atomic.Int64)}
}

// start begins a drain. If a drain is already in progress, start returns false and leaves its start time unchanged.
func (d drainClock) start() bool {
	return d.startNanos.CompareAndSwap(0, max(int64(time.Since(d.origin)), 1))
}

// stop ends the drain. It returns false if no drain was in progress.
func (d drainClock) stop() bool { return d.startNanos.Swap(0) != 0 }

// age returns how long the drain has lasted. ok is false if no drain is in progress.
func (d drainClock) age() (age time.Duration, ok bool) {
	start := time.Duration(d.startNanos.Load())
	if start == 0 {
		return 0, false
	}
	return time.Since(d.origin) - start, true
}
