package policy

import "time"

// Effects carries out the decisions of an Engine. Every call takes effect at once, and none calls back into the Engine.
type Effects interface {
	// Send sends an attempt. The attempts of a request are numbered from 0 in the order of these calls.
	Send(attempt AttemptSpec)
	// Cancel cancels an attempt.
	Cancel(id RequestID, attempt AttemptID)
	// Reject sends the final answer that the request was rejected and may safely be retried, after retryAfter if that is
	// above 0.
	Reject(id RequestID, retryAfter time.Duration)
	// Abort sends the final answer that the request failed and may have run.
	Abort(id RequestID)
	// Admit sends the final answer to a request of a class with CheckOnly: it was within the quota and was counted.
	Admit(id RequestID)
	// WakeAt requests a call of Engine.HandleTimer with the same timer id at the given time or soon after. A timer above
	// 0 replaces all earlier ones above 0; a call for a replaced timer does nothing.
	WakeAt(at Instant, timer TimerID)
	// AddToCounter adds units to a count that all instances share. The counter may drop the count after lifetime. The
	// caller passes the answer to Engine.HandleCounterResult.
	AddToCounter(key CounterKey, units float64, lifetime time.Duration)
	// CheckHealth starts a health check of a backend, whose outcome the caller passes to Engine.HandleHealthCheck.
	CheckHealth(backend BackendID)
	// WatchEndpoints starts a watch of the list of backends: the caller passes the list and its changes to
	// Engine.UpdateEndpoints.
	WatchEndpoints()
	// LogUnknownClassOrPlan logs that a request was aborted because its class or its plan is not in the settings.
	LogUnknownClassOrPlan(class ClassID, plan PlanID)
}
