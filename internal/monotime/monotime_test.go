package monotime

import (
	"encoding/json"
	"math"
	"testing"
	"time"
)

func TestDurationFromSeconds_Saturates(t *testing.T) {
	for _, test := range []struct {
		seconds float64
		want    time.Duration
	}{
		{0.25, 250 * time.Millisecond},
		{-3, 0},
		{1e8, 1e8 * time.Second},
		{1e300, 1e8 * time.Second},
		{math.Inf(1), 1e8 * time.Second},
	} {
		if got := DurationFromSeconds(test.seconds); got != test.want {
			t.Errorf("FromSeconds(%g) = %d, want %d", test.seconds, got, test.want)
		}
	}
}

func TestAccrued(t *testing.T) {
	if got := Accrued(4, 250*time.Millisecond); got != 1 {
		t.Errorf("Accrued(4, 250 ms) = %g, want 1", got)
	}
	if got := Seconds(1500 * time.Millisecond); got != 1.5 {
		t.Errorf("Seconds(1500 ms) = %g, want 1.5", got)
	}
}

func TestInstant_Arithmetic(t *testing.T) {
	early := FromNanos(100)
	late := early.Add(50)
	if late.Nanos() != 150 || late.Sub(early) != 50 || early.Sub(late) != -50 {
		t.Errorf("100 ns plus 50 ns is %d ns, which is later by %d ns", late.Nanos(), late.Sub(early))
	}
	if !early.Before(late) || early.After(late) || early.Compare(late) != -1 || late.Compare(late) != 0 {
		t.Error("100 ns is not before 150 ns")
	}
	if Earlier(early, late) != early || Later(early, late) != late || !late.Before(MaxInstant) {
		t.Error("Earlier, Later or MaxInstant is wrong for 100 ns and 150 ns")
	}
	if !(Instant{}).IsZero() || early.IsZero() {
		t.Error("IsZero is false for the zero Instant, or true for 100 ns")
	}
}

// TestInstant_MarshalsToJSONNumber checks the stored form of an Instant: warm-start state holds plain numbers.
func TestInstant_MarshalsToJSONNumber(t *testing.T) {
	text, err := json.Marshal(FromNanos(1_700_000_000_000_000_001))
	if err != nil || string(text) != "1700000000000000001" {
		t.Errorf("encoded as %s, error %v", text, err)
	}
	var got Instant
	if err := json.Unmarshal(text, &got); err != nil || got.Nanos() != 1_700_000_000_000_000_001 {
		t.Errorf("decoded as %d ns, error %v", got.Nanos(), err)
	}
}
