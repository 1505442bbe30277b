package model

import (
	"time"

	"fawnplank/internal/lab/counterqueue"
	"fawnplank/internal/monotime"
	"fawnplank/policy"
)

// maxLifetime bounds an entry's lifetime, by the platform's protocol.
const maxLifetime = time.Minute

// counterEntry is the number under a key.
type counterEntry struct {
	total     float64
	expiresAt monotime.Instant
}

// counter adds up numbers, one call at a time.
type counter struct {
	world   *world
	entries map[policy.CounterKey]*counterEntry
	queue   counterqueue.Queue

	refusing   int // how many faults of the kind are active; likewise below
	hanging    int
	cutOff     map[int]int   // by instance
	extraDelay time.Duration // of the faults that are active
	withheld   []func()      // answers that wait for the end of hanging
}

func newCounter(w *world) counter {
	settings := &w.scenario.Counter
	return counter{
		world:   w,
		entries: map[policy.CounterKey]*counterEntry{},
		queue:   counterqueue.New(settings.MaxRate, time.Duration(settings.Timeout)),
		cutOff:  map[int]int{},
	}
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
		i.world.recorder.CountCounterCall(i.world.now, first.outcome != policy.Succeeded)
		result := policy.CounterResult{Key: k.key, Outcome: first.outcome, Total: first.total}
		i.engine.HandleCounterResult(i.world.engineNow(), result)
		if i.incarnation != k.incarnation {
			return
		}
	}
}

// call sends an instance's call to the counter.
func (c *counter) call(from *instance, key policy.CounterKey, units float64, lifetime time.Duration) {
	w := c.world
	k := &counterCall{instance: from, incarnation: from.incarnation, key: key}
	from.calls[key] = append(from.calls[key], k)
	w.after(time.Duration(w.scenario.Counter.Timeout), func() { k.end(policy.TimedOut, 0) })
	w.after(w.oneWayDelay(), func() {
		c.arrive(k, func() {
			total := c.add(key, units, lifetime)
			w.after(w.oneWayDelay(), func() { k.end(policy.Succeeded, total) })
		})
	})
}

// arrive answers a call that has reached the counter, or makes it wait.
func (c *counter) arrive(k *counterCall, answer func()) {
	w := c.world
	switch {
	case c.cutOff[k.instance.index] > 0: // lost on the way
	case c.refusing > 0:
		w.after(w.oneWayDelay(), func() { k.end(policy.ConnectFailed, 0) })
	case c.hanging > 0:
		c.withheld = append(c.withheld, answer)
	default:
		answerAt, ok := c.schedule()
		if !ok {
			w.after(w.oneWayDelay(), func() { k.end(policy.Rejected, 0) })
			return
		}
		w.at(answerAt, answer)
	}
}

// schedule returns when a call that arrives now is answered, by the counter's rate and delay. It returns
// false if the queue is too long.
func (c *counter) schedule() (answerAt monotime.Instant, ok bool) {
	begin, ok := c.queue.Push(c.world.now)
	if !ok {
		return monotime.Instant{}, false
	}
	return begin.Add(time.Duration(c.world.scenario.Counter.Delay) + c.extraDelay), true
}

// add adds units to a key and returns the total, in single precision as on the platform's wire. It creates
// the entry if there is none or it has expired.
func (c *counter) add(key policy.CounterKey, units float64, lifetime time.Duration) float64 {
	entry := c.entries[key]
	if entry == nil || !entry.expiresAt.After(c.world.now) {
		entry = &counterEntry{expiresAt: c.world.now.Add(min(lifetime, maxLifetime))}
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
