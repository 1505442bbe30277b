package dispatch

import (
	"runtime/debug"

	"fawnplank/internal/logging"
	"fawnplank/policy"
)

// logComponent names this package in the log.
const logComponent = "dispatch"

// timerKind determines what the dispatcher does when a timer expires.
type timerKind uint8

const (
	wakeUpTimer         timerKind = iota // call the engine, which requested the timer
	startDeadlineTimer                   // cancel the attempt if it has not started; Attempt.mayStart is now false
	resultDeadlineTimer                  // end the attempt with the outcome TimedOut
)

func (k timerKind) String() string {
	switch k {
	case wakeUpTimer:
		return "wake-up"
	case startDeadlineTimer:
		return "start deadline"
	case resultDeadlineTimer:
		return "result deadline"
	}
	return "unknown"
}

// independentWakeUp is the id of the engine's wake-ups that no other wake-up makes obsolete.
const independentWakeUp policy.TimerID = 0

// timer is an entry of the timer queue.
type timer struct {
	kind    timerKind
	id      policy.TimerID // of a wakeUpTimer, from the engine
	attempt *Attempt       // of a timer of any other kind
	// deadlineMoves is the attempt's deadlineMoves when a resultDeadlineTimer was set: a later move makes it obsolete.
	deadlineMoves int
}

// isObsolete reports whether there is nothing left to do when the timer expires. The caller holds the lock.
func (d *Dispatcher) isObsolete(t timer) bool {
	switch t.kind {
	case wakeUpTimer:
		return t.id != independentWakeUp && t.id != d.latestWakeUp
	case startDeadlineTimer:
		return t.attempt.state.load() != attemptWaiting
	case resultDeadlineTimer:
		state := t.attempt.state.load()
		return state == attemptSettled || state == attemptStreaming || t.deadlineMoves != t.attempt.deadlineMoves
	}
	return true
}

// scheduleDeadlines sets the timers of a new attempt. The start deadline needs a timer only if it comes before the
// result deadline, which ends the attempt in any case. The caller holds the lock.
func (d *Dispatcher) scheduleDeadlines(attempt *Attempt) {
	d.timers.Push(attempt.resultDeadline, timer{kind: resultDeadlineTimer, attempt: attempt})
	if attempt.startDeadline.Before(attempt.resultDeadline) {
		d.timers.Push(attempt.startDeadline, timer{kind: startDeadlineTimer, attempt: attempt})
	}
}

// moveResultDeadline changes when the dispatcher stops waiting for an attempt's result. The caller holds the lock.
func (d *Dispatcher) moveResultDeadline(attempt *Attempt, deadline policy.Instant) {
	if deadline == attempt.resultDeadline {
		return
	}
	attempt.resultDeadline = deadline
	attempt.deadlineMoves++
	d.timers.Push(deadline, timer{
		kind:          resultDeadlineTimer,
		attempt:       attempt,
		deadlineMoves: attempt.deadlineMoves,
	})
}

// resetQueueTimer sets queueTimer to the earliest timer that is not obsolete. The caller holds the lock.
func (d *Dispatcher) resetQueueTimer() {
	next, ok := d.timers.NextDue(d.isObsolete)
	if !ok || next == d.queueTimerDue {
		return
	}
	d.queueTimerDue = next
	d.queueTimer.Reset(next.Sub(d.now()))
}

// runTimers handles due timers each time queueTimer fires, until Stop is called.
func (d *Dispatcher) runTimers() {
	for {
		select {
		case <-d.queueTimer.C:
		case <-d.stopped:
			return
		}
		d.handleDueTimers()
	}
}

// handleDueTimers handles all due timers. A panic in the engine is logged and does not stop the timers.
func (d *Dispatcher) handleDueTimers() {
	defer func() {
		if cause := recover(); cause != nil {
			logging.LogPanic(logComponent, cause, debug.Stack())
		}
	}()
	d.callEngine(func(now policy.Instant) {
		d.queueTimerDue = policy.Instant{}
		for t, ok := d.timers.PopDue(now); ok; t, ok = d.timers.PopDue(d.now()) {
			d.handleTimer(t)
		}
	})
}

// handleTimer handles an expired timer. The caller holds the lock.
func (d *Dispatcher) handleTimer(t timer) {
	if d.isObsolete(t) {
		return
	}
	switch t.kind {
	case wakeUpTimer:
		d.engine.HandleTimer(d.now(), t.id)
	case startDeadlineTimer:
		t.attempt.cancelWaiting(policy.ConnectFailed)
	case resultDeadlineTimer:
		t.attempt.cancel(policy.TimedOut)
	}
}
