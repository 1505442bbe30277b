package tokenbucket

import (
	"testing"
	"time"

	"fawnplank/internal/monotime"
)

// atSecond returns the Instant that many seconds after the clock's zero.
func atSecond(seconds int64) monotime.Instant {
	return monotime.FromNanos(seconds * int64(time.Second))
}

func TestBucket_RefillIsCappedAtBurst(t *testing.T) {
	b := Bucket{Units: 1, UpdatedAt: atSecond(1)}
	if got := b.Refill(atSecond(2), 3, 10); got != 4 {
		t.Errorf("%g units after a second at 3 a second, want 4", got)
	}
	if got := b.Refill(atSecond(60), 3, 10); got != 10 {
		t.Errorf("%g units in a bucket of 10 that is full", got)
	}
	b.Units -= 12
	if got := b.Refill(atSecond(61), 3, 10); got != 1 {
		t.Errorf("%g units a second after it was overdrawn by 2, want 1", got)
	}
}

func TestUsage_RefillStopsAtZero(t *testing.T) {
	u := Usage{Units: 5, UpdatedAt: atSecond(1)}
	if got := u.Extrapolate(TotalTraffic{MeasuredShare: 0.5, Rate: 4}, atSecond(2)); got != 6 {
		t.Errorf("%g unrefilled of the whole, want 6", got)
	}
	if u.Units != 5 || u.UpdatedAt != atSecond(1) {
		t.Errorf("a look changed the usage: %+v", u)
	}
	if u.Refill(atSecond(2), 4); u.Units != 1 {
		t.Errorf("%g used, want 1", u.Units)
	}
	if u.Refill(atSecond(9), 4); u.Units != 0 || u.UpdatedAt != atSecond(9) {
		t.Errorf("after long: %+v", u)
	}
}
