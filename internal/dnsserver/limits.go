package dnsserver

import (
	"sync"
	"sync/atomic"
	"time"
)

// messagesPerUpdate is how many messages are parsed for each update that is allowed. Checking a signature
// costs some ten microseconds, and a flood of unsigned messages must not take this time away from the
// requests.
const messagesPerUpdate = 20

// messageLimiter is a token bucket that holds one second's worth of messages. It is safe for concurrent use.
type messageLimiter struct {
	mu            sync.Mutex
	ratePerSecond float64
	tokens        float64
	refilledAt    time.Time
}

func newMessageLimiter(updatesPerSecond float64) *messageLimiter {
	return &messageLimiter{ratePerSecond: messagesPerUpdate * max(updatesPerSecond, 1)}
}

func (l *messageLimiter) allow() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.tokens = min(l.tokens+now.Sub(l.refilledAt).Seconds()*l.ratePerSecond, l.ratePerSecond)
	l.refilledAt = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

// logLimiter prevents a flood of refused messages from becoming a flood of log lines. It allows one line per
// second, and reports how many lines were skipped before it. It is safe for concurrent use.
type logLimiter struct {
	second  atomic.Int64
	skipped atomic.Uint64
}

func (l *logLimiter) allow(second int64) (skipped uint64, ok bool) {
	if l.second.Swap(second) == second {
		l.skipped.Add(1)
		return 0, false
	}
	return l.skipped.Swap(0), true
}

// counters holds the counts that Stats returns.
type counters struct {
	updatesDone       atomic.Uint64
	updatesRefused    atomic.Uint64
	signaturesRefused atomic.Uint64
	rateLimited       atomic.Uint64
	updatesLost       atomic.Uint64
}

// Stats holds counts, since the start, of what became of messages.
type Stats struct {
	UpdatesDone       uint64 // updates that changed the zone
	UpdatesRefused    uint64 // updates refused because of what they ask
	SignaturesRefused uint64 // messages without a valid signature, including replays
	RateLimited       uint64 // messages over a limit
	UpdatesLost       uint64 // updates that the journal or the store could not keep
}

// Stats returns the counts so far.
func (s *Server) Stats() Stats {
	return Stats{
		UpdatesDone:       s.counters.updatesDone.Load(),
		UpdatesRefused:    s.counters.updatesRefused.Load(),
		SignaturesRefused: s.counters.signaturesRefused.Load(),
		RateLimited:       s.counters.rateLimited.Load(),
		UpdatesLost:       s.counters.updatesLost.Load(),
	}
}
