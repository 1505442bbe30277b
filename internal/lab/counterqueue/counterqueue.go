// Package counterqueue computes when a counter with a limited rate begins each call that arrives. The counters of
// the model and of the emulator use it. The package reads no clock.
//
// A Queue is not safe for concurrent use.
package counterqueue

import (
	"time"

	"fawnplank/internal/monotime"
)

// maxWaitTimeouts is the longest time that a call may wait in the queue, as a multiple of the gateways' timeout for
// calls. The counter refuses calls that would wait longer, like a server whose queue is full.
const maxWaitTimeouts = 4

// Queue models the calls that a counter has accepted and not begun.
type Queue struct {
	interval  time.Duration    // between the starts of two calls; 0: no limit
	maxWait   time.Duration    // longest time that a call may wait
	nextBegin monotime.Instant // earliest start of the next call
}

// New returns the queue of a counter that begins up to rate calls per second, or any number if rate is 0. timeout
// is the gateways' timeout for calls to the counter.
func New(rate float64, timeout time.Duration) Queue {
	q := Queue{maxWait: maxWaitTimeouts * timeout}
	if rate > 0 {
		q.interval = time.Duration(float64(time.Second) / rate)
	}
	return q
}

// Push adds a call that arrives now, and returns when the counter begins it. If the call would wait for too long,
// Push does not add it and returns false.
func (q *Queue) Push(now monotime.Instant) (begin monotime.Instant, ok bool) {
	begin = monotime.Later(now, q.nextBegin)
	if begin.Sub(now) > q.maxWait {
		return monotime.Instant{}, false
	}
	q.nextBegin = begin.Add(q.interval)
	return begin, true
}
