package estimate

import (
	"math"
	"testing"
)

func nearlyEqual(got, want float64) bool { return math.Abs(got-want) < 1e-6*max(math.Abs(want), 1) }

func TestMean_CoversLastMaxCountMeasurements(t *testing.T) {
	var m Mean
	for _, x := range []float64{2, 4, 6} {
		m.Add(x, 10)
	}
	if m.Value != 4 || m.Count != 3 {
		t.Errorf("mean of 2, 4 and 6: value %g, count %g; want 4 and 3", m.Value, m.Count)
	}
	for range 200 {
		m.Add(100, 10)
	}
	if m.Count != 10 || !nearlyEqual(m.Value, 100) {
		t.Errorf("mean after 200 measurements of 100: value %g, count %g; want 100 and 10", m.Value, m.Count)
	}
}

func TestMean_Blend(t *testing.T) {
	empty, measured := Mean{}, Mean{Value: 2, Count: 3}
	if got := empty.Blend(7, 3); got != 7 {
		t.Errorf("blend without measurements: %g, want the prior 7", got)
	}
	if got := measured.Blend(6, 1); got != 3 {
		t.Errorf("blend of three measurements of 2 and a prior of 6: %g, want 3", got)
	}
}

func TestRegression_Slope(t *testing.T) {
	for _, test := range []struct {
		name string
		y    func(x float64) float64
		want float64
	}{
		{"rising", func(x float64) float64 { return 10 + 3*x }, 3},
		{"flat", func(float64) float64 { return 10 }, 0},
		{"falling", func(x float64) float64 { return 10 - x }, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			var r Regression
			for n := range 400 {
				x := float64(1 + n%8)
				r.Add(x, test.y(x), 1000)
			}
			if got := r.Slope(); math.Abs(got-test.want) > 1e-3 {
				t.Errorf("slope %g, want %g", got, test.want)
			}
		})
	}
	var constantX Regression
	for range 10 {
		constantX.Add(1, 5, 100)
	}
	if got := constantX.Slope(); got != 0 {
		t.Errorf("slope with constant x is %g, want 0", got)
	}
}
