package scenario

import "time"

// Occurrence is a fault at one of its targets. Times count from the run's start.
type Occurrence struct {
	Target int           // number of the backend or instance; 0 for the counter and discovery, which exist once
	Begin  time.Duration // until End the fault is in force
	// End is Begin if the fault has no duration. An instant fault may have one: then it acts at Begin, and on sockets
	// at End once more.
	End time.Duration
}

// Occurrences returns the occurrences of a fault in the order of their begins, which its stagger sets apart.
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

// CapacityShare returns the share of its capacity that a backend has at an age. It rises evenly, from the
// share of a backend that starts to the whole at the end of the slow start.
func (s *Scenario) CapacityShare(age time.Duration) float64 {
	initial, duration := s.Rules.SlowStartShare, time.Duration(s.Rules.SlowStartDuration)
	if age >= duration {
		return 1
	}
	return initial + (1-initial)*float64(max(age, 0))/float64(duration)
}

// IsIdempotent reports whether a request of the class may run more than once without a key.
func (c *Class) IsIdempotent() bool { return c.Idempotency == Idempotent }
