package policy

import (
	"time"

	"fawnplank/policy/internal/circuitbreaker"
)

const (
	// breakerFailureThreshold is how many failed calls in a row open the breaker.
	breakerFailureThreshold = 5
	// breakerOpenTime is how long the breaker stays open before one call is tried, plus up to breakerMaxJitter,
	// so that the instances do not all try at once.
	breakerOpenTime  = time.Second
	breakerMaxJitter = 250 * time.Millisecond

	// After the breaker has closed again, callShareAfterRecovery of the requests call. Then, and while the counter
	// is overloaded, each answer adds callShareIncrease to the share, and each failure multiplies it by
	// callShareDecreaseFactor, down to minCallShare.
	callShareAfterRecovery  = 0.5
	callShareIncrease       = 0.02
	callShareDecreaseFactor = 0.8
	minCallShare            = 0.05
)

// counterBreaker decides how many requests call the counter: none while it is open, and fewer while an
// overloaded counter answers only some calls, which seldom opens the breaker.
type counterBreaker struct {
	circuitbreaker.Breaker
	callShare float64 // of the requests that call while the breaker is closed
}

// claimCounterCall reports whether a call may be made now. If so, the caller must make it for a request, whose
// call is recorded: an open breaker becomes half-open by it, and the share of requests that call is drawn at random.
func (e *Engine) claimCounterCall(now Instant) bool {
	if !e.breaker.IsClosed() {
		return e.breaker.TryHalfOpen(now)
	}
	if !e.settings.CounterEnabled {
		return false
	}
	share := e.breaker.callShare
	return share >= 1 || e.random.Float64() < share
}

// recordCounterCall updates the breaker and the share of requests that call by how a call ended for its request:
// a call whose answer took longer than the request waits has failed, whatever comes later. Calls that only
// correct a count are not recorded. While the breaker is open, a success of an earlier call closes it at once,
// and a further failure keeps it open for longer.
func (e *Engine) recordCounterCall(now Instant, outcome Outcome) {
	// Drawn for a success too: recorded runs depend on the order of draws.
	jitter := time.Duration(e.random.Float64() * float64(breakerMaxJitter))
	if outcome == Succeeded {
		e.breaker.recordAnswer()
		return
	}
	e.breaker.recordFailure(now.Add(breakerOpenTime + jitter))
}

func (b *counterBreaker) recordAnswer() {
	if b.IsClosed() {
		b.callShare = min(b.callShare+callShareIncrease, 1)
	} else {
		b.callShare = callShareAfterRecovery
	}
	b.RecordSuccess()
}

func (b *counterBreaker) recordFailure(retryAt Instant) {
	if b.IsClosed() {
		b.callShare = max(b.callShare*callShareDecreaseFactor, minCallShare)
	}
	b.RecordFailure(breakerFailureThreshold, retryAt)
}
