package dispatch

import (
	"errors"
	"fmt"

	"fawnplank/policy"
)

// This file holds the errors of the network as values. It must only translate them.

// Progress is how far a shot or a call had come.
type Progress uint8

const (
	Dialing   Progress = iota
	Writing            // some of it, perhaps
	Written            // its last byte
	Answering          // some of the answer had come
)

func (s Progress) String() string {
	return [...]string{"dialing", "writing", "written", "answering"}[s]
}

// NetworkError is a failure of the network, with how far the shot had come.
type NetworkError struct {
	Progress Progress
	Err      error
}

func (e *NetworkError) Error() string { return fmt.Sprintf("%s: %v", e.Progress, e.Err) }
func (e *NetworkError) Unwrap() error { return e.Err }

var (
	// ErrRejected is the answer that proves that nothing ran.
	ErrRejected = errors.New("turned away")
	// ErrBackendFailed is an answer with an error, or with anything that has no meaning.
	ErrBackendFailed = errors.New("answered with an error")
	// ErrTimeout is a call or a probe that nothing came back for.
	ErrTimeout = errors.New("no answer in time")
)

// outcome is what an error says of whether the shot has run.
func outcome(err error) policy.Outcome {
	if err == nil {
		return policy.Succeeded
	}
	var fault *NetworkError
	switch {
	case errors.Is(err, ErrRejected):
		return policy.Rejected
	case errors.Is(err, ErrBackendFailed):
		return policy.Failed
	case errors.Is(err, ErrTimeout):
		return policy.TimedOut
	case errors.As(err, &fault) && fault.Progress < Written:
		return policy.ConnectFailed
	}
	return policy.ConnectionLost
}
