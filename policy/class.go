package policy

import "time"

// class is a row of the class table.
type class struct {
	ClassSettings
	counterWait time.Duration // longest time that a request waits for the counter
}

func newClass(settings ClassSettings, counterTimeout time.Duration) *class {
	return &class{ClassSettings: settings, counterWait: counterWait(settings.LatencyObjective, counterTimeout)}
}

// hundredPercent is the divisor of percentages.
const hundredPercent = 100

// percentOf returns a percentage of a duration, rounded down to a nanosecond.
func percentOf(duration time.Duration, percent int64) time.Duration {
	return duration * time.Duration(percent) / hundredPercent
}
