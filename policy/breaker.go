package policy

import (
	"time"

	"fawnplank/policy/internal/circuitbreaker"
)

const (
	// breakerFailureThreshold is the number of consecutive failed calls that opens the breaker.
	breakerFailureThreshold = 5
	// breakerOpenTime is how long the breaker stays open before a single call is made, plus a random time of up
	// to breakerMaxJitter, which keeps the instances from calling at the same time.
	breakerOpenTime  = time.Second
	breakerMaxJitter = 250 * time.Millisecond

	// When the breaker has closed again, callShareAfterRecovery of the requests call the counter. While fewer
	// than all requests call it, each answer adds callShareIncrease to the share, and each failure multiplies
	// the share by callShareDecreaseFactor, down to minCallShare.
	callShareAfterRecovery  = 0.5
	callShareIncrease       = 0.02
	callShareDecreaseFactor = 0.8
	minCallShare            = 0.05
)

// counterBreaker limits the calls to the counter: it allows none while it is open, and only a share of them
// while an overloaded counter answers some of the calls, which rarely opens the breaker.
type counterBreaker struct {
	circuitbreaker.Breaker
	callShare float64 // share of the requests that call the counter while the breaker is closed
}

// claimCounterCall reports whether a call may be made now. If so, the caller must make it. The claim turns an
// open breaker half-open: the call then has to be that of a request, since only the results of such calls are
// recorded. While the breaker is closed, a call is allowed at random with the probability callShare.
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

// recordCounterCall updates the breaker and the call share from the result of a request's call. A call whose
// answer arrives after the request's wait has failed, whatever the answer. Calls that only correct a count are
// not recorded. While the breaker is open, the success of an earlier call closes it immediately, and a further
// failure prolongs its open time.
func (e *Engine) recordCounterCall(now Instant, outcome Outcome) {
	// The random number is drawn for a success too: recorded runs depend on the order of draws.
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
