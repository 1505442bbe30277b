// Package circuitbreaker stops calls to a service that fails. It holds no clock and no tuned value: the
// caller hands in the time, how many failures trip the breaker, and when the next call may be tried. A
// Breaker is not safe for concurrent use.
package circuitbreaker

import "strconv"

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

// Breaker is a circuit breaker. Its zero value is closed.
type Breaker struct {
	State               State
	ConsecutiveFailures int
	RetryAt             int64 // in nanoseconds; matters while the breaker is open
}

// IsClosed reports whether calls pass.
func (b *Breaker) IsClosed() bool { return b.State == Closed }

// TryHalfOpen reports whether an open breaker lets a single call pass now. The caller must then make that
// call.
func (b *Breaker) TryHalfOpen(now int64) bool {
	if b.State != Open || now < b.RetryAt {
		return false
	}
	b.State = HalfOpen
	return true
}

// Record records how a call ended. A success closes the breaker; threshold failures in a row open it, or keep
// it open, until retryAt.
func (b *Breaker) Record(succeeded bool, threshold int, retryAt int64) {
	b.ConsecutiveFailures++
	if succeeded {
		b.ConsecutiveFailures = 0
	}
	b.RetryAt = retryAt
	b.State = Closed
	if b.ConsecutiveFailures >= threshold {
		b.State = Open
	}
}
