// Package tokenbucket holds token buckets, counted from either end: Bucket counts the units left, and Usage
// the units taken. The caller passes rates and bursts with each call, because they follow settings that
// change. The zero values are ready to use; nothing here is safe for concurrent use.
package tokenbucket

import "fawnplank/internal/monotime"

// Bucket is a token bucket that counts the units it holds.
type Bucket struct {
	Units     float64          // held; the caller takes units by subtraction, and may overdraw the bucket
	UpdatedAt monotime.Instant // when Units was last brought up to date
}

// Refill brings the bucket up to date, at a rate in units a second and up to burst, in units. It returns the
// units that the bucket holds then.
func (b *Bucket) Refill(now monotime.Instant, rate, burst float64) float64 {
	b.Units += monotime.Seconds(now.Sub(b.UpdatedAt)) * rate
	b.Units = min(b.Units, burst)
	b.UpdatedAt = now
	return b.Units
}

// Usage is a token bucket that counts the units taken and not refilled yet, so that it needs no burst.
// In other words, it is a leaky bucket used as a meter.
type Usage struct {
	Units     float64          // taken; the caller takes units by addition
	UpdatedAt monotime.Instant // when Units was last brought up to date
}

// Refill brings the usage up to date at a rate in units a second.
func (u *Usage) Refill(now monotime.Instant, rate float64) {
	u.Units = max(u.Units-monotime.Accrued(rate, now.Sub(u.UpdatedAt)), 0)
	u.UpdatedAt = now
}

// TotalTraffic is all of the traffic of which a Usage holds a part.
type TotalTraffic struct {
	// MeasuredShare is the part of the traffic that the Usage holds, above 0 and at most 1.
	MeasuredShare float64
	// Rate is the refill of all of the traffic, in units a second.
	Rate float64
}

// Extrapolate scales the usage up to all of the traffic, and returns how many units of that are not refilled at
// an instant. It changes nothing.
func (u *Usage) Extrapolate(traffic TotalTraffic, now monotime.Instant) float64 {
	return max(u.Units/traffic.MeasuredShare-monotime.Accrued(traffic.Rate, now.Sub(u.UpdatedAt)), 0)
}
