package dispatch

import (
	"time"

	"fawnplank/internal/logging"
	"fawnplank/internal/monotime"
	"fawnplank/policy"
)

// engineLogComponent names the engine, which asks for the entry, in the log.
const engineLogComponent = "policy"

// effects is the dispatcher as the engine sees it. The engine calls these methods while it handles a call
// from the dispatcher, so the dispatcher's lock is held, and no method may block or call the engine back.
type effects struct {
	dispatcher *Dispatcher
}

var _ policy.Effects = effects{}

// Send creates an attempt and passes it to the request's owner. If maxPendingAttempts attempts wait already,
// the new one is not sent, which is reported to the engine once its call has returned. The engine never sends
// after the final step: with maxPendingAttempts attempts and the final step in the channel, the check below would
// let a further attempt block with the lock held.
func (e effects) Send(spec policy.AttemptSpec) {
	request := e.dispatcher.requests[spec.Request]
	attempt := request.newAttempt(spec)
	if len(request.steps) == maxPendingAttempts {
		attempt.cancelWaiting(policy.NotSent)
		return
	}
	e.dispatcher.pushDeadlines(attempt)
	request.steps <- attempt
}

// newAttempt adds an attempt to the request. The caller holds the dispatcher's lock.
func (r *Request) newAttempt(spec policy.AttemptSpec) *Attempt {
	attempt := &Attempt{
		Backend:     spec.Backend,
		request:     r,
		id:          policy.AttemptID(len(r.attempts)),
		createdAt:   r.dispatcher.now(),
		resultDueAt: r.resultDueAt(spec),
		startBefore: spec.StartBefore,
	}
	r.attempts = append(r.attempts, attempt)
	return attempt
}

// resultDueAt returns until when the dispatcher waits for an attempt's result: until the client gives up, or
// until the engine does if that is earlier.
func (r *Request) resultDueAt(spec policy.AttemptSpec) policy.Instant {
	if spec.ExpiresAt.IsZero() {
		return r.deadline
	}
	return monotime.Earlier(r.deadline, spec.ExpiresAt)
}

// Cancel cancels an attempt if it has not ended yet.
func (e effects) Cancel(id policy.RequestID, attemptID policy.AttemptID) {
	request := e.dispatcher.requests[id]
	if request == nil || int(attemptID) >= len(request.attempts) {
		return
	}
	request.attempts[attemptID].cancel(policy.Canceled)
}

// Reject ends a request with the promise that a retry does no harm.
func (e effects) Reject(id policy.RequestID, retryAfter time.Duration) {
	e.dispatcher.requests[id].finish(Step{Action: Reject, RetryAfter: retryAfter})
}

// Abort ends a request without such a promise: it may have run.
func (e effects) Abort(id policy.RequestID) {
	e.dispatcher.requests[id].finish(Step{Action: Abort})
}

// Admit ends a request of a class that only counts.
func (e effects) Admit(id policy.RequestID) {
	e.dispatcher.requests[id].finish(Step{Action: Admit})
}

// WakeAt sets a timer for a call of Engine.HandleTimer with the same id. An id other than independentWake makes
// earlier wake-ups obsolete, except those with that id.
func (e effects) WakeAt(at policy.Instant, id policy.TimerID) {
	if id != independentWake {
		e.dispatcher.latestWake = id
	}
	e.dispatcher.timers.Push(at, timer{kind: wakeUp, id: id})
}

// AddToCounter passes a call to the counter, which is flushed when the engine's call has returned.
func (e effects) AddToCounter(key policy.CounterKey, units float64, lifetime time.Duration) {
	e.dispatcher.counter.Add(key, units, lifetime)
	e.dispatcher.networkWork.flushCounter = true
}

// CheckHealth records a requested health check, which is started when the engine's call has returned.
func (e effects) CheckHealth(backend policy.BackendID) {
	work := &e.dispatcher.networkWork
	work.backendsToCheck = append(work.backendsToCheck, backend)
}

// WatchEndpoints asks for the list of backends.
func (e effects) WatchEndpoints() { e.dispatcher.endpointWatcher.WatchEndpoints() }

// LogUnknownClassOrPlan writes a warning to the log.
func (e effects) LogUnknownClassOrPlan(class policy.ClassID, plan policy.PlanID) {
	logging.For(engineLogComponent).
		WithField("class", class).
		WithField("plan", plan).
		Warn("request aborted: unknown class or plan")
}
