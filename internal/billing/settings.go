package billing

import (
	"fmt"
	"math"
)

// MicroUnits counts millionths of a unit. Whole numbers make sums the same in any order.
type MicroUnits int64

const (
	nanosPerSecond = 1e9
	nanosPerMilli  = 1e6

	microsPerUnit = 1e6
	// maxUnits is the largest number of units at once. Sums of a million of them fit into Units.
	maxUnits = 1e6
	// maxUnitsValue is maxUnits as a value of type Units.
	maxUnitsValue MicroUnits = maxUnits * microsPerUnit
	// maxReportFactor is how many times maxUnits a usage report may hold, because it sums the requests of an
	// interval.
	maxReportFactor = 1000
)

// MicroUnitsFromFloat converts a number of units, as it appears in requests and commands, to
// MicroUnits. The number must
// be above 0 and at most a million; any other one, and NaN, is an error.
func MicroUnitsFromFloat(number float64) (MicroUnits, error) {
	if !(number > 0 && number <= maxUnits) { // written so that NaN is out of range too
		return 0, fmt.Errorf("units %g are not above 0 and at most %g", number, float64(maxUnits))
	}
	return MicroUnits(math.Round(number * microsPerUnit)), nil
}

// Float converts u from millionths of a unit to units.
func (u MicroUnits) Float() float64 { return float64(u) / microsPerUnit }

// Quota is what a plan allows in a window: Rate for the length of the window, and Burst once.
type Quota struct {
	Rate  float64 // units a second
	Burst float64 // units at once
}

// Settings holds settings that are the same at all gateway instances. Its plans are not modified while it is in
// use.
type Settings struct {
	// WindowNanos is the length of a window. Usage is billed by windows, which are counted since 1970.
	WindowNanos int64
	// PlanChangeNoticeNanos is how far ahead a plan change is announced, so that all instances know it when it takes
	// effect.
	PlanChangeNoticeNanos int64
	// ClockSkewNanos is how far the clocks of two instances may differ.
	ClockSkewNanos int64
	// MaxLeaseNanos is how long a reservation may last without being renewed.
	MaxLeaseNanos int64
	// ExportDelayNanos is the time between a window's end and the export of its usage. Usage that arrives later
	// makes a further record.
	ExportDelayNanos int64
	// Plans holds the plans by name.
	Plans map[string]Quota
}

// WindowStart returns the start of the window that contains a moment, which may lie before 1970.
func (s Settings) WindowStart(atNanos int64) int64 {
	sinceStart := (atNanos%s.WindowNanos + s.WindowNanos) % s.WindowNanos
	return atNanos - sinceStart
}

// exportAt returns the moment at which a window's usage is exported.
func (s Settings) exportAt(windowStartNanos int64) int64 {
	return windowStartNanos + s.WindowNanos + s.ExportDelayNanos
}

// leaseEnd checks the length of a lease and returns the moment at which it ends.
func (s Settings) leaseEnd(nowNanos, leaseNanos int64) (int64, error) {
	if leaseNanos <= 0 || leaseNanos > s.MaxLeaseNanos {
		return 0, annotate(ErrOutOfRange, "lease of %d ms, of 1 to %d,",
			leaseNanos/nanosPerMilli, s.MaxLeaseNanos/nanosPerMilli)
	}
	return nowNanos + leaseNanos, nil
}
