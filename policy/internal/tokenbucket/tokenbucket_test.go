package tokenbucket

import (
	"testing"
	"time"

	"fawnplank/internal/monotime"
)

// atSecond returns the Instant a number of seconds after the zero of the clock.
func atSecond(seconds int64) monotime.Instant {
	return monotime.FromNanos(seconds * int64(time.Second))
}

func TestBucket_RefillIsCappedAtBurst(t *testing.T) {
	b := Bucket{Units: 1, UpdatedAt: atSecond(1)}
	if got := b.Refill(atSecond(2), 3, 10); got != 4 {
		t.Errorf("%g units in the bucket after a second at 3 units a second, want 4", got)
	}
	if got := b.Refill(atSecond(60), 3, 10); got != 10 {
		t.Errorf("%g units in the bucket, want its burst of 10", got)
	}
	b.Units -= 12
	if got := b.Refill(atSecond(61), 3, 10); got != 1 {
		t.Errorf("%g units in the bucket a second after it was overdrawn by 2, want 1", got)
	}
}

func TestUsage_RefillStopsAtZero(t *testing.T) {
	u := Usage{Units: 5, UpdatedAt: atSecond(1)}
	if got := u.Extrapolate(TotalTraffic{MeasuredShare: 0.5, Rate: 4}, atSecond(2)); got != 6 {
		t.Errorf("%g units of the whole traffic are unrefilled, want 6", got)
	}
	if u.Units != 5 || u.UpdatedAt != atSecond(1) {
		t.Errorf("Extrapolate changed the usage: %+v", u)
	}
	if u.Refill(atSecond(2), 4); u.Units != 1 {
		t.Errorf("%g units used, want 1", u.Units)
	}
	if u.Refill(atSecond(9), 4); u.Units != 0 || u.UpdatedAt != atSecond(9) {
		t.Errorf("usage %+v long after the last unit, want 0 units", u)
	}
}
