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

// queue holds a key's calls whose results are not delivered yet. Results are delivered in the order of the
// calls, even if later calls went to another address.
type queue struct {
	connection *connection // takes the next call; nil means any connection
	calls      []*call
	delivering bool // a goroutine is delivering the results of this queue
}

// endCall records the result of a call, and delivers the results that are now due for the call's key.
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

// deliver passes the result of a queue's call to the handler. The caller holds the lock, which is released
// meanwhile. Results of the queue that arrive then are delivered later by this same goroutine.
func (c *Client) deliver(q *queue, ended *call) {
	q.delivering = true
	defer func() { q.delivering = false }()
	c.unlocked(func() { c.callHandler(ended) })
}

// callHandler calls the handler. A panic is logged and ends here, so that it costs no other call its result.
func (c *Client) callHandler(ended *call) {
	defer func() {
		if cause := recover(); cause != nil {
			logging.LogPanic(logComponent, cause, debug.Stack())
		}
	}()
	c.handler.HandleCounterResult(ended.key, ended.total, ended.err)
}

// unlocked calls f with the lock released, and takes the lock again afterwards, also after a panic.
func (c *Client) unlocked(f func()) {
	c.mu.Unlock()
	defer c.mu.Lock()
	f()
}
