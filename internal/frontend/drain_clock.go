package frontend

import (
	"sync/atomic"
	"time"
)

// drainClock measures how long a drain has lasted. It measures monotonic time: the wall clock may be stepped
// meanwhile. Its methods are safe for concurrent use.
type drainClock struct {
	origin     time.Time
	beganNanos *atomic.Int64 // from origin to the beginning of the drain; 0 if none is under way
}

// newDrainClock returns a clock of no drain.
func newDrainClock() drainClock {
	return drainClock{origin: time.Now(), beganNanos: new(atomic.Int64)}
}

// start begins a drain. It returns false if one is under way, which goes on from its first call.
func (d drainClock) start() bool {
	return d.beganNanos.CompareAndSwap(0, max(int64(time.Since(d.origin)), 1))
}

// stop ends the drain. It returns false if none was under way.
func (d drainClock) stop() bool { return d.beganNanos.Swap(0) != 0 }

// age returns how long the drain has lasted. ok is false if none is under way.
func (d drainClock) age() (age time.Duration, ok bool) {
	began := time.Duration(d.beganNanos.Load())
	if began == 0 {
		return 0, false
	}
	return time.Since(d.origin) - began, true
}
