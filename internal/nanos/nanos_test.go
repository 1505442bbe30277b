package nanos

import (
	"math"
	"testing"
)

func TestFromSeconds_Saturates(t *testing.T) {
	for _, test := range []struct {
		seconds float64
		want    int64
	}{
		{0.25, 250 * Millisecond},
		{-3, 0},
		{1e8, 1e8 * Second},
		{1e300, 1e8 * Second},
		{math.Inf(1), 1e8 * Second},
	} {
		if got := FromSeconds(test.seconds); got != test.want {
			t.Errorf("FromSeconds(%g) = %d, want %d", test.seconds, got, test.want)
		}
	}
}

func TestAccrued(t *testing.T) {
	if got := Accrued(4, 250*Millisecond); got != 1 {
		t.Errorf("Accrued(4, 250 ms) = %g, want 1", got)
	}
	if got := Seconds(1500 * Millisecond); got != 1.5 {
		t.Errorf("Seconds(1500 ms) = %g, want 1.5", got)
	}
}
