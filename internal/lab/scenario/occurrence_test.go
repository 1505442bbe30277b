package scenario

import (
	"math"
	"slices"
	"testing"
	"time"
)

func TestScenario_Occurrences(t *testing.T) {
	s := parseText(t, smallScenario, "backends.count=4")
	for _, test := range []struct {
		name  string
		fault Fault
		want  []Occurrence
	}{
		{"targets, staggered",
			Fault{Kind: BackendHang, At: second, Duration: 2 * second, Targets: []int{3, 1}, Stagger: second / 2},
			[]Occurrence{{3, 1 * time.Second, 3 * time.Second}, {1, 1500 * time.Millisecond, 3500 * time.Millisecond}}},
		{"a share, rounded up", Fault{Kind: BackendHang, At: second, Duration: second, Share: 0.3},
			[]Occurrence{{0, time.Second, 2 * time.Second}, {1, time.Second, 2 * time.Second}}},
		{"a component that exists once", Fault{Kind: CounterRefuse, At: second, Duration: second},
			[]Occurrence{{0, time.Second, 2 * time.Second}}},
		{"no duration", Fault{Kind: CounterEmpty, At: second}, []Occurrence{{0, time.Second, time.Second}}},
	} {
		if got := s.Occurrences(test.fault); !slices.Equal(got, test.want) {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
	}
}

func TestScenario_CapacityShare(t *testing.T) {
	s := parseText(t, smallScenario, "rules.slow_start_share=0.2", "rules.slow_start_duration=8s")
	for age, want := range map[time.Duration]float64{
		-time.Second:     0.2, // a clock may be slightly behind
		0:                0.2,
		2 * time.Second:  0.4,
		4 * time.Second:  0.6,
		8 * time.Second:  1,
		20 * time.Second: 1,
	} {
		if got := s.CapacityShare(age); math.Abs(got-want) > 1e-12 {
			t.Errorf("age %v: share %v, want %v", age, got, want)
		}
	}
	if got := parseText(t, smallScenario, "rules.slow_start_duration=0s").CapacityShare(0); got != 1 {
		t.Errorf("without a slow start: share %v, want 1", got)
	}
}
