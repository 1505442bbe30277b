package policy

import (
	"time"

	"fawnplank/internal/monotime"
)

// All Retry-After values are computed in this file. A Retry-After is the delay after which a rejected client should
// retry. Rejections of requests carry one if Settings.RetryAfter is set. Clients of the limit commands always receive
// one.

const (
	// retriesPerObjective is how many times a client may retry within its latency objective after a rejection
	// for lack of capacity.
	retriesPerObjective = 8
	// minRefillShare is the least part of a request's units whose refill the client waits for.
	minRefillShare = 0.125
	// retryAfterJitter is the largest random extension, as a share of the Retry-After. It keeps clients that
	// were rejected at the same time from retrying at the same time.
	retryAfterJitter = 0.25
	// limitCheckUnits is the size of the check that a client of the limit commands is expected to repeat, in
	// units.
	limitCheckUnits = 1
)

// retryAfterHardQuota returns the time until the hard quota has refilled the units that the request lacks.
//
// Inputs: the units lacking in this instance's part, the hard quota's rate in units a second.
func (r *Request) retryAfterHardQuota(shortfall float64) time.Duration {
	return monotime.DurationFromSeconds(shortfall * r.entryPoints / r.plan.HardQuotaRate)
}

// retryAfterOverQuota returns the time until the plan's rate has refilled the units that the request lacks, and
// at least minRefillShare of the request's units. For a plan without a rate, whose concurrency limit was
// reached, it returns the latency objective, by which an attempt should have ended.
//
// The computation uses the last stored total. If the counter's answer rejects the request, that is the total
// before this answer, and at the first call of a window the units that were carried over.
//
// Inputs: the window's total and refill, the quota and the request's size, in units; the rate in units a second.
func (r *Request) retryAfterOverQuota(now Instant) time.Duration {
	if r.plan.Rate <= 0 {
		return r.class.LatencyObjective
	}
	t := r.tenant
	shortfall := t.window.total + r.units - r.plan.quota - t.refilled(now, t.window.start)
	return monotime.DurationFromSeconds(max(shortfall, r.units*minRefillShare) / r.plan.Rate)
}

// retryAfterNoCapacity returns the time after which to retry when no backend has capacity, or when a failed
// attempt was not retried. It is short enough for more attempts within the latency objective.
func (r *Request) retryAfterNoCapacity() time.Duration {
	return r.class.LatencyObjective / retriesPerObjective
}

// advisedRetryAfter returns the Retry-After that is sent with a rejection: extended by a random jitter, at most
// Settings.MaxRetryAfter, and 0 if the settings allow none.
func (e *Engine) advisedRetryAfter(retryAfter time.Duration) time.Duration {
	if !e.settings.RetryAfter {
		return 0
	}
	jitter := time.Duration(float64(retryAfter) * e.random.Float64() * retryAfterJitter)
	return max(min(retryAfter+jitter, e.settings.MaxRetryAfter), 0)
}

// RetryAfter returns the time until the plan's rate has refilled the quota to one unit, for a client that
// queries the quota without counting. isLimited is false if the quota has a unit left, or if the plan has no
// rate.
//
// Inputs: the quota's units and the units used; the rate in units a second.
func (s QuotaStatus) RetryAfter() (retryAfter time.Duration, isLimited bool) {
	if s.Rate <= 0 || s.Limit-s.Used >= limitCheckUnits {
		return 0, false
	}
	return s.refillTime(s.shortfall()), true
}

// RejectionRetryAfter returns the delay for a client of the limit commands whose check was rejected without a
// Retry-After: the time until the plan's rate has refilled the units that a check of one unit lacks. It covers
// the refill of at least one unit, since the check was rejected even if the status shows units left. It returns
// 0 if the plan has no rate.
//
// Inputs: the quota's units and the units used; the rate in units a second.
func (s QuotaStatus) RejectionRetryAfter() time.Duration {
	if s.Rate <= 0 {
		return 0
	}
	return s.refillTime(max(s.shortfall(), limitCheckUnits))
}

// shortfall returns the number of units that the quota lacks for a check of one unit.
func (s QuotaStatus) shortfall() float64 { return s.Used + limitCheckUnits - s.Limit }

// refillTime returns the time in which the plan's rate refills a number of units.
func (s QuotaStatus) refillTime(units float64) time.Duration {
	return time.Duration(units / s.Rate * float64(time.Second))
}
