package dnsserver

import (
	"sync"
	"sync/atomic"
	"time"
)

// messagesPerUpdate is how many messages are parsed for each update that is allowed: checking a signature
// costs some ten microseconds, which a flood of unsigned messages must not take from the requests.
const messagesPerUpdate = 20

// messageLimiter is a token bucket that holds a second's worth of messages.
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

// logLimiter keeps a flood of refused messages from becoming a flood of log lines: it allows one line a
// second, with the number of those skipped before it.
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

type counters struct {
	updatesDone, updatesRefused, signaturesRefused, rateLimited, updatesLost atomic.Uint64
}

// Stats counts what has become of messages since the start.
type Stats struct {
	UpdatesDone       uint64 // that changed the zone
	UpdatesRefused    uint64 // for what they ask
	SignaturesRefused uint64 // messages without a valid signature, replays among them
	RateLimited       uint64 // messages over a limit
	UpdatesLost       uint64 // that journal or store could not keep
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
