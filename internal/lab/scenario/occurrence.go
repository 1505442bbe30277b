package scenario

import "time"

// Occurrence is the effect of a fault at one of its targets. Times count from the run's start.
type Occurrence struct {
	Target int           // number of the backend or instance; 0 for the counter and discovery
	Begin  time.Duration // start of the fault, which is active until End
	// End equals Begin if the fault has no duration. An instant fault that has a duration takes effect at Begin and, on
	// sockets, once more at End.
	End time.Duration
}

// Occurrences returns the occurrences of a fault in order of their start. Successive starts are Stagger apart.
func (s *Scenario) Occurrences(fault Fault) []Occurrence {
	targets := s.Targets(fault)
	if len(targets) == 0 {
		targets = []int{0}
	}
	occurrences := make([]Occurrence, len(targets))
	for n, target := range targets {
		begin := time.Duration(fault.At + Span(n)*fault.Stagger)
		occurrences[n] = Occurrence{Target: target, Begin: begin, End: begin + time.Duration(fault.Duration)}
	}
	return occurrences
}

// CapacityShare returns the share of its full capacity that a backend has at the given age. The share increases
// linearly from Rules.SlowStartShare to 1 during Rules.SlowStartDuration.
func (s *Scenario) CapacityShare(age time.Duration) float64 {
	initialShare, duration := s.Rules.SlowStartShare, time.Duration(s.Rules.SlowStartDuration)
	if age >= duration {
		return 1
	}
	return initialShare + (1-initialShare)*float64(max(age, 0))/float64(duration)
}

// IsIdempotent reports whether a request of the class may run more than once without a key.
func (c *Class) IsIdempotent() bool { return c.Idempotency == Idempotent }
