package dispatch

import (
	"errors"

	"fawnplank/policy"
)

// outcomeOf converts the result of an attempt, a call to the counter or a health check to an outcome. A connection
// that failed before the last byte was written proves that the request did not run. An unknown error proves
// nothing, so it counts as a connection that was lost after the last byte was written. A NetworkError never wraps
// ErrRejected, ErrBackendFailed, ErrLocalFailure or ErrTimeout, so the order of the cases does not matter.
func outcomeOf(err error) policy.Outcome {
	if err == nil {
		return policy.Succeeded
	}
	// This variable is declared only here, since it escapes to the heap: a success then allocates nothing.
	var networkError *NetworkError
	switch {
	case errors.Is(err, ErrRejected):
		return policy.Rejected
	case errors.Is(err, ErrBackendFailed):
		return policy.Failed
	case errors.Is(err, ErrLocalFailure):
		return policy.LocalFailure
	case errors.Is(err, ErrTimeout):
		return policy.TimedOut
	case errors.As(err, &networkError) && networkError.Progress < Written:
		return policy.ConnectFailed
	}
	return policy.ConnectionLost
}

// reportedOutcome returns the outcome of an attempt whose result is reported. Abandoning an attempt closes its
// connection. If the request was written completely before that, the outcome is outcomeIfWritten and not
// ConnectionLost, and otherwise LocalFailure and not ConnectFailed: both would count against the backend. The caller
// holds the dispatcher's lock.
func (a *Attempt) reportedOutcome(err error) policy.Outcome {
	outcome := outcomeOf(err)
	if a.state.load() != attemptAbandoned {
		return outcome
	}
	switch outcome {
	case policy.ConnectionLost:
		return a.outcomeIfWritten
	case policy.ConnectFailed:
		return policy.LocalFailure
	default:
		return outcome
	}
}
