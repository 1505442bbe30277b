package tokenbucket

import (
	"testing"

	"fawnplank/internal/nanos"
)

func TestBucket_RefillsUpToItsBurst(t *testing.T) {
	b := Bucket{Units: 1, UpdatedAt: nanos.Second}
	if got := b.Refill(2*nanos.Second, 3, 10); got != 4 {
		t.Errorf("%g units after a second at 3 a second, want 4", got)
	}
	if got := b.Refill(60*nanos.Second, 3, 10); got != 10 {
		t.Errorf("%g units in a bucket of 10 that is full", got)
	}
	b.Units -= 12
	if got := b.Refill(61*nanos.Second, 3, 10); got != 1 {
		t.Errorf("%g units a second after it was overdrawn by 2, want 1", got)
	}
}

func TestUsage_RefillsDownToZero(t *testing.T) {
	u := Usage{Units: 5, UpdatedAt: nanos.Second}
	if got := u.UnrefilledAt(2*nanos.Second, 0.5, 4); got != 6 {
		t.Errorf("%g unrefilled of the whole, want 6", got)
	}
	if u.Units != 5 || u.UpdatedAt != nanos.Second {
		t.Errorf("a look changed the usage: %+v", u)
	}
	if u.Refill(2*nanos.Second, 4); u.Units != 1 {
		t.Errorf("%g used, want 1", u.Units)
	}
	if u.Refill(9*nanos.Second, 4); u.Units != 0 || u.UpdatedAt != 9*nanos.Second {
		t.Errorf("after long: %+v", u)
	}
}
