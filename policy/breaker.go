package policy

// failureThreshold trips the breaker. It is the post's: five failures in a row are no chance.
const failureThreshold = 5

// mayCallCounter reports whether a call may be made now, and counts on it being made.
func (e *Engine) mayCallCounter(now int64) bool {
	if e.breaker.IsClosed() {
		return e.settings.CounterEnabled && (e.callShare >= 1 || e.random.Float64() < e.callShare)
	}
	return e.breaker.TryHalfOpen(now)
}

// recordCounterCall moves the breaker, and the share of the requests that call. Exception: a crowded counter
// seldom trips the breaker: each failure takes a fifth off the share, each answer gives a fiftieth back.
func (e *Engine) recordCounterCall(now int64, ok bool) {
	switch {
	case ok && !e.breaker.IsClosed():
		e.callShare = 0.5
	case ok:
		e.callShare = min(e.callShare+0.02, 1)
	case e.breaker.IsClosed():
		e.callShare = max(e.callShare*0.8, 0.05)
	}
	// A second, and chance so that instances do not retry together: the post's ten would outlast most failures.
	retryAt := now + second + int64(e.random.Float64()*float64(second)/4)
	e.breaker.Record(ok, failureThreshold, retryAt)
}
