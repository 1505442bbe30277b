package policy

import (
	"slices"
	"time"
)

// class is a row of the class table.
type class struct {
	ClassSettings
	counterWait time.Duration // longest time that a request waits for the counter
}

func newClass(settings ClassSettings, counterTimeout time.Duration) *class {
	return &class{ClassSettings: settings, counterWait: counterWait(settings.LatencyObjective, counterTimeout)}
}

// AssumeNonIdempotent returns the settings with every class as non-idempotent, except check-only classes, which are
// never sent. They apply while the instance may not know the latest settings of its classes: a class may have become
// non-idempotent, and a second run of a request cannot be undone, while a missing retry only fails the request.
func (s Settings) AssumeNonIdempotent() Settings {
	s.Classes = slices.Clone(s.Classes)
	for id := range s.Classes {
		if !s.Classes[id].CheckOnly {
			s.Classes[id].Idempotency = NonIdempotent
		}
	}
	return s
}

// hundredPercent is the divisor of percentages.
const hundredPercent = 100

// percentOf returns a percentage of a duration, rounded down to a nanosecond.
func percentOf(duration time.Duration, percent int64) time.Duration {
	return duration * time.Duration(percent) / hundredPercent
}
