package pcg

import (
	"math"
	"testing"
)

// TestSource_StreamIsFixed checks that a seed gives the stream on which recorded runs depend.
func TestSource_StreamIsFixed(t *testing.T) {
	s := New(42)
	for n, want := range []uint64{0xc2f57bd66b07c4a9, 0x72b7b29b44215383, 0xf5af5ead68beb632} {
		if got := s.Uint64(); got != want {
			t.Errorf("number %d of seed 42 is %#x, want %#x", n, got, want)
		}
	}
}

func TestSource_Float64IsUniform(t *testing.T) {
	s, sum := New(7), 0.0
	for range 100_000 {
		x := s.Float64()
		if x < 0 || x >= 1 {
			t.Fatalf("%g is not in [0, 1)", x)
		}
		sum += x
	}
	if mean := sum / 100_000; math.Abs(mean-0.5) > 0.01 {
		t.Errorf("the mean of 100000 numbers is %g, want 0.5 within 0.01", mean)
	}
}
