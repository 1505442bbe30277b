package policy

import (
	"time"

	"fawnplank/internal/monotime"
)

// Every Retry-After of the program comes from a rule of this file. It says when a rejected client should come
// back. Requests get one if Settings.RetryAfter allows; clients of the limit commands always do.

const (
	// retriesPerObjective is how many times a client without capacity may come back within its latency
	// objective.
	retriesPerObjective = 8
	// minRefillShare is the part of a request's units for whose refill a client waits at least.
	minRefillShare = 0.125
	// retryAfterJitter is the random part that is added, so that clients rejected together do not come back
	// together.
	retryAfterJitter = 0.25
	// limitCheckUnits is the size of the check that a client of the limit commands is expected to repeat.
	limitCheckUnits = 1
)

// retryAfterHardQuota returns when the hard quota has refilled the units that the request lacks.
//
// Inputs: the units lacking in this instance's part, the hard quota's rate in units a second.
func (r *Request) retryAfterHardQuota(shortfall float64) time.Duration {
	return monotime.DurationFromSeconds(shortfall * r.entryPoints / r.plan.HardQuotaRate)
}

// retryAfterOverQuota returns when the plan's rate has refilled the units that the request lacks, at least
// minRefillShare of its own. For a plan without a rate, whose concurrency limit was reached, it is the latency
// objective, by which an attempt should have ended.
//
// It rests on the last total that was stored, which for a request that the counter's answer rejects is the one
// before that answer: at the first call of a window that is what was carried over.
//
// Inputs: the window's total and refill, the quota and the request's size, in units; the rate in units a
// second.
func (r *Request) retryAfterOverQuota(now Instant) time.Duration {
	if r.plan.Rate <= 0 {
		return r.class.LatencyObjective
	}
	t := r.tenant
	shortfall := t.window.total + r.units - r.plan.quota - t.refilled(now, t.window.start)
	return monotime.DurationFromSeconds(max(shortfall, r.units*minRefillShare) / r.plan.Rate)
}

// retryAfterNoCapacity returns when to come back to backends that have no capacity, or after an attempt that was not
// retried: early enough for more attempts within the latency objective.
func (r *Request) retryAfterNoCapacity() time.Duration {
	return r.class.LatencyObjective / retriesPerObjective
}

// advisedRetryAfter returns the Retry-After that is sent with a rejection: spread at random, at most
// Settings.MaxRetryAfter, and 0 where none may be sent.
func (e *Engine) advisedRetryAfter(retryAfter time.Duration) time.Duration {
	if !e.settings.RetryAfter {
		return 0
	}
	jitter := time.Duration(float64(retryAfter) * e.random.Float64() * retryAfterJitter)
	return max(min(retryAfter+jitter, e.settings.MaxRetryAfter), 0)
}

// RetryAfter returns when the plan's rate has refilled the quota to one unit, for a client that asks without
// counting. isLimited is false if there is a unit now, or if the plan has no rate.
//
// Inputs: the quota's units and the units used; the rate in units a second.
func (s QuotaStatus) RetryAfter() (retryAfter time.Duration, isLimited bool) {
	if s.Rate <= 0 || s.Limit-s.Used >= limitCheckUnits {
		return 0, false
	}
	return s.refillTime(s.shortfall()), true
}

// RejectionRetryAfter returns when a client of the limit commands should come back whose check was rejected
// without a Retry-After: when the plan's rate has refilled what a check of one unit lacks, but at least one
// unit, since the check was rejected whatever the status says. It is 0 if the plan has no rate.
//
// Inputs: the quota's units and the units used; the rate in units a second.
func (s QuotaStatus) RejectionRetryAfter() time.Duration {
	if s.Rate <= 0 {
		return 0
	}
	return s.refillTime(max(s.shortfall(), limitCheckUnits))
}

// shortfall returns by how many units the quota is too low for a check of one unit.
func (s QuotaStatus) shortfall() float64 { return s.Used + limitCheckUnits - s.Limit }

// refillTime returns how long the plan's rate takes to refill units.
func (s QuotaStatus) refillTime(units float64) time.Duration {
	return time.Duration(units / s.Rate * float64(time.Second))
}
