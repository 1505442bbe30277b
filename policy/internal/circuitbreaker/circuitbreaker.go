// Package circuitbreaker stops calls to a service that fails. It holds no clock and no threshold: the
// caller hands in the time, how many failures trip the breaker, and when the next call may be tried. A
// Breaker is not safe for concurrent use.
package circuitbreaker

import (
	"strconv"

	"fawnplank/internal/monotime"
)

// State says which calls a breaker lets pass.
type State uint8

// The states.
const (
	Closed   State = iota // calls pass
	Open                  // no call passes until the time to retry
	HalfOpen              // a single call passed, and its answer decides
)

func (s State) String() string {
	if names := [...]string{"closed", "open", "half-open"}; int(s) < len(names) {
		return names[s]
	}
	return strconv.Itoa(int(s))
}

// Breaker is a circuit breaker. Its zero value is closed. Its fields are for reading.
type Breaker struct {
	State State
	// ConsecutiveFailures is the number of failures since the last success.
	ConsecutiveFailures int
	// RetryAt is when an open breaker lets a call pass.
	RetryAt monotime.Instant
}

// IsClosed reports whether all calls pass.
func (b *Breaker) IsClosed() bool { return b.State == Closed }

// TryHalfOpen reports whether an open breaker lets a single call pass now. The caller must then make that
// call.
func (b *Breaker) TryHalfOpen(now monotime.Instant) bool {
	if b.State != Open || now.Before(b.RetryAt) {
		return false
	}
	b.State = HalfOpen
	return true
}

// RecordSuccess records a call that succeeded. It closes the breaker.
func (b *Breaker) RecordSuccess() {
	b.ConsecutiveFailures = 0
	b.State = Closed
}

// RecordFailure records a call that failed. From threshold failures in a row on, the breaker is open until
// retryAt; below that it is closed.
func (b *Breaker) RecordFailure(threshold int, retryAt monotime.Instant) {
	b.ConsecutiveFailures++
	b.RetryAt = retryAt
	b.State = Closed
	if b.ConsecutiveFailures >= threshold {
		b.State = Open
	}
}
