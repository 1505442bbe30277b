package dispatch

import (
	"runtime/debug"

	"fawnplank/internal/logging"
	"fawnplank/policy"
)

// timerKind is what to do when a timer expires.
type timerKind uint8

const (
	wakeUp         timerKind = iota // the engine asked for a call
	startDeadline                   // the latest time for the attempt to start
	resultDeadline                  // the dispatcher stops waiting for the attempt's result
)

// timer is an entry of the timer queue.
type timer struct {
	kind    timerKind
	id      policy.TimerID // of a wakeUp, as the engine gave it
	attempt *Attempt       // of the others
}

// isObsolete reports whether there is nothing left to do when the timer expires.
func (d *Dispatcher) isObsolete(t timer) bool {
	switch t.kind {
	case wakeUp:
		return t.id != 0 && t.id != d.latestWake
	case startDeadline:
		return t.attempt.state.load() != attemptWaiting
	default:
		return t.attempt.state.load() == attemptSettled
	}
}

// setAlarm sets the alarm for the earliest timer that is not obsolete.
func (d *Dispatcher) setAlarm() {
	next, ok := d.timers.NextDue(d.isObsolete)
	if !ok || next == d.alarmAt {
		return
	}
	d.alarmAt = next
	d.alarm.Reset(next.Sub(d.now()))
}

// runTimers waits for the alarm and handles due timers, until Stop.
func (d *Dispatcher) runTimers() {
	for {
		select {
		case <-d.alarm.C:
		case <-d.stopped:
			return
		}
		d.expireTimers()
	}
}

// expireTimers handles all due timers. A panic in the engine is logged, and the timers keep running.
func (d *Dispatcher) expireTimers() {
	defer func() {
		if reason := recover(); reason != nil {
			logging.Panicked("dispatch", reason, debug.Stack())
		}
	}()
	d.do(func(now policy.Instant) {
		d.alarmAt = policy.Instant{}
		for t, ok := d.timers.PopDue(now); ok; t, ok = d.timers.PopDue(d.now()) {
			d.expire(t)
		}
	})
}

// expire handles one timer.
func (d *Dispatcher) expire(t timer) {
	if d.isObsolete(t) {
		return
	}
	switch t.kind {
	case wakeUp:
		d.engine.HandleTimer(d.now(), t.id)
	case startDeadline:
		t.attempt.cancel(policy.ConnectFailed)
	default:
		t.attempt.cancel(policy.TimedOut)
	}
}
