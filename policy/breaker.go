package policy

// failureThreshold trips the breaker. It is the post's: five failures in a row are no chance.
const failureThreshold = 5

type breakerState uint8

const (
	breakerClosed   breakerState = iota // calls pass
	breakerOpen                         // none passes until retryAt
	breakerHalfOpen                     // a single call passed, and its answer decides
)

// breaker stops the calls to a counter that fails.
type breaker struct {
	state               breakerState
	consecutiveFailures int
	retryAt             int64
	callShare           float64 // of the requests that make a call, while a crowded counter answers only some
}

// mayCallCounter reports whether a call may be made now, and counts on it being made.
func (e *Engine) mayCallCounter(now int64) bool {
	b := &e.breaker
	switch {
	case b.state == breakerClosed:
		return e.settings.CounterEnabled && (b.callShare >= 1 || e.random.Float64() < b.callShare)
	case b.state == breakerOpen && now >= b.retryAt:
		b.state = breakerHalfOpen
		return true
	default:
		return false
	}
}

// recordCounterCall moves the breaker, and the share of the requests that call. Exception: a crowded counter
// seldom trips the breaker: each failure takes a fifth off the share, each answer gives a fiftieth back.
func (e *Engine) recordCounterCall(now int64, ok bool) {
	b := &e.breaker
	switch {
	case ok && b.state != breakerClosed:
		b.callShare = 0.5
	case ok:
		b.callShare = min(b.callShare+0.02, 1)
	case b.state == breakerClosed:
		b.callShare = max(b.callShare*0.8, 0.05)
	}
	b.consecutiveFailures++
	if ok {
		b.consecutiveFailures = 0
	}
	b.state = breakerClosed
	if b.consecutiveFailures >= failureThreshold {
		b.state = breakerOpen
	}
	// A second, and chance so that instances do not retry together: the post's ten would outlast most failures.
	b.retryAt = now + second + int64(e.random.Float64()*float64(second)/4)
}
