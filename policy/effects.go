package policy

// Effects is what the decisions can do. Every call takes effect at once; none calls back into the Engine.
type Effects interface {
	// Send sends an attempt. It ends as TimedOut at the time expireAt (0: when the client gives up). One that
	// waits for its connection is not begun at beginBefore or later.
	Send(id RequestID, backend BackendID, expireAt, beginBefore int64)
	// Cancel cancels an attempt.
	Cancel(id RequestID, attempt AttemptID)
	// Reject is the final answer that trying again is harmless, after retryAfter where that is above 0.
	Reject(id RequestID, retryAfter int64)
	// Abort is the final answer that the request failed and may have run.
	Abort(id RequestID)
	// Admit is the final answer to a request of a class that only counts: the quota held it, and it was counted.
	Admit(id RequestID)
	// WakeAt asks for a call of Engine.HandleTimer with the same timer at the time at or soon after. A timer
	// above 0 replaces all of those before it; a call for one that was replaced does nothing.
	WakeAt(at int64, timer uint64)
	// AddToCounter adds units to a count that all instances share; Engine.HandleCounterResult brings the answer.
	AddToCounter(key CounterKey, units float64, lifetime int64)
	// CheckHealth checks a backend; Engine.HandleHealthCheck brings the answer.
	CheckHealth(backend BackendID)
	// WatchEndpoints asks for the list of backends and its changes, where they do not come by themselves.
	WatchEndpoints()
	// Log writes a line to the log.
	Log(text string)
}
