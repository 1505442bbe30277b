package policy

import "fawnplank/internal/monotime"

// tickTimer is the number of the periodic timer; wakes for the earliest due time are numbered from 1.
const tickTimer TimerID = 0

// timer is a function to run at a due time. It is obsolete if while is set and is false by then.
type timer struct {
	condition *bool
	run       func(now Instant)
}

func (t timer) isObsolete() bool { return t.condition != nil && !*t.condition }

// schedule runs a function at a time or soon after, if while is nil or still true then. Most functions
// scheduled for a request are obsolete by their time, and no wake is requested for them.
func (e *Engine) schedule(at Instant, condition *bool, run func(now Instant)) {
	e.timers.Push(at, timer{condition: condition, run: run})
	if e.wakeAt.IsZero() || at.Before(e.wakeAt) {
		e.requestWake(at)
	}
}

func (e *Engine) requestWake(at Instant) {
	e.wakeAt = at
	e.wakeID++
	e.effects.WakeAt(at, e.wakeID)
}

// HandleTimer runs the functions that are due. id is the timer that Effects.WakeAt was given.
func (e *Engine) HandleTimer(now Instant, id TimerID) {
	if id == tickTimer {
		e.tick(now)
		return
	}
	if id != e.wakeID {
		return // an earlier wake has been asked for since
	}
	for t, ok := e.timers.PopDue(now); ok; t, ok = e.timers.PopDue(now) {
		if !t.isObsolete() {
			t.run(now)
		}
	}
	e.wakeAt = Instant{}
	// A clock coarser than ours may wake a little early: this then asks again for the same time.
	if next, ok := e.timers.NextDue(timer.isObsolete); ok {
		e.requestWake(monotime.Later(next, now.Add(1)))
	}
}
