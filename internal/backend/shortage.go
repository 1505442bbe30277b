package backend

import (
	"errors"
	"fmt"
	"slices"
	"syscall"

	"fawnplank/internal/dispatch"
	"fawnplank/internal/logging"
)

// localShortageErrors are the errors of a dial that show that this instance lacks a resource or a route. They are no
// evidence against the backend.
var localShortageErrors = []error{
	errConnectionLimit,
	syscall.EMFILE,
	syscall.ENFILE,
	syscall.ENOBUFS,
	syscall.ENOMEM,
	syscall.EADDRNOTAVAIL,
	syscall.ENETUNREACH,
}

// connectError returns the error to report for a connection that could not be opened: dispatch.ErrLocalFailure for a
// local shortage, and otherwise a NetworkError, which means that the backend cannot be reached.
func connectError(err error) error {
	if isLocalShortage(err) {
		return fmt.Errorf("%w: %w", dispatch.ErrLocalFailure, err)
	}
	return &dispatch.NetworkError{Progress: dispatch.Dialing, Err: err}
}

// isLocalShortage reports whether an error shows a shortage of this instance. For a backend with several addresses,
// whose errors are joined, the dials to all addresses must have failed this way.
func isLocalShortage(err error) bool {
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		return !slices.ContainsFunc(joined.Unwrap(), func(err error) bool { return !isLocalShortage(err) })
	}
	return slices.ContainsFunc(localShortageErrors, func(local error) bool { return errors.Is(err, local) })
}

// incompleteResponseError returns the error to report for a response whose reading must stop after the received
// bytes. A response that is too large is a failure of the backend. If no memory became available in time, the cause
// is a shortage of this instance. The backend may have run the request, so the attempt ends with
// dispatch.ErrTimeout, which is not held against the backend.
func incompleteResponseError(received []byte) error {
	if len(received) >= maxResponseBytes {
		return dispatch.ErrBackendFailed
	}
	logging.For(logComponent).WithField("received", len(received)).Warn("no memory for a response")
	return dispatch.ErrTimeout
}
