package model

import (
	"time"

	"fawnplank/internal/lab/counterqueue"
	"fawnplank/internal/monotime"
	"fawnplank/policy"
)

// maxLifetime is the longest lifetime of an entry that the platform's counter protocol allows.
const maxLifetime = time.Minute

// counterEntry is the total stored under a key.
type counterEntry struct {
	total     float64
	expiresAt monotime.Instant
}

// counter is the simulated counter service. It handles one call at a time.
type counter struct {
	simulation *simulation
	entries    map[policy.CounterKey]*counterEntry
	queue      counterqueue.Queue

	refusing       int           // number of active CounterRefuse faults
	hanging        int           // number of active CounterHang faults
	partitioned    map[int]int   // number of active CounterCut faults by instance index
	extraDelay     time.Duration // sum over the active faults
	delayedAnswers []func()      // answers held back until the counter no longer hangs
}

func newCounter(sim *simulation) counter {
	settings := &sim.scenario.Counter
	return counter{
		simulation:  sim,
		entries:     map[policy.CounterKey]*counterEntry{},
		queue:       counterqueue.New(settings.MaxRate, time.Duration(settings.Timeout)),
		partitioned: map[int]int{},
	}
}

// counterCall is one call of an instance to the counter. The results of calls with the same key are delivered in
// the order of the calls.
type counterCall struct {
	instance    *instance
	incarnation int
	key         policy.CounterKey
	isDone      bool
	outcome     policy.Outcome
	total       float64
}

// deliverResult records a call's result and delivers it to the instance once all earlier calls with the same key
// have results. Only the first result of a call has an effect.
func (call *counterCall) deliverResult(outcome policy.Outcome, total float64) {
	i := call.instance
	if call.isDone || i.incarnation != call.incarnation {
		return
	}
	call.isDone = true
	call.outcome = outcome
	call.total = total
	for len(i.calls[call.key]) > 0 && i.calls[call.key][0].isDone {
		first := i.calls[call.key][0]
		i.calls[call.key] = i.calls[call.key][1:]
		if len(i.calls[call.key]) == 0 {
			delete(i.calls, call.key)
		}
		i.simulation.recorder.CountCounterCall(i.simulation.now, first.outcome != policy.Succeeded)
		result := policy.CounterResult{Key: call.key, Outcome: first.outcome, Total: first.total}
		i.engine.HandleCounterResult(i.simulation.engineNow(), result)
		if i.incarnation != call.incarnation {
			return
		}
	}
}

// call sends a call from an instance to the counter.
func (c *counter) call(from *instance, key policy.CounterKey, units float64, lifetime time.Duration) {
	sim := c.simulation
	newCall := &counterCall{instance: from, incarnation: from.incarnation, key: key}
	from.calls[key] = append(from.calls[key], newCall)
	sim.after(time.Duration(sim.scenario.Counter.Timeout), func() { newCall.deliverResult(policy.TimedOut, 0) })
	sim.after(sim.drawOneWayDelay(), func() {
		c.arrive(newCall, func() {
			total := c.add(key, units, lifetime)
			sim.after(sim.drawOneWayDelay(), func() { newCall.deliverResult(policy.Succeeded, total) })
		})
	})
}

// arrive handles a call that reaches the counter. It drops, refuses, holds back or schedules the answer.
func (c *counter) arrive(call *counterCall, answer func()) {
	sim := c.simulation
	switch {
	case c.partitioned[call.instance.index] > 0: // the call is lost in transit
	case c.refusing > 0:
		sim.after(sim.drawOneWayDelay(), func() { call.deliverResult(policy.ConnectFailed, 0) })
	case c.hanging > 0:
		c.delayedAnswers = append(c.delayedAnswers, answer)
	default:
		answerAt, ok := c.schedule()
		if !ok {
			sim.after(sim.drawOneWayDelay(), func() { call.deliverResult(policy.Rejected, 0) })
			return
		}
		sim.at(answerAt, answer)
	}
}

// schedule returns when a call that arrives now is answered, given the counter's rate and delay. It returns
// false if the call would wait in the queue for too long.
func (c *counter) schedule() (answerAt monotime.Instant, ok bool) {
	begin, ok := c.queue.Push(c.simulation.now)
	if !ok {
		return monotime.Instant{}, false
	}
	return begin.Add(time.Duration(c.simulation.scenario.Counter.Delay) + c.extraDelay), true
}

// add adds units to a key and returns the new total, rounded to single precision as in the platform's counter
// protocol. It creates the entry if it does not exist or has expired.
func (c *counter) add(key policy.CounterKey, units float64, lifetime time.Duration) float64 {
	entry := c.entries[key]
	if entry == nil || !entry.expiresAt.After(c.simulation.now) {
		entry = &counterEntry{expiresAt: c.simulation.now.Add(min(lifetime, maxLifetime))}
		c.entries[key] = entry
	}
	entry.total = float64(float32(entry.total + units))
	return entry.total
}

// release sends the answers that were held back.
func (c *counter) release() {
	delayedAnswers := c.delayedAnswers
	c.delayedAnswers = nil
	for _, answer := range delayedAnswers {
		answer()
	}
}
