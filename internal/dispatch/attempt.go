package dispatch

import (
	"sync/atomic"
	"time"

	"fawnplank/policy"
)

// AttemptConn is the connection that an attempt is written to. Abandon gives up the attempt; it does nothing
// if the connection already carries another attempt. Abandon returns true if the attempt is being written. Only the
// goroutine that writes it can determine whether the request was written completely, and it then reports the result
// without delay.
//
// Abandon is called with the dispatcher's lock held and may take the lock of the connection's pool. The
// connection calls Attempt.Start with the pool's lock held, so Attempt.Start never takes the dispatcher's lock.
type AttemptConn interface {
	Abandon(attempt *Attempt) (willReport bool)
}

// attemptState is the state of an attempt. The transitions are:
//
//	waiting   -> started    Start: the first byte is about to be written
//	waiting   -> canceled   must not be written: canceled, too late to start, or the request is finished
//	started   -> abandoned  given up while being written: the writer still reports the result
//	started   -> streaming  ReportStarted: the response is passed on to the client while it arrives
//	any other -> settled    the outcome was passed to the engine; final
//
// Only Start changes the state without holding the dispatcher's lock. Start and cancellation therefore leave the
// waiting state by compare-and-swap, so that an attempt is either written or canceled, but never both. An
// attempt goes directly from waiting to settled only if it never got a connection; the goroutine that would
// have called Start reports that result.
type attemptState uint32

const (
	// attemptWaiting: no byte is written yet, and Start may still start the attempt.
	attemptWaiting attemptState = iota
	// attemptStarted: the backend may run the request from now on.
	attemptStarted
	// attemptCanceled: Start returns false. The outcome is passed to the engine after its current call has
	// returned.
	attemptCanceled
	// attemptAbandoned: the response is no longer needed. The engine waits for the writer's report on whether
	// the request was written completely.
	attemptAbandoned
	// attemptStreaming: the request is answered with the response, which is still arriving.
	attemptStreaming
	// attemptSettled: the outcome was passed to the engine. Later reports are ignored.
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
	case attemptStreaming:
		return "streaming"
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

// Attempt is one transmission of a request to a backend. Its methods are safe for concurrent use; Start is
// called at most once.
type Attempt struct {
	// Backend is the backend that the attempt is sent to.
	Backend policy.BackendID

	request   *Request
	id        policy.AttemptID
	createdAt policy.Instant
	// resultDeadline is when the dispatcher stops waiting for the result. Progress of the command on its way to the
	// backend moves it, with the dispatcher's lock held and on the goroutine of the writer.
	resultDeadline policy.Instant
	// deadlineMoves counts the changes of resultDeadline. The dispatcher's lock guards it.
	deadlineMoves int
	// startDeadline is the time from which the attempt must not be started; see mayStart.
	startDeadline policy.Instant
	state         atomicAttemptState
	conn          AttemptConn // set by Start; valid once the attempt is in the started state
	// responseStartedAt is when a streamed response began; zero if the response is not streamed. The dispatcher's lock
	// guards it.
	responseStartedAt policy.Instant
	// delivering is set while the end of the command is held back; see BeginDelivery. The dispatcher's lock guards it.
	delivering bool
	// deliveryBegunAt is when BeginDelivery was called, and progressAt when the command last made progress after
	// that. The dispatcher's lock guards them.
	deliveryBegunAt policy.Instant
	progressAt      policy.Instant
	// outcomeIfWritten is the outcome of an abandoned attempt if it was written completely. The dispatcher's
	// lock guards it.
	outcomeIfWritten policy.Outcome
}

// Start records that the attempt's first byte is about to be written to conn. If it returns false, the
// attempt was canceled or its start deadline has passed: the caller must not write anything, and any result that
// it reports must be a NetworkError whose progress is below Written. conn must be ready for calls of Abandon
// before Start is called.
func (a *Attempt) Start(conn AttemptConn) bool {
	if !a.mayStart() {
		return false
	}
	a.conn = conn
	return a.state.leaveWaiting(attemptStarted)
}

// mayStart reports whether the start deadline has not passed. The engine sets that deadline, so that an attempt
// that waited for a connection neither reaches a backend that has drained nor repeats a request after the
// backends' dedup window for its key. A timer also cancels the attempt at the deadline, but may fire late.
func (a *Attempt) mayStart() bool { return a.request.dispatcher.now().Before(a.startDeadline) }

// Class returns the class of the attempt's request.
func (a *Attempt) Class() policy.ClassID { return a.request.class }

// Remaining returns how much longer the dispatcher waits for the attempt's result. It is negative after the
// result deadline.
func (a *Attempt) Remaining() time.Duration {
	return a.resultDeadline.Sub(a.request.dispatcher.now())
}

// RemainingForRequest returns how much longer the dispatcher waits for a result of the request, which bounds the time
// for an attempt whose command is long on its way. It is negative after the request's deadline.
func (a *Attempt) RemainingForRequest() time.Duration {
	return a.request.deadline.Sub(a.request.dispatcher.now())
}

// cancel ends the attempt with the outcome ConnectFailed if it has not started, and with outcomeIfStarted
// otherwise. For an attempt that is being written, outcomeIfStarted applies only if its writer reports that the
// request was written completely. The outcome is passed to the engine after the current call into the engine has
// returned. The caller holds the dispatcher's lock.
func (a *Attempt) cancel(outcomeIfStarted policy.Outcome) {
	if a.cancelWaiting(policy.ConnectFailed) || a.state.load() != attemptStarted {
		return
	}
	if a.conn.Abandon(a) {
		a.outcomeIfWritten = outcomeIfStarted
		a.state.store(attemptAbandoned)
		return
	}
	a.request.dispatcher.recordEndedAttempt(a, outcomeIfStarted)
}

// cancelWaiting ends the attempt with the given outcome if the attempt is waiting, and reports whether it was. The
// outcome is passed to the engine after the current call into the engine has returned. The caller holds the
// dispatcher's lock.
func (a *Attempt) cancelWaiting(outcome policy.Outcome) bool {
	if !a.state.leaveWaiting(attemptCanceled) {
		return false
	}
	a.request.dispatcher.recordEndedAttempt(a, outcome)
	return true
}

// Report passes the result of the attempt to the dispatcher: a response, or an error, which is ErrRejected,
// ErrBackendFailed, ErrLocalFailure, ErrTimeout or a NetworkError. actualUnits is the actual cost of the request
// in units if the backend states it, and 0 otherwise. Report has no effect once the attempt has an outcome, from a
// report or a cancellation. The dispatcher keeps response, so the caller must not modify it afterwards.
func (a *Attempt) Report(response []byte, actualUnits float64, err error) {
	a.report(Step{Action: Respond, Response: response}, actualUnits, err)
}

// report is Report with the final step of the request, should the attempt have succeeded.
func (a *Attempt) report(success Step, actualUnits float64, err error) {
	a.request.dispatcher.callEngine(func(policy.Instant) {
		if a.state.load() == attemptSettled {
			return
		}
		outcome := a.reportedOutcome(err)
		if outcome == policy.Succeeded {
			a.request.finish(success)
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
		Elapsed:     a.elapsed(now),
		RequestDone: r.finished,
		ActualUnits: actualUnits,
	})
	r.removeIfDone()
}
