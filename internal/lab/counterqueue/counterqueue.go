// Package counterqueue computes when a counter of a bounded rate begins the calls that it is sent. The model's
// counter and the emulator's both use it. It reads no clock.
//
// A Queue is not safe for concurrent use.
package counterqueue

import (
	"time"

	"fawnplank/internal/monotime"
)

// maxWaitTimeouts is how many of the gateway's timeouts a call may wait. The counter refuses calls that would
// wait longer, like one whose queue is full.
const maxWaitTimeouts = 4

// Queue is the calls that a counter has taken and not begun.
type Queue struct {
	interval time.Duration    // between the begins of two calls; 0: any number begins at once
	maxWait  time.Duration    // of a call, before it begins
	freeAt   monotime.Instant // when the next call can begin
}

// New returns the queue of a counter that takes a rate of calls per second, or any number if the rate is 0.
// The timeout is that of the gateway's calls.
func New(rate float64, timeout time.Duration) Queue {
	q := Queue{maxWait: maxWaitTimeouts * timeout}
	if rate > 0 {
		q.interval = time.Duration(float64(time.Second) / rate)
	}
	return q
}

// Push adds a call that arrives now, and returns when the counter begins it. It returns false if the call
// would wait for too long, and then does not add it.
func (q *Queue) Push(now monotime.Instant) (begin monotime.Instant, ok bool) {
	begin = monotime.Later(now, q.freeAt)
	if begin.Sub(now) > q.maxWait {
		return monotime.Instant{}, false
	}
	q.freeAt = begin.Add(q.interval)
	return begin, true
}
