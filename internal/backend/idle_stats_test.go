package backend

import (
	"testing"
	"time"
)

// TestIdleStats_IsStale checks that idle times are stale from the shortest bucket on in which more than a fifth of the
// attempts failed. Shorter idle times and buckets with too few failures are not stale, and a stale bucket is no longer
// stale after its counts were halved.
func TestIdleStats_IsStale(t *testing.T) {
	var s idleStats
	now := time.Now()
	isStaleAt := func(at time.Time, idle time.Duration) bool {
		s.decay(at)
		return s.isStale(idle)
	}
	isStaleAt(now, 0) // the first call of decay starts the half-life
	s.record(time.Second, idleLost)
	if isStaleAt(now, time.Second) {
		t.Error("stale after a single failure")
	}
	for range 9 {
		s.record(time.Second, idleAlive)
	}
	s.record(time.Second, idleLost)
	if isStaleAt(now, time.Second) {
		t.Error("stale at 2 failures of 11 attempts")
	}
	s.record(time.Second, idleLost)
	if !isStaleAt(now, time.Second) || !isStaleAt(now, time.Hour) {
		t.Error("not stale at 3 failures of 12 attempts, or not at a longer idle time")
	}
	if isStaleAt(now, 400*time.Millisecond) {
		t.Error("a shorter idle time is stale")
	}
	if !isStaleAt(now.Add(idleStatsHalfLife), time.Second) {
		t.Error("not stale before the end of the half-life")
	}
	if isStaleAt(now.Add(idleStatsHalfLife+time.Nanosecond), time.Second) {
		t.Error("stale at 1.5 failures")
	}
}
