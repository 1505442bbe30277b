package policy

import "fawnplank/internal/monotime"

// tickTimer is the id of the periodic timer; wake-ups for scheduled functions have ids from 1.
const tickTimer TimerID = 0

// timer is a function that is scheduled for a due time. It is obsolete if condition is set and is false by then.
type timer struct {
	condition *bool
	run       func(now Instant)
}

func (t timer) isObsolete() bool { return t.condition != nil && !*t.condition }

// schedule runs a function at the given time or soon after, provided that condition is nil or true then. Most functions
// that are scheduled for a request become obsolete before they are due, and no wake-up is requested for those.
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

// HandleTimer runs the functions that are due. id is the timer that was passed to Effects.WakeAt.
func (e *Engine) HandleTimer(now Instant, id TimerID) {
	if id == tickTimer {
		e.tick(now)
		return
	}
	if id != e.wakeID {
		return // replaced by an earlier wake-up
	}
	for t, ok := e.timers.PopDue(now); ok; t, ok = e.timers.PopDue(now) {
		if !t.isObsolete() {
			t.run(now)
		}
	}
	e.wakeAt = Instant{}
	// A caller with a coarser clock may call a little early: the same time is then requested again.
	if next, ok := e.timers.NextDue(timer.isObsolete); ok {
		e.requestWake(monotime.Later(next, now.Add(1)))
	}
}
