package policy

import "time"

// Effects carries out the decisions. Every call takes effect at once; none calls back into the Engine.
type Effects interface {
	// Send sends an attempt. The attempts of a request are numbered from 0 in the order of these calls.
	Send(attempt AttemptSpec)
	// Cancel cancels an attempt.
	Cancel(id RequestID, attempt AttemptID)
	// Reject gives the final answer that a retry is harmless, after retryAfter if that is above 0.
	Reject(id RequestID, retryAfter time.Duration)
	// Abort gives the final answer that the request failed and may have run.
	Abort(id RequestID)
	// Admit gives the final answer to a request of a class that only counts: the quota held it, and it was
	// counted.
	Admit(id RequestID)
	// WakeAt asks for a call of Engine.HandleTimer with the same timer at the time at or soon after. A timer
	// above 0 replaces all of those before it; a call for one that was replaced does nothing.
	WakeAt(at Instant, timer TimerID)
	// AddToCounter adds units to a count that all instances share, and which the counter may drop after
	// lifetime. Engine.HandleCounterResult brings the answer.
	AddToCounter(key CounterKey, units float64, lifetime time.Duration)
	// CheckHealth checks a backend; Engine.HandleHealthCheck brings the answer.
	CheckHealth(backend BackendID)
	// WatchEndpoints asks for the list of backends and its changes, where they do not come by themselves.
	WatchEndpoints()
	// LogUnknownClassOrPlan writes to the log that a request was aborted since the settings have no such class or plan.
	LogUnknownClassOrPlan(class ClassID, plan PlanID)
}
