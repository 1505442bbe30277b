// Package tokenbucket keeps stores of units that refill steadily. Rates and sizes are the caller's at each
// call, since they follow settings that change. The zero values are ready to use; nothing here is safe for
// concurrent use.
package tokenbucket

import "fawnplank/internal/nanos"

// Bucket is a store counted by what it holds.
type Bucket struct {
	Units     float64
	UpdatedAt int64 // when Units was last brought up to date
}

// Refill brings the bucket up to date, at a rate in units a second and up to burst, and returns what it
// holds.
func (b *Bucket) Refill(now int64, rate, burst float64) float64 {
	b.Units += nanos.Seconds(now-b.UpdatedAt) * rate
	b.Units = min(b.Units, burst)
	b.UpdatedAt = now
	return b.Units
}

// Usage is a store counted by what was taken out of it and has not been refilled yet, which needs no size.
type Usage struct {
	Units     float64
	UpdatedAt int64 // when Units was last brought up to date
}

// Refill brings the usage up to date at a rate in units a second.
func (u *Usage) Refill(now int64, rate float64) {
	u.Units = max(u.Units-nanos.Accrued(rate, now-u.UpdatedAt), 0)
	u.UpdatedAt = now
}

// UnrefilledAt returns what a usage scaled up to the whole of a tenant's traffic, of which this is the given
// share, would have left at an instant, at the whole rate. It changes nothing.
func (u *Usage) UnrefilledAt(now int64, share, rate float64) float64 {
	return max(u.Units/share-nanos.Accrued(rate, now-u.UpdatedAt), 0)
}
