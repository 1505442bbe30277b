package billing

import (
	"fmt"
	"math"
)

// Units are millionths of a unit: whole numbers, so that sums come out the same in any order.
type Units int64

const (
	microsPerUnit = 1e6
	// maxUnits is the largest number of units at once: sums of a million of them fit into Units.
	maxUnits = 1e6
	// maxReportFactor is how many times that a report of use may hold: it sums the requests of an interval.
	maxReportFactor = 1000
)

// ParseUnits gives Units of a number as requests and commands have it: above 0 and at most a million.
func ParseUnits(number float64) (Units, error) {
	if !(number > 0 && number <= maxUnits) { // in this form NaN is out of range too
		return 0, fmt.Errorf("units %g are not above 0 and at most %g", number, float64(maxUnits))
	}
	return Units(math.Round(number * microsPerUnit)), nil
}

// Float is the number of whole units.
func (u Units) Float() float64 { return float64(u) / microsPerUnit }

// Quota is what a plan allows.
type Quota struct {
	Rate float64 // units a second
	Peak float64 // units at once
}

// Settings are the same at all gateway instances.
type Settings struct {
	// WindowNanos is the length of a window: use is billed by windows, counted since 1970.
	WindowNanos int64
	// ChangeNoticeNanos is how far ahead a plan change is made known: all instances know it by its moment.
	ChangeNoticeNanos int64
	// ClockSkewNanos is how far two instances' clocks may differ.
	ClockSkewNanos int64
	// MaxLeaseNanos is how long a reservation may stay without being renewed.
	MaxLeaseNanos int64
	// ExportDelayNanos lies between a window's end and the export of its use; what comes later makes a
	// further record.
	ExportDelayNanos int64
	// Plans are the plans by name.
	Plans map[string]Quota
}

// windowStart is that of the window of a moment, which may lie before 1970.
func (s Settings) windowStart(at int64) int64 {
	sinceStart := (at%s.WindowNanos + s.WindowNanos) % s.WindowNanos
	return at - sinceStart
}

// exportAt is when a window's use is exported.
func (s Settings) exportAt(windowStart int64) int64 {
	return windowStart + s.WindowNanos + s.ExportDelayNanos
}

// leaseEnd checks a lease and gives its end.
func (s Settings) leaseEnd(now, leaseNanos int64) (int64, error) {
	if leaseNanos <= 0 || leaseNanos > s.MaxLeaseNanos {
		return 0, annotate(ErrOutOfRange, "lease of %d ms, of 1 to %d,", leaseNanos/1e6, s.MaxLeaseNanos/1e6)
	}
	return now + leaseNanos, nil
}
