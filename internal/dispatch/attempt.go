package dispatch

import (
	"sync/atomic"
	"time"

	"fawnplank/policy"
)

// AttemptConn is the connection that an attempt is written to. Abandon gives up the attempt; it does nothing
// if the connection already carries another attempt. Abandon returns true if the writer will still report the
// attempt's result, at once: while an attempt is being written, only its writer learns whether it was written
// completely.
//
// Abandon is called with the dispatcher's lock held and may take the lock of the connection's pool. The
// connection calls Start with that lock held, so Start never takes the dispatcher's lock.
type AttemptConn interface {
	Abandon(attempt *Attempt) (reports bool)
}

// attemptState is the stage of an attempt's life cycle:
//
//	waiting   -> started    Start: its first byte is about to be written
//	waiting   -> canceled   not to be written: canceled, too late to start, or its request is finished
//	started   -> abandoned  given up in the middle of writing: its writer still reports
//	any other -> settled    the engine has been given its outcome; final
//
// Only Start changes the state without the dispatcher's lock. Start and cancellation therefore leave the
// waiting state by compare-and-swap, so that an attempt is either written or canceled, but never both. Only
// an attempt that never got a connection goes directly from waiting to settled; the caller of Start reports
// it.
type attemptState uint32

const (
	// attemptWaiting: no byte is written yet, and Start may still start the attempt.
	attemptWaiting attemptState = iota
	// attemptStarted: the backend may run the request from now on.
	attemptStarted
	// attemptCanceled: Start returns false. The engine gets the outcome when its current call has returned.
	attemptCanceled
	// attemptAbandoned: the result is not needed any more, but only the writer knows whether the request was
	// written completely, and the engine waits for that.
	attemptAbandoned
	// attemptSettled: the engine has the outcome. Later reports are ignored.
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

// leaveWaiting changes the state from waiting to the given state. It reports whether the state was waiting.
func (s *atomicAttemptState) leaveWaiting(state attemptState) bool {
	return s.value.CompareAndSwap(uint32(attemptWaiting), uint32(state))
}

// Attempt is one transmission of a request to a backend. Its methods are safe for concurrent use, but Start is
// called once.
type Attempt struct {
	// Backend is where the attempt goes.
	Backend policy.BackendID

	request   *Request
	id        policy.AttemptID
	createdAt policy.Instant
	// resultDueAt is until when the dispatcher waits for the result.
	resultDueAt policy.Instant
	// startBefore is when it becomes too late to start; see mayStart.
	startBefore policy.Instant
	state       atomicAttemptState
	conn        AttemptConn // set by Start, and valid once the attempt has started
	// abandonedAs is the outcome of an abandoned attempt that was written completely. It is guarded by the
	// dispatcher's lock.
	abandonedAs policy.Outcome
}

// Start records that the attempt's first byte is about to be written to conn. If it returns false, the
// attempt has been canceled or is too late to start: the caller must not write anything, and reports a
// NetworkError whose progress is below Written. conn must be valid from the call on.
func (a *Attempt) Start(conn AttemptConn) bool {
	if !a.mayStart() {
		return false
	}
	a.conn = conn
	return a.state.leaveWaiting(attemptStarted)
}

// mayStart reports whether it is early enough to start. The engine sets the limit, so that an attempt that
// waited for a connection does not reach a backend that has drained, nor repeat a request whose key the
// backends have forgotten. A timer cancels the attempt at the same time, but may be late.
func (a *Attempt) mayStart() bool { return a.request.dispatcher.now().Before(a.startBefore) }

// Class returns the class of the attempt's request.
func (a *Attempt) Class() policy.ClassID { return a.request.class }

// Remaining returns how much longer the dispatcher waits for the attempt's result. It is below 0 once that
// time is over.
func (a *Attempt) Remaining() time.Duration {
	return a.resultDueAt.Sub(a.request.dispatcher.now())
}

// cancel ends the attempt: as ConnectFailed if it has not started, and otherwise with the outcome ifStarted. An
// attempt that is being written ends so only if it is written completely, which its writer reports. The engine
// gets the outcome after the current call into it has returned. The caller holds the dispatcher's lock.
func (a *Attempt) cancel(ifStarted policy.Outcome) {
	if a.cancelWaiting(policy.ConnectFailed) || a.state.load() != attemptStarted {
		return
	}
	if a.conn.Abandon(a) {
		a.abandonedAs = ifStarted
		a.state.store(attemptAbandoned)
		return
	}
	a.request.dispatcher.noteEnded(a, ifStarted)
}

// cancelWaiting ends the attempt with the given outcome if it has not started, and reports whether it did. The
// engine gets the outcome after the current call into it has returned. The caller holds the dispatcher's lock.
func (a *Attempt) cancelWaiting(outcome policy.Outcome) bool {
	if !a.state.leaveWaiting(attemptCanceled) {
		return false
	}
	a.request.dispatcher.noteEnded(a, outcome)
	return true
}

// Report tells the dispatcher how the attempt ended: with a response, which the dispatcher keeps, or with an
// error, which is ErrRejected, ErrBackendFailed, ErrTimeout or a NetworkError. actualUnits is what the request
// actually cost, in units, if the backend says so, otherwise 0. Report has no effect once the attempt has an
// outcome, from a report or a cancellation. response must not be changed afterwards.
func (a *Attempt) Report(response []byte, actualUnits float64, err error) {
	a.request.dispatcher.do(func(policy.Instant) {
		if a.state.load() == attemptSettled {
			return
		}
		outcome := a.reportedOutcome(err)
		if outcome == policy.Succeeded {
			a.request.finish(Step{Action: Respond, Response: response})
		}
		a.settle(outcome, actualUnits)
	})
}

// settle passes the attempt's outcome to the engine. Only the first call has an effect. The caller holds the
// dispatcher's lock.
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
		Elapsed:     now.Sub(a.createdAt),
		RequestDone: r.finished,
		ActualUnits: actualUnits,
	})
	r.forgetIfDone()
}
