package dispatch

import (
	"errors"
	"fmt"

	"fawnplank/policy"
)

// Progress is how far an attempt or a call had come when it failed.
type Progress uint8

// The progress of an attempt, in its order. Before Written nothing can have run.
const (
	Dialing   Progress = iota // no connection
	Writing                   // perhaps a part of it, but not the last byte
	Written                   // its last byte
	Answering                 // and a part of the answer had come
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

// NetworkError is a failure of the network, with how far the attempt had come.
type NetworkError struct {
	Progress Progress
	Err      error
}

func (e *NetworkError) Error() string { return fmt.Sprintf("%s: %v", e.Progress, e.Err) }

// Unwrap returns the network's error.
func (e *NetworkError) Unwrap() error { return e.Err }

var (
	// ErrRejected is an answer that proves that nothing ran.
	ErrRejected = errors.New("rejected")
	// ErrBackendFailed is an answer with an error, or one without a meaning: it may have run.
	ErrBackendFailed = errors.New("answered with an error")
	// ErrTimeout is a call or a health check that nothing came back for.
	ErrTimeout = errors.New("no answer in time")
)

// outcomeOf is what an error says of whether the attempt has run. An error of which nothing is known counts
// as a connection that was lost with the attempt on it.
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
