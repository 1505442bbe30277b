// Package circuitbreaker stops calls to a failing service. It has no clock and no settings of its own: the
// caller passes the time, the number of failures that opens the breaker, and the time of the next call. A
// Breaker is not safe for concurrent use.
package circuitbreaker

import (
	"strconv"

	"fawnplank/internal/monotime"
)

// State is the state of a breaker.
type State uint8

// The states.
const (
	Closed   State = iota // all calls are allowed
	Open                  // no calls are allowed until the time to retry
	HalfOpen              // a single call was allowed, and its result decides the next state
)

func (s State) String() string {
	if names := [...]string{"closed", "open", "half-open"}; int(s) < len(names) {
		return names[s]
	}
	return strconv.Itoa(int(s))
}

// Breaker is a circuit breaker. Its zero value is closed. Callers may read its fields, but must not change them.
type Breaker struct {
	State State
	// ConsecutiveFailures is the number of failures since the last success.
	ConsecutiveFailures int
	// RetryAt is when an open breaker allows a single call.
	RetryAt monotime.Instant
}

// IsClosed reports whether all calls are allowed.
func (b *Breaker) IsClosed() bool { return b.State == Closed }

// TryHalfOpen reports whether an open breaker allows a single call now, and if so makes the breaker half-open.
// The caller must then make that call.
func (b *Breaker) TryHalfOpen(now monotime.Instant) bool {
	if b.State != Open || now.Before(b.RetryAt) {
		return false
	}
	b.State = HalfOpen
	return true
}

// RecordSuccess records a call that succeeded, and closes the breaker.
func (b *Breaker) RecordSuccess() {
	b.ConsecutiveFailures = 0
	b.State = Closed
}

// RecordFailure records a call that failed. From threshold consecutive failures on the breaker is open until
// retryAt; with fewer it is closed.
func (b *Breaker) RecordFailure(threshold int, retryAt monotime.Instant) {
	b.ConsecutiveFailures++
	b.RetryAt = retryAt
	b.State = Closed
	if b.ConsecutiveFailures >= threshold {
		b.State = Open
	}
}
