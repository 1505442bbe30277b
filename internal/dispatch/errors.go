package dispatch

import (
	"errors"
	"fmt"
)

// Progress is the stage that an attempt, or a call to the counter, had reached when it failed.
type Progress uint8

// The stages of an attempt or a call, in order. A request that has not reached Written cannot have run.
const (
	Dialing   Progress = iota // no connection was established
	Writing                   // some bytes may have been written, but not the last one
	Written                   // the last byte was written
	Answering                 // the last byte was written and a part of the answer was received
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

// NetworkError is a network failure of an attempt, a call to the counter or a health check, with the stage at which
// it occurred. Progress decides whether a request that must not run twice may be sent again.
type NetworkError struct {
	Progress Progress
	Err      error
}

func (e *NetworkError) Error() string { return fmt.Sprintf("%s: %v", e.Progress, e.Err) }

// Unwrap returns the underlying network error.
func (e *NetworkError) Unwrap() error { return e.Err }

// The errors with which an attempt, a call to the counter or a health check ends other than by a network failure.
var (
	// ErrRejected means that the answer proves that the request did not run.
	ErrRejected = errors.New("rejected")
	// ErrBackendFailed means that the answer is an error or is malformed. The request may have run.
	ErrBackendFailed = errors.New("answered with an error or a malformed response")
	// ErrLocalFailure means that no connection could be opened because this instance lacks a resource, such as
	// file descriptors. The request did not run, and the failure does not count against the backend.
	ErrLocalFailure = errors.New("no connection opened: this instance lacks a resource")
	// ErrTimeout means that no answer arrived in time. The request may have run.
	ErrTimeout = errors.New("no answer in time")
)
