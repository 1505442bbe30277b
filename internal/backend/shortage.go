package backend

import (
	"errors"
	"fmt"
	"slices"
	"syscall"

	"fawnplank/internal/dispatch"
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
