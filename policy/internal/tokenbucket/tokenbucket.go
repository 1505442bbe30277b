// Package tokenbucket provides token buckets that count either the units left (Bucket) or the units taken
// (Usage). The caller passes rates and bursts with each call, because they follow settings that change. The zero
// values are ready to use. The types are not safe for concurrent use.
package tokenbucket

import "fawnplank/internal/monotime"

// Bucket is a token bucket that counts the units it holds.
type Bucket struct {
	Units     float64          // units in the bucket; the caller takes units by subtraction, and may overdraw the bucket
	UpdatedAt monotime.Instant // when Units was last brought up to date
}

// Refill adds the units that have accrued since the last update, at a rate in units a second, and limits the
// bucket to burst units. It returns the units that the bucket then holds.
func (b *Bucket) Refill(now monotime.Instant, rate, burst float64) float64 {
	b.Units += monotime.Seconds(now.Sub(b.UpdatedAt)) * rate
	b.Units = min(b.Units, burst)
	b.UpdatedAt = now
	return b.Units
}

// Usage is a token bucket that counts the units that were taken and are not refilled yet, so that it needs no
// burst. It is a leaky bucket used as a meter.
type Usage struct {
	Units     float64          // units taken; the caller takes units by addition
	UpdatedAt monotime.Instant // when Units was last brought up to date
}

// Refill subtracts the units that have been refilled since the last update, at a rate in units a second.
func (u *Usage) Refill(now monotime.Instant, rate float64) {
	u.Units = max(u.Units-monotime.Accrued(rate, now.Sub(u.UpdatedAt)), 0)
	u.UpdatedAt = now
}

// TotalTraffic describes the whole traffic of which a Usage measures a part.
type TotalTraffic struct {
	// MeasuredShare is the part of the traffic that the Usage measures, above 0 and at most 1.
	MeasuredShare float64
	// Rate is the refill rate of the whole traffic, in units a second.
	Rate float64
}

// Extrapolate scales the usage up to the whole traffic, and returns the units of it that are not refilled at an
// instant. It does not change the usage.
func (u *Usage) Extrapolate(traffic TotalTraffic, now monotime.Instant) float64 {
	return max(u.Units/traffic.MeasuredShare-monotime.Accrued(traffic.Rate, now.Sub(u.UpdatedAt)), 0)
}
