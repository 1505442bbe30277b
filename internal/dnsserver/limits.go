package dnsserver

import (
	"sync"
	"sync/atomic"
	"time"
)

// messagesPerUpdate is how many messages are parsed for each update that is allowed. Checking a signature
// costs some ten microseconds, and a flood of messages must not take this time away from the API requests
// that the gateway forwards.
const messagesPerUpdate = 20

// messageLimiter is a token bucket that holds one second's worth of messages. It is safe for concurrent use.
type messageLimiter struct {
	mu            sync.Mutex
	ratePerSecond float64
	tokens        float64
	lastRefill    time.Time
}

func newMessageLimiter(updatesPerSecond float64) *messageLimiter {
	return &messageLimiter{ratePerSecond: messagesPerUpdate * max(updatesPerSecond, 1)}
}

// allow takes a token, or reports that there is none.
func (l *messageLimiter) allow() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refill(time.Now())
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

// refill adds the tokens for the time since the last refill. The first one fills the bucket.
func (l *messageLimiter) refill(now time.Time) {
	elapsed := now.Sub(l.lastRefill)
	l.tokens = min(l.tokens+elapsed.Seconds()*l.ratePerSecond, l.ratePerSecond)
	l.lastRefill = now
}

// logLimiter prevents a flood of refused messages from becoming a flood of log lines. It allows one line per
// second, and reports how many lines were skipped before it. It is safe for concurrent use.
type logLimiter struct {
	lastLineSecond atomic.Int64 // unix seconds of the last line
	skipped        atomic.Uint64
}

// allow reports whether a line may be logged in the given second, and how many were skipped before it.
func (l *logLimiter) allow(second int64) (skipped uint64, ok bool) {
	if l.lastLineSecond.Swap(second) == second {
		l.skipped.Add(1)
		return 0, false
	}
	return l.skipped.Swap(0), true
}
