package backend

import (
	"testing"
	"time"
)

// Idle times from the shortest class on of which over a fifth of the attempts failed are stale; a few
// failures of any class, and shorter idle times, are not; and what was avoided is tried again once its counts
// have faded.
func TestIdleStats_IsStale(t *testing.T) {
	var s idleStats
	now := time.Now()
	isStaleAt := func(at time.Time, idle time.Duration) bool {
		s.decay(at)
		return s.isStale(idle)
	}
	isStaleAt(now, 0) // the half-life begins
	s.record(time.Second, idleLost)
	if isStaleAt(now, time.Second) {
		t.Error("one failure proves something")
	}
	for range 9 {
		s.record(time.Second, idleAlive)
	}
	s.record(time.Second, idleLost)
	if isStaleAt(now, time.Second) {
		t.Error("stale at 2 failures of 11")
	}
	s.record(time.Second, idleLost)
	if !isStaleAt(now, time.Second) || !isStaleAt(now, time.Hour) {
		t.Error("not stale at 3 failures of 12, or not beyond their idle time")
	}
	if isStaleAt(now, 400*time.Millisecond) {
		t.Error("a shorter idle time is stale")
	}
	if !isStaleAt(now.Add(idleStatsHalfLife), time.Second) {
		t.Error("the counts have faded before the half-life is over")
	}
	if isStaleAt(now.Add(idleStatsHalfLife+time.Nanosecond), time.Second) {
		t.Error("1.5 failures prove something")
	}
}
