package policy

import "time"

// class is a row of the table of classes.
type class struct {
	ClassSettings
	counterWait time.Duration // longest wait for the counter
}

func newClass(settings ClassSettings, counterTimeout time.Duration) *class {
	return &class{ClassSettings: settings, counterWait: counterWait(settings.LatencyObjective, counterTimeout)}
}

// hundredPercent is the whole that percentages are parts of.
const hundredPercent = 100

// percentOf returns a percentage of a span, rounded down to a nanosecond.
func percentOf(duration time.Duration, percent int64) time.Duration {
	return duration * time.Duration(percent) / hundredPercent
}
