package policy

// tickTimer is the number of the periodic timer; those for the earliest due time are numbered from 1.
const tickTimer = 0

// timer is something to do at its time, unless while (where there is one) says by then that it is needless.
type timer struct {
	while *bool
	run   func(now int64)
}

func (t timer) needless() bool { return t.while != nil && !*t.while }

// schedule runs a function at a time or soon after, if while still holds then. Most of what is scheduled for
// a request is needless by its time, and nothing wakes up for it.
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

// HandleTimer runs what has fallen due. The timer is the one that Effects.WakeAt was given.
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
