package dnsserver

import (
	"sync"
	"sync/atomic"
	"time"
)

// messagesPerUpdate is the ratio of the message rate limit to the update rate limit. Verifying a signature takes some
// ten microseconds, and a flood of messages must not take this time away from the API requests that the gateway
// forwards.
const messagesPerUpdate = 20

// messageLimiter is a token bucket whose capacity is the number of messages allowed in one second. It is safe for
// concurrent use.
type messageLimiter struct {
	mu            sync.Mutex
	ratePerSecond float64
	tokens        float64
	lastRefill    time.Time
}

func newMessageLimiter(updatesPerSecond float64) *messageLimiter {
	return &messageLimiter{ratePerSecond: messagesPerUpdate * max(updatesPerSecond, 1)}
}

// allow takes a token. It reports false if the bucket is empty.
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

// refill adds the tokens for the time since the last refill. The first refill fills the bucket.
func (l *messageLimiter) refill(now time.Time) {
	elapsed := now.Sub(l.lastRefill)
	l.tokens = min(l.tokens+elapsed.Seconds()*l.ratePerSecond, l.ratePerSecond)
	l.lastRefill = now
}

// logLimiter limits log lines about refused messages to one per second, so that a flood of messages does not flood the
// log. It counts the skipped lines. It is safe for concurrent use.
type logLimiter struct {
	second  atomic.Int64 // unix seconds of the last line
	skipped atomic.Uint64
}

// allow reports whether a line may be logged in the given second, and how many lines were skipped since the last one.
func (l *logLimiter) allow(second int64) (skipped uint64, ok bool) {
	if l.second.Swap(second) == second {
		l.skipped.Add(1)
		return 0, false
	}
	return l.skipped.Swap(0), true
}
