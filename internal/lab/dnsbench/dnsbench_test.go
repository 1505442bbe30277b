package dnsbench

import (
	"testing"
	"time"
)

// TestMeasure_EveryCostIsAboveZero checks that a short measurement of a small zone gives costs above 0.
func TestMeasure_EveryCostIsAboveZero(t *testing.T) {
	costs, err := Measure(t.Context(), []int{20}, 10, 50*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	if len(costs) != 1 || costs[0].Backends != 20 {
		t.Fatalf("%+v", costs)
	}
	cost := costs[0]
	if cost.Load <= 0 || cost.Start <= 0 || cost.UpdatesPerSecond <= 0 {
		t.Errorf("%+v", cost)
	}
	if cost.PublishedP50 <= 0 || cost.AnsweredP50 <= 0 {
		t.Errorf("%+v", cost)
	}
	if cost.PublishedP99 > cost.AnsweredP99 {
		t.Errorf("p99 of publication is above p99 of answers: %+v", cost)
	}
}
