package backend

import (
	"math/bits"
	"time"
)

const (
	// idleBuckets is the number of buckets of idle time, with boundaries at 1, 2, 4 ... ms. The last bucket
	// begins at 70 minutes, far beyond any idle timeout.
	idleBuckets = 24
	// idleStatsHalfLife is the time after which all counts are halved, so that connections with a stale idle time are
	// eventually used again.
	idleStatsHalfLife = 10 * time.Second
	// minIdleFailures is the minimum number of failures in a stale bucket. Fewer are no evidence, since a few broken
	// connections are normal at any idle time.
	minIdleFailures = 2
	// staleRatio is the inverse of the share of failures above which a bucket is stale: more than one in staleRatio.
	staleRatio = 5
)

// idleStats counts, by idle time, how attempts ended on connections that had been idle. Backends and network devices
// on the way may drop idle connections long before the configured timeout, and some do so silently: the next attempt
// then gets a reset, and may have run. idleStats finds the shortest idle time for which more than a fifth of the
// attempts end without a response. Instead of connections that have been idle that long or longer, the pool uses new
// ones, although some of the old ones would still have worked. The Pool's lock guards idleStats.
type idleStats struct {
	buckets  [idleBuckets]idleBucket
	halvedAt time.Time
}

// idleBucket counts the attempts on connections with about the same idle time. The counts become fractions
// when they are halved.
type idleBucket struct {
	attempts float64
	failures float64 // attempts whose connection ended without a response
}

// bucketOf returns the index of the bucket of an idle time.
func bucketOf(idle time.Duration) int {
	milliseconds := uint64(max(idle.Milliseconds(), 0))
	return min(bits.Len64(milliseconds), idleBuckets-1)
}

// idleOutcome says whether a connection still worked after it had been idle.
type idleOutcome uint8

const (
	idleAlive idleOutcome = iota // at least one byte of a response arrived
	idleLost                     // the connection ended without a response
)

func (o idleOutcome) String() string {
	if o == idleAlive {
		return "alive"
	}
	return "lost"
}

// record counts an attempt on a connection that had been idle before.
func (s *idleStats) record(idle time.Duration, outcome idleOutcome) {
	bucket := &s.buckets[bucketOf(idle)]
	bucket.attempts++
	if outcome == idleLost {
		bucket.failures++
	}
}

// decay halves all counts if idleStatsHalfLife has passed since they were last halved.
func (s *idleStats) decay(now time.Time) {
	if now.Sub(s.halvedAt) > idleStatsHalfLife {
		s.halve(now)
	}
}

// isStale reports whether connections that have been idle for the given time should not be used: their bucket or one
// of a shorter idle time has too large a share of failures.
func (s *idleStats) isStale(idle time.Duration) bool {
	for _, bucket := range s.buckets[:bucketOf(idle)+1] {
		if bucket.failures >= minIdleFailures && bucket.failures*staleRatio > bucket.attempts {
			return true
		}
	}
	return false
}

// halve divides all counts by two.
func (s *idleStats) halve(now time.Time) {
	s.halvedAt = now
	for i := range s.buckets {
		s.buckets[i].attempts /= 2
		s.buckets[i].failures /= 2
	}
}
