package backend

import (
	"math/bits"
	"time"
)

const (
	// idleClasses is the number of classes of idle time, with boundaries at 1, 2, 4 ... ms. The last class
	// begins at 70 minutes, far beyond any idle timeout.
	idleClasses = 24
	// idleStatsHalfLife is the time after which all counts are halved, so that a class of idle times that is
	// avoided is eventually tried again.
	idleStatsHalfLife = 10 * time.Second
	// minIdleFailures is how many failures a class must have to be stale. Fewer prove nothing, since a few
	// broken connections of any age are normal.
	minIdleFailures = 2
	// staleRatio is the inverse of the share of failures above which a class is stale: one in staleRatio.
	staleRatio = 5
)

// idleStats counts how attempts ended on connections that had been idle before, by idle time. Backends, or
// whatever lies between, drop idle connections long before the configured timeout, some of them silently: the
// next attempt then gets a reset, and may have run. The pool finds the shortest idle time after which more
// than a fifth of the attempts end this way. For connections idle that long or longer, it opens new
// connections instead, at the cost of some that would still have worked. The Pool's lock guards it.
type idleStats struct {
	classes  [idleClasses]idleClass
	halvedAt time.Time
}

// idleClass counts the attempts on connections with about the same idle time. The counts become fractions
// when they are halved.
type idleClass struct{ attempts, failures float64 }

// classOf returns the index of the class of an idle time.
func classOf(idle time.Duration) int {
	milliseconds := uint64(max(idle.Milliseconds(), 0))
	return min(bits.Len64(milliseconds), idleClasses-1)
}

// record counts an attempt on a connection that had been idle before. failed means that the connection ended
// without a byte of an answer.
func (s *idleStats) record(idle time.Duration, failed bool) {
	class := &s.classes[classOf(idle)]
	class.attempts++
	if failed {
		class.failures++
	}
}

// isStale reports whether an attempt should not be sent on a connection that has been idle for the given
// time.
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

// halve divides all counts by two.
func (s *idleStats) halve(now time.Time) {
	s.halvedAt = now
	for i := range s.classes {
		s.classes[i].attempts /= 2
		s.classes[i].failures /= 2
	}
}
