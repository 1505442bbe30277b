package policy

// failureThreshold is how many failures in a row trip the breaker: five, as in the post, are no coincidence.
const failureThreshold = 5

// mayCallCounter reports whether a call may be made now. If so, the caller must make it.
func (e *Engine) mayCallCounter(now int64) bool {
	if e.breaker.IsClosed() {
		return e.settings.CounterEnabled && (e.callShare >= 1 || e.random.Float64() < e.callShare)
	}
	return e.breaker.TryHalfOpen(now)
}

// recordCounterCall updates the breaker and the share of requests that call. Exception: an overloaded counter
// seldom trips the breaker: each failure takes a fifth off the share, each answer gives back a fiftieth.
func (e *Engine) recordCounterCall(now int64, ok bool) {
	switch {
	case ok && !e.breaker.IsClosed():
		e.callShare = 0.5
	case ok:
		e.callShare = min(e.callShare+0.02, 1)
	case e.breaker.IsClosed():
		e.callShare = max(e.callShare*0.8, 0.05)
	}
	// A second, plus chance against retries all together; the post's ten would outlast most failures.
	retryAt := now + second + int64(e.random.Float64()*float64(second)/4)
	e.breaker.Record(ok, failureThreshold, retryAt)
}
