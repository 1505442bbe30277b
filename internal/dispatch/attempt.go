package dispatch

import (
	"sync/atomic"
	"time"

	"fawnplank/policy"
)

// AttemptConn is the connection that an attempt is written to. Abandon gives the attempt up, and does nothing
// if the connection has gone on to another. It reports whether the attempt's result will be reported all the
// same, at once: of one that is just being written, only the writer learns whether it got out whole.
//
// Abandon is called with the dispatcher's lock held and may take the connection's: Begin, which the
// connection calls with its own lock held, therefore never takes the dispatcher's.
type AttemptConn interface {
	Abandon(attempt *Attempt) (reports bool)
}

// attemptState is where an attempt is in its life:
//
//	waiting   -> started    Begin: its first byte is about to be written
//	waiting   -> canceled   not to be written: canceled, too late to start, or its request is finished
//	started   -> abandoned  given up in the middle of writing: its writer still reports
//	any other -> settled    the engine has been given its outcome; final
//
// Begin alone changes the state without the dispatcher's lock. Begin and cancellation therefore leave waiting
// by compare-and-swap, so that an attempt is either written or canceled, and never both. Straight from
// waiting to settled goes only an attempt that never got a connection, which is reported by the caller of
// Begin itself.
type attemptState uint32

const (
	attemptWaiting attemptState = iota // for a connection
	attemptStarted
	attemptCanceled
	attemptAbandoned
	attemptSettled
)

func (s attemptState) String() string {
	switch s {
	case attemptWaiting:
		return "waiting"
	case attemptStarted:
		return "started"
	case attemptCanceled:
		return "canceled"
	case attemptAbandoned:
		return "abandoned"
	case attemptSettled:
		return "settled"
	}
	return "unknown"
}

// atomicAttemptState is an attemptState for concurrent use.
type atomicAttemptState struct{ value atomic.Uint32 }

func (s *atomicAttemptState) load() attemptState       { return attemptState(s.value.Load()) }
func (s *atomicAttemptState) store(state attemptState) { s.value.Store(uint32(state)) }

// leaveWaiting goes from waiting to another state, and reports whether it was waiting.
func (s *atomicAttemptState) leaveWaiting(state attemptState) bool {
	return s.value.CompareAndSwap(uint32(attemptWaiting), uint32(state))
}

// Attempt is one sending of a request to a backend.
type Attempt struct {
	Backend policy.BackendID

	request          *Request
	id               policy.AttemptID
	createdNanos     int64
	deadlineNanos    int64 // its result is waited for until then
	startBeforeNanos int64 // it must have started before
	state            atomicAttemptState
	conn             AttemptConn // set by Begin, and valid once the attempt has started
	// abandonedAs is the outcome of an abandoned attempt that got out whole. The dispatcher's lock guards it.
	abandonedAs policy.Outcome
}

// Begin says that the attempt's first byte is about to be written to conn. Where it returns false the attempt
// has been canceled, or may not start any more, and nothing may be written.
func (a *Attempt) Begin(conn AttemptConn) bool {
	if a.request.dispatcher.now() >= a.startBeforeNanos { // the timer that cancels it may be late
		return false
	}
	a.conn = conn
	return a.state.leaveWaiting(attemptStarted)
}

// Class returns the class of the attempt's request.
func (a *Attempt) Class() policy.ClassID { return a.request.class }

// Remaining returns for how long the attempt's result is still waited for.
func (a *Attempt) Remaining() time.Duration {
	return time.Duration(a.deadlineNanos - a.request.dispatcher.now())
}

// cancel ends the attempt with an outcome. One that has not started ends as ConnectFailed instead; one that
// is just being written ends so only if it gets out whole, which its writer reports. The engine is given the
// outcome when the present call into it has returned. The dispatcher's lock is held.
func (a *Attempt) cancel(outcome policy.Outcome) {
	switch a.state.load() {
	case attemptCanceled, attemptAbandoned, attemptSettled:
		return
	}
	d := a.request.dispatcher
	if a.state.leaveWaiting(attemptCanceled) {
		d.noteEnded(a, policy.ConnectFailed)
		return
	}
	if a.conn.Abandon(a) {
		a.abandonedAs = outcome
		a.state.store(attemptAbandoned)
		return
	}
	d.noteEnded(a, outcome)
}

// Report says how the attempt ended: with a response, which the dispatcher keeps, or an error. actualUnits
// are those that the request really cost, where the backend says so, or else 0.
func (a *Attempt) Report(response []byte, actualUnits float64, err error) {
	a.request.dispatcher.do(func(int64) {
		if a.state.load() == attemptSettled {
			return
		}
		outcome := outcomeOf(err)
		if a.state.load() == attemptAbandoned && outcome == policy.ConnectionLost {
			outcome = a.abandonedAs
		}
		if outcome == policy.Succeeded {
			a.request.finish(Step{Action: Respond, Response: response})
		}
		a.settle(outcome, actualUnits)
	})
}

// settle gives the engine the attempt's outcome; only the first counts. The dispatcher's lock is held.
func (a *Attempt) settle(outcome policy.Outcome, actualUnits float64) {
	if a.state.load() == attemptSettled {
		return
	}
	a.state.store(attemptSettled)
	r := a.request
	now := r.dispatcher.now()
	r.engineRequest.HandleAttemptResult(now, policy.AttemptResult{
		Attempt:     a.id,
		Outcome:     outcome,
		Elapsed:     now - a.createdNanos,
		RequestDone: r.finished,
		TrueUnits:   actualUnits,
	})
	r.release()
}
