package backend

import (
	"math/bits"
	"time"
)

const (
	// idleClasses is how many classes of idle time are kept apart: up to 1, 2, 4 ... ms. The last one begins
	// at 70 minutes, far beyond any idle timeout.
	idleClasses = 24
	// idleStatsHalfLife is after how long half of the counts is forgotten, so that a class of idle times that
	// is avoided is tried again some day.
	idleStatsHalfLife = 10 * time.Second
	// minIdleFailures is how many failures of a class prove nothing: a few broken connections of any age are
	// usual.
	minIdleFailures = 2
	// staleRatio is the share of failures, one in so many, above which a class is stale.
	staleRatio = 5
)

// idleStats counts how attempts ended on connections that had been idle before, by how long. Backends, or
// what lies between, drop idle connections long before the configured timeout, and some without a word: the
// next attempt meets a reset, and may have run. From the shortest idle time on after which over a fifth of
// the attempts ends so, new connections are opened instead, at the cost of some that would have served. The
// Pool's lock guards it.
type idleStats struct {
	classes  [idleClasses]idleClass
	halvedAt time.Time
}

// idleClass counts the attempts on connections idle for about as long. The counts are fractions once they are
// halved.
type idleClass struct{ attempts, failures float64 }

// classOf is the number of the class of an idle time.
func classOf(idle time.Duration) int {
	milliseconds := uint64(max(idle.Milliseconds(), 0))
	return min(bits.Len64(milliseconds), idleClasses-1)
}

// record counts an attempt on a connection that had been idle before; failed says that the connection ended
// without a byte of an answer.
func (s *idleStats) record(idle time.Duration, failed bool) {
	class := &s.classes[classOf(idle)]
	class.attempts++
	if failed {
		class.failures++
	}
}

// isStale reports whether an attempt should not go out on a connection that has been idle so long.
func (s *idleStats) isStale(now time.Time, idle time.Duration) bool {
	if now.Sub(s.halvedAt) > idleStatsHalfLife {
		s.halve(now)
	}
	for _, class := range s.classes[:classOf(idle)+1] {
		if class.failures >= minIdleFailures && class.failures*staleRatio > class.attempts {
			return true
		}
	}
	return false
}

// halve forgets half of all counts.
func (s *idleStats) halve(now time.Time) {
	s.halvedAt = now
	for i := range s.classes {
		s.classes[i].attempts /= 2
		s.classes[i].failures /= 2
	}
}
