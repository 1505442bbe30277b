package dispatch

import (
	"errors"
	"fmt"
	"io"
	"testing"

	"fawnplank/policy"
)

func TestOutcomeOf(t *testing.T) {
	for want, errs := range map[policy.Outcome][]error{
		policy.Succeeded:      {nil},
		policy.Failed:         {ErrBackendFailed},
		policy.Rejected:       {ErrRejected, errors.Join(ErrRejected)},
		policy.TimedOut:       {ErrTimeout},
		policy.LocalFailure:   {ErrLocalFailure, fmt.Errorf("%w: %w", ErrLocalFailure, io.EOF)},
		policy.ConnectFailed:  {&NetworkError{Dialing, io.EOF}, &NetworkError{Writing, io.EOF}},
		policy.ConnectionLost: {&NetworkError{Written, io.EOF}, &NetworkError{Answering, io.EOF}, io.EOF},
	} {
		for _, err := range errs {
			if got := outcomeOf(err); got != want {
				t.Errorf("outcome of %v: %v, want %v", err, got, want)
			}
		}
	}
}
