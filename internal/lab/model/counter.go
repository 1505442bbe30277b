package model

import "fawnplank/policy"

const (
	// maxLifetimeNanos bounds an entry's lifetime: 60 s by the platform's protocol.
	maxLifetimeNanos = 60e9
	// overloadTimeouts is how many of the gateway's timeouts a call may wait. The counter refuses calls that
	// would wait longer, like one whose queue is full.
	overloadTimeouts = 4
)

// counterEntry is the number under a key.
type counterEntry struct {
	total          float64
	expiresAtNanos int64
}

// counter adds up numbers, one call at a time.
type counter struct {
	world       *world
	entries     map[policy.CounterKey]*counterEntry
	freeAtNanos int64 // when it can begin the next call

	refusing        int // how many faults of the kind are active; likewise below
	hanging         int
	cutOff          map[int]int // by instance
	extraDelayNanos int64       // of the faults that are active
	withheld        []func()    // answers that wait for the end of hanging
}

func newCounter(w *world) counter {
	return counter{world: w, entries: map[policy.CounterKey]*counterEntry{}, cutOff: map[int]int{}}
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
		result := policy.CounterResult{Key: k.key, Outcome: first.outcome, Total: first.total}
		i.engine.HandleCounterResult(i.world.engineNow(), result)
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
	w.after(w.oneWayDelayNanos(), func() {
		c.arrive(k, func() {
			total := c.add(key, units, lifetimeNanos)
			w.after(w.oneWayDelayNanos(), func() { k.end(policy.Succeeded, total) })
		})
	})
}

// arrive answers a call that has reached the counter, or makes it wait.
func (c *counter) arrive(k *counterCall, answer func()) {
	w := c.world
	switch {
	case c.cutOff[k.instance.index] > 0: // lost on the way
	case c.refusing > 0:
		w.after(w.oneWayDelayNanos(), func() { k.end(policy.ConnectFailed, 0) })
	case c.hanging > 0:
		c.withheld = append(c.withheld, answer)
	default:
		answerNanos, ok := c.schedule()
		if !ok {
			w.after(w.oneWayDelayNanos(), func() { k.end(policy.Rejected, 0) })
			return
		}
		w.at(answerNanos, answer)
	}
}

// schedule returns when a call that arrives now is answered, by the counter's rate and delay. It returns
// false if the queue is too long.
func (c *counter) schedule() (answerNanos int64, ok bool) {
	settings := &c.world.scenario.Counter
	startNanos := max(c.world.nowNanos, c.freeAtNanos)
	if settings.Rate > 0 {
		if startNanos-c.world.nowNanos > overloadTimeouts*int64(settings.Timeout) {
			return 0, false
		}
		c.freeAtNanos = startNanos + int64(1e9/settings.Rate)
	}
	return startNanos + int64(settings.Delay) + c.extraDelayNanos, true
}

// add adds units to a key and returns the total, in single precision as on the platform's wire. It creates
// the entry if there is none or it has expired.
func (c *counter) add(key policy.CounterKey, units float64, lifetimeNanos int64) float64 {
	entry := c.entries[key]
	if entry == nil || entry.expiresAtNanos <= c.world.nowNanos {
		entry = &counterEntry{expiresAtNanos: c.world.nowNanos + min(lifetimeNanos, maxLifetimeNanos)}
		c.entries[key] = entry
	}
	entry.total = float64(float32(entry.total + units))
	return entry.total
}

// release answers the calls that waited.
func (c *counter) release() {
	withheld := c.withheld
	c.withheld = nil
	for _, answer := range withheld {
		answer()
	}
}
