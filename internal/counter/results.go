package counter

import (
	"runtime/debug"
	"time"

	"fawnplank/internal/logging"
	"fawnplank/policy"
)

// call is one addition to a count.
type call struct {
	key     policy.CounterKey
	addedAt time.Time
	ended   bool
	// total or err is the result of a call that has ended.
	total float64
	err   error
}

// queue holds the calls for one key whose results are not delivered yet. Results are delivered in the order of
// the calls, even if later calls went to another address.
type queue struct {
	connection *connection // sends the next call; nil means that any connection may send it
	calls      []*call
	delivering bool // a goroutine is delivering the results of this queue
}

// endCall records the result of a call, and delivers the results for the call's key that are now next in order.
func (c *Client) endCall(ended *call, total float64, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ended.ended = true
	ended.total = total
	ended.err = err
	c.stats.record(err)
	q := c.queues[ended.key]
	for !q.delivering && len(q.calls) > 0 && q.calls[0].ended {
		first := q.calls[0]
		q.calls = q.calls[1:]
		c.deliver(q, first)
	}
	if len(q.calls) == 0 && !q.delivering && c.queues[ended.key] == q {
		delete(c.queues, ended.key)
	}
}

// deliver passes the result of a queue's call to the handler. The caller holds the lock, which is released while
// the handler runs. Results for the same queue that arrive meanwhile are delivered afterwards by this goroutine.
func (c *Client) deliver(q *queue, ended *call) {
	q.delivering = true
	defer func() { q.delivering = false }()
	c.runUnlocked(func() { c.callHandler(ended) })
}

// callHandler calls the handler. It recovers and logs a panic, so that the results of other calls are still delivered.
func (c *Client) callHandler(ended *call) {
	defer func() {
		if cause := recover(); cause != nil {
			logging.LogPanic(logComponent, cause, debug.Stack())
		}
	}()
	c.handler.HandleCounterResult(ended.key, ended.total, ended.err)
}

// runUnlocked calls f with the lock released, and acquires the lock again afterwards, even if f panics.
func (c *Client) runUnlocked(f func()) {
	c.mu.Unlock()
	defer c.mu.Lock()
	f()
}
