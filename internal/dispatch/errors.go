package dispatch

import (
	"errors"
	"fmt"

	"fawnplank/policy"
)

// Progress is how far an attempt or a call had got when it failed.
type Progress uint8

// The stages of an attempt, in order. Before Written the request cannot have run.
const (
	Dialing   Progress = iota // there was no connection yet
	Writing                   // a part may have been written, but not the last byte
	Written                   // the last byte was written
	Answering                 // a part of the answer had also arrived
)

func (p Progress) String() string {
	switch p {
	case Dialing:
		return "dialing"
	case Writing:
		return "writing"
	case Written:
		return "written"
	case Answering:
		return "answering"
	}
	return "unknown"
}

// NetworkError is a network failure, with how far the attempt had got.
type NetworkError struct {
	Progress Progress
	Err      error
}

func (e *NetworkError) Error() string { return fmt.Sprintf("%s: %v", e.Progress, e.Err) }

// Unwrap returns the underlying network error.
func (e *NetworkError) Unwrap() error { return e.Err }

var (
	// ErrRejected is an answer that proves that nothing ran.
	ErrRejected = errors.New("rejected")
	// ErrBackendFailed is an answer with an error, or a meaningless one: the request may have run.
	ErrBackendFailed = errors.New("answered with an error")
	// ErrTimeout is a call or a health check that got no answer.
	ErrTimeout = errors.New("no answer in time")
)

// outcomeOf returns what an error says about whether the attempt has run. An unknown error counts as a
// connection that was lost while it carried the attempt.
func outcomeOf(err error) policy.Outcome {
	if err == nil {
		return policy.Succeeded
	}
	var networkError *NetworkError
	switch {
	case errors.Is(err, ErrRejected):
		return policy.Rejected
	case errors.Is(err, ErrBackendFailed):
		return policy.Failed
	case errors.Is(err, ErrTimeout):
		return policy.TimedOut
	case errors.As(err, &networkError) && networkError.Progress < Written:
		return policy.ConnectFailed
	}
	return policy.ConnectionLost
}
