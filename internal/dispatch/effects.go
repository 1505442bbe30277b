package dispatch

import (
	"time"

	"fawnplank/internal/logging"
	"fawnplank/internal/monotime"
	"fawnplank/policy"
)

// engineLogComponent names the engine in log entries that the engine requests.
const engineLogComponent = "policy"

// effects implements policy.Effects for a dispatcher. The engine calls its methods while it handles a call from
// the dispatcher, so the dispatcher's lock is held, and no method may block or call the engine.
type effects struct {
	dispatcher *Dispatcher
}

var _ policy.Effects = effects{}

// Send creates an attempt and passes it to the request's owner. If maxPendingAttempts attempts are already
// waiting, the new one ends with the outcome NotSent, which is passed to the engine after its current call has
// returned.
//
// The engine never calls Send after the final step. If it did, the check below would not be enough: with
// maxPendingAttempts attempts and the final step in the channel, sending a further attempt would block with the
// lock held.
func (e effects) Send(spec policy.AttemptSpec) {
	request := e.dispatcher.requests[spec.Request]
	attempt := request.newAttempt(spec)
	if len(request.pendingAttempts) == maxPendingAttempts {
		attempt.cancelWaiting(policy.NotSent)
		return
	}
	e.dispatcher.scheduleDeadlines(attempt)
	request.pendingAttempts <- attempt
}

// newAttempt adds an attempt to the request. The caller holds the dispatcher's lock.
func (r *Request) newAttempt(spec policy.AttemptSpec) *Attempt {
	attempt := &Attempt{
		Backend:        spec.Backend,
		request:        r,
		id:             policy.AttemptID(len(r.attempts)),
		createdAt:      r.dispatcher.now(),
		resultDeadline: r.resultDeadline(spec.ExpiresAt),
		startDeadline:  spec.StartBefore,
	}
	r.attempts = append(r.attempts, attempt)
	return attempt
}

// resultDeadline returns when the dispatcher stops waiting for an attempt's result: at the request's deadline, or
// when the attempt expires if the engine set an earlier time for that. expiresAt is zero if it did not.
func (r *Request) resultDeadline(expiresAt policy.Instant) policy.Instant {
	if expiresAt.IsZero() {
		return r.deadline
	}
	return monotime.Earlier(r.deadline, expiresAt)
}

// Cancel cancels an attempt, unless it has already ended.
func (e effects) Cancel(id policy.RequestID, attemptID policy.AttemptID) {
	request := e.dispatcher.requests[id]
	if request == nil || int(attemptID) >= len(request.attempts) {
		return
	}
	request.attempts[attemptID].cancel(policy.Canceled)
}

// Reject ends a request and states that a retry is safe.
func (e effects) Reject(id policy.RequestID, retryAfter time.Duration) {
	e.dispatcher.requests[id].finish(Step{Action: Reject, RetryAfter: retryAfter})
}

// Abort ends a request that may have run, so that a retry may not be safe.
func (e effects) Abort(id policy.RequestID) {
	e.dispatcher.requests[id].finish(Step{Action: Abort})
}

// Admit ends a request of a check-only class, which was counted and is not sent to a backend.
func (e effects) Admit(id policy.RequestID) {
	e.dispatcher.requests[id].finish(Step{Action: Admit})
}

// WakeAt sets a timer that calls Engine.HandleTimer with the given id. An id other than independentWakeUp makes all
// earlier wake-ups obsolete, except those with the id independentWakeUp.
func (e effects) WakeAt(at policy.Instant, id policy.TimerID) {
	if id != independentWakeUp {
		e.dispatcher.latestWakeUp = id
	}
	e.dispatcher.timers.Push(at, timer{kind: wakeUpTimer, id: id})
}

// AddToCounter calls the counter, which is flushed after the current call into the engine has returned.
func (e effects) AddToCounter(key policy.CounterKey, units float64, lifetime time.Duration) {
	e.dispatcher.counter.Add(key, units, lifetime)
	e.dispatcher.networkWork.flushCounter = true
}

// CheckHealth records a requested health check, which is started after the current call into the engine has returned.
func (e effects) CheckHealth(backend policy.BackendID) {
	work := &e.dispatcher.networkWork
	work.backendsToCheck = append(work.backendsToCheck, backend)
}

// WatchEndpoints requests the list of backends.
func (e effects) WatchEndpoints() { e.dispatcher.endpointWatcher.WatchEndpoints() }

// LogUnknownClassOrPlan logs that a request was aborted because its class or plan is unknown.
func (e effects) LogUnknownClassOrPlan(class policy.ClassID, plan policy.PlanID) {
	logging.For(engineLogComponent).
		WithField("class", class).
		WithField("plan", plan).
		Warn("request aborted: unknown class or plan")
}
