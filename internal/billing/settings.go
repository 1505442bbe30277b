package billing

import (
	"fmt"
	"math"
)

// MicroUnits is a number of millionths of a unit. It is an integer so that a sum does not depend on the order of its
// terms.
type MicroUnits int64

const (
	nanosPerSecond = 1e9
	nanosPerMilli  = 1e6

	microsPerUnit = 1e6
	// maxUnits is the largest number of units in one operation. A sum of a million such numbers fits into MicroUnits.
	maxUnits = 1e6
	// maxMicroUnits is maxUnits in millionths of a unit.
	maxMicroUnits MicroUnits = maxUnits * microsPerUnit
	// maxReportFactor is the bound on one item of a usage report, as a multiple of maxUnits. It is above 1 because an
	// item sums the requests of an interval.
	maxReportFactor = 1000
)

// MicroUnitsFromFloat converts a number of units, as it appears in requests and commands, to MicroUnits. It returns an
// error unless the number is above 0 and at most a million.
func MicroUnitsFromFloat(units float64) (MicroUnits, error) {
	if !(units > 0 && units <= maxUnits) { // the negation makes NaN out of range too
		return 0, fmt.Errorf("units %g are not above 0 and at most %g", units, float64(maxUnits))
	}
	return MicroUnits(math.Round(units * microsPerUnit)), nil
}

// Float returns u as a number of units.
func (u MicroUnits) Float() float64 { return float64(u) / microsPerUnit }

// Quota is what a plan allows in a window: Rate multiplied by the length of the window, plus Burst.
type Quota struct {
	Rate  float64 // units per second
	Burst float64 // units per window
}

// Settings holds settings that are the same at all gateway instances. Plans must not be modified while the settings
// are in use.
type Settings struct {
	// WindowNanos is the length of a window. Usage is billed per window. Window starts are multiples of this length
	// since 1970.
	WindowNanos int64
	// PlanChangeNoticeNanos is the minimum time from the scheduling of a plan change to its effect. It must suffice for
	// the change to reach all instances.
	PlanChangeNoticeNanos int64
	// ClockSkewNanos is how far the clocks of two instances may differ.
	ClockSkewNanos int64
	// MaxLeaseNanos is the longest lease of a reservation.
	MaxLeaseNanos int64
	// ExportDelayNanos is the time between a window's end and the export of its usage. Usage that arrives later is
	// exported in a further record.
	ExportDelayNanos int64
	// Plans holds the plans by name.
	Plans map[string]Quota
}

// WindowStart returns the start of the window that contains a time (unix ns), which may lie before 1970.
func (s Settings) WindowStart(atNanos int64) int64 {
	elapsedNanos := (atNanos%s.WindowNanos + s.WindowNanos) % s.WindowNanos
	return atNanos - elapsedNanos
}

// exportDueNanos returns the time (unix ns) from which a window's usage is to be exported.
func (s Settings) exportDueNanos(windowStartNanos int64) int64 {
	return windowStartNanos + s.WindowNanos + s.ExportDelayNanos
}

// leaseExpiryNanos checks the length of a lease that begins now and returns its expiry (unix ns).
func (s Settings) leaseExpiryNanos(nowNanos, leaseNanos int64) (int64, error) {
	if leaseNanos <= 0 || leaseNanos > s.MaxLeaseNanos {
		return 0, wrapWithSubject(ErrOutOfRange, "lease of %d ms, of 1 to %d,",
			leaseNanos/nanosPerMilli, s.MaxLeaseNanos/nanosPerMilli)
	}
	return nowNanos + leaseNanos, nil
}
