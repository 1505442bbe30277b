package model

import "fawnplank/policy"

const (
	// maxLifetimeNanos is the longest that the counter keeps a number.
	maxLifetimeNanos = 60e9
	// queueTimeouts is how many timeouts' worth of calls the counter queues before it refuses more.
	queueTimeouts = 4
)

// number is one of the counter's numbers.
type number struct {
	total      float64
	untilNanos int64
}

// counter adds up numbers, one call at a time.
type counter struct {
	world     *world
	numbers   map[policy.CounterKey]*number
	freeNanos int64 // when it can begin the next call

	// The faults in force.
	refusing, hanging int
	delayNanos        int64
	cutOff            map[int]int // by instance
	held              []func()    // calls that wait for the end of hanging
}

// counterCall is one call of an instance. An instance gets the answers for a key in the order of its calls.
type counterCall struct {
	instance    *instance
	incarnation int
	key         policy.CounterKey
	isDone      bool
	outcome     policy.Outcome
	total       float64
}

// end delivers a call's result to the instance once the calls before it have theirs.
func (k *counterCall) end(outcome policy.Outcome, total float64) {
	i := k.instance
	if k.isDone || i.incarnation != k.incarnation {
		return
	}
	k.isDone = true
	k.outcome = outcome
	k.total = total
	for len(i.calls[k.key]) > 0 && i.calls[k.key][0].isDone {
		first := i.calls[k.key][0]
		i.calls[k.key] = i.calls[k.key][1:]
		if len(i.calls[k.key]) == 0 {
			delete(i.calls, k.key)
		}
		i.world.recorder.CountCounterCall(i.world.nowNanos, first.outcome != policy.Succeeded)
		i.engine.HandleCounterResult(i.world.engineNow(), first.outcome, k.key, first.total)
		if i.incarnation != k.incarnation {
			return
		}
	}
}

// call sends an instance's call to the counter.
func (c *counter) call(from *instance, key policy.CounterKey, units float64, lifetimeNanos int64) {
	w := c.world
	k := &counterCall{instance: from, incarnation: from.incarnation, key: key}
	from.calls[key] = append(from.calls[key], k)
	w.after(int64(w.scenario.Counter.Timeout), func() { k.end(policy.TimedOut, 0) })
	w.after(w.hopNanos(), func() {
		c.arrive(k, func() {
			total := c.add(key, units, lifetimeNanos)
			w.after(w.hopNanos(), func() { k.end(policy.Succeeded, total) })
		})
	})
}

// arrive answers a call that has reached the counter, or makes it wait.
func (c *counter) arrive(k *counterCall, answer func()) {
	w := c.world
	switch {
	case c.cutOff[k.instance.index] > 0: // lost on the way
	case c.refusing > 0:
		w.after(w.hopNanos(), func() { k.end(policy.ConnectFailed, 0) })
	case c.hanging > 0:
		c.held = append(c.held, answer)
	default:
		startNanos := max(w.nowNanos, c.freeNanos)
		if rate := w.scenario.Counter.Rate; rate > 0 {
			if startNanos-w.nowNanos > queueTimeouts*int64(w.scenario.Counter.Timeout) {
				w.after(w.hopNanos(), func() { k.end(policy.Rejected, 0) })
				return
			}
			c.freeNanos = startNanos + int64(1e9/rate)
		}
		w.at(startNanos+int64(w.scenario.Counter.Delay)+c.delayNanos, answer)
	}
}

// add adds units to a number and returns its total, which has seven digits.
func (c *counter) add(key policy.CounterKey, units float64, lifetimeNanos int64) float64 {
	n := c.numbers[key]
	if n == nil || n.untilNanos <= c.world.nowNanos {
		n = &number{untilNanos: c.world.nowNanos + min(lifetimeNanos, maxLifetimeNanos)}
		c.numbers[key] = n
	}
	n.total = float64(float32(n.total + units))
	return n.total
}

// empty loses all numbers.
func (c *counter) empty() { clear(c.numbers) }

// release answers the calls that waited.
func (c *counter) release() {
	held := c.held
	c.held = nil
	for _, answer := range held {
		answer()
	}
}
