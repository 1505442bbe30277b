package policy

// tickTimer is the number of the periodic timer; wakes for the earliest due time are numbered from 1.
const tickTimer = 0

// timer is a function to run at a due time. It is needless if while is set and is false by then.
type timer struct {
	while *bool
	run   func(now int64)
}

func (t timer) needless() bool { return t.while != nil && !*t.while }

// schedule runs a function at a time or soon after, if while is nil or still true then. Most functions
// scheduled for a request are needless by their time, and no wake is requested for them.
func (e *Engine) schedule(at int64, while *bool, run func(now int64)) {
	e.timers.Push(at, timer{while: while, run: run})
	if e.wakeAt == 0 || at < e.wakeAt {
		e.requestWake(at)
	}
}

func (e *Engine) requestWake(at int64) {
	e.wakeAt = at
	e.wakeups++
	e.effects.WakeAt(at, e.wakeups)
}

// HandleTimer runs the functions that are due. timerID is the timer that Effects.WakeAt was given.
func (e *Engine) HandleTimer(now int64, timerID uint64) {
	if timerID == tickTimer {
		e.tick(now)
		return
	}
	if timerID != e.wakeups {
		return // an earlier wake has been asked for since
	}
	for t, ok := e.timers.PopDue(now); ok; t, ok = e.timers.PopDue(now) {
		if !t.needless() {
			t.run(now)
		}
	}
	e.wakeAt = 0
	// A clock coarser than ours may wake a little early: this then asks again for the same time.
	if next, ok := e.timers.NextDue(timer.needless); ok {
		e.requestWake(max(next, now+1))
	}
}
