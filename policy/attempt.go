package policy

import (
	"time"

	"fawnplank/internal/monotime"
)

// attempt is one of a request's attempts.
type attempt struct {
	backend          *backend
	zone             ZoneID // of the backend, when the attempt was sent
	group            GroupID
	sentAt           Instant
	concurrency      float64 // attempts in flight at the backend from this instance, with this one
	inFlight         bool
	mayHaveRun       bool
	overdue          bool // in flight for longer than the attempt timeout
	isBaselineSample bool // one of the first attempts of the instance
}

// mayAttempt reports whether an attempt may go to a backend: rules 1 to 4 are checked here when a backend is picked,
// and again when the attempt is sent. While an attempt waits for its connection, package dispatch keeps rules 2
// and 3 by AttemptSpec.StartBefore and by the endpoint list.
func (r *Request) mayAttempt(now Instant, b *backend) bool {
	return r.awaitsAnswer(now) && // rule 1
		r.hasAttemptLeft() && r.mayRunSafelyAt(now, b) && // rule 2
		b.ready && // rule 3
		r.slowStartAllows(now, b) // rule 4
}

// awaitsAnswer reports whether the client still waits and no response has begun.
func (r *Request) awaitsAnswer(now Instant) bool {
	return !r.finished && !r.responseStarted && now.Before(r.deadline)
}

// hasAttemptLeft reports whether the settings allow another attempt, beside those in flight if there are any.
func (r *Request) hasAttemptLeft() bool {
	s := &r.engine.settings
	return len(r.attempts) < s.MaxAttempts && (r.inFlight == 0 || s.Hedging)
}

// mayRunSafelyAt reports whether the request has no effect twice if a backend gets it now.
func (r *Request) mayRunSafelyAt(now Instant, b *backend) bool {
	for _, a := range r.attempts {
		if a.mayHaveRun && !r.class.mayRepeat(now, a, b) {
			return false
		}
	}
	return true
}

// mayRepeat reports whether a backend may get a request whose earlier attempt may have run.
func (c *class) mayRepeat(now Instant, earlier *attempt, b *backend) bool {
	switch c.Idempotency {
	case Idempotent:
		return true
	case IdempotentWithKey:
		return now.Before(earlier.sentAt.Add(c.DedupWindow)) && c.inDedupScope(earlier, b)
	case NonIdempotent:
	}
	return false
}

// inDedupScope reports whether a backend knows the idempotency key of an earlier attempt.
func (c *class) inDedupScope(earlier *attempt, b *backend) bool {
	switch c.DedupScope {
	case DedupByZone:
		return earlier.zone == b.zone
	case DedupByGroup:
		return earlier.group == b.group
	case DedupByAll:
	}
	return true
}

// sendAttempt sends an attempt to the backend if it may get one. It is the only place that sends.
func (r *Request) sendAttempt(now Instant, b *backend) (sent bool) {
	if !r.mayAttempt(now, b) {
		return false
	}
	e := r.engine
	id := len(r.attempts)
	// A connection may come up late: the backend may have forgotten an earlier attempt's key by then. This is read
	// before the new attempt is added, which counts as one that may have run.
	startBefore := monotime.Earlier(r.deadline, r.keyRetainedUntil())
	a := r.addAttempt(now, b)
	timeout := r.attemptTimeout()
	e.effects.Send(AttemptSpec{
		Request:     r.id,
		Backend:     b.id,
		ExpiresAt:   r.attemptExpiry(now, timeout),
		StartBefore: startBefore,
	})
	e.schedule(now.Add(timeout), &a.inFlight, func(now Instant) { r.handleOverdue(now, id) })
	return true
}

// attemptExpiry returns when the newest attempt, which is already added, ends as timed out; zero: when the client gives
// up. An attempt is ended early only where nothing else lets another one follow: the settings allow neither a
// hedged attempt nor a cancellation.
func (r *Request) attemptExpiry(now Instant, timeout time.Duration) Instant {
	s := &r.engine.settings
	mayFollow := r.class.Idempotency != NonIdempotent && len(r.attempts) < s.MaxAttempts
	if mayFollow && !s.Hedging && !s.Cancellation {
		return now.Add(timeout)
	}
	return Instant{}
}

// keyRetainedUntil returns until when backends know the request's idempotency key from its earlier attempts.
func (r *Request) keyRetainedUntil() Instant {
	until := monotime.MaxInstant
	for _, a := range r.attempts {
		if a.mayHaveRun && r.class.Idempotency == IdempotentWithKey {
			until = monotime.Earlier(until, a.sentAt.Add(r.class.DedupWindow))
		}
	}
	return until
}

// addAttempt records that another attempt is in flight at a backend.
func (r *Request) addAttempt(now Instant, b *backend) *attempt {
	e := r.engine
	r.inFlight++
	r.tenant.inFlight++
	b.inFlight++
	e.inFlight++
	e.inFlightNotOverdue++
	a := &attempt{
		backend:          b,
		zone:             b.zone,
		group:            b.group,
		sentAt:           now,
		concurrency:      float64(b.inFlight),
		inFlight:         true,
		mayHaveRun:       true,
		isBaselineSample: e.attemptsSent < baselineSamples,
	}
	r.attempts = append(r.attempts, a)
	e.attemptsSent++
	b.lastSentAt = now
	if e.warmingUp(now, b) {
		b.lastSlowStartAttemptAt = now
	}
	return a
}

// removeAttempt records that an attempt is no longer in flight.
func (r *Request) removeAttempt(a *attempt, outcome Outcome) {
	a.inFlight = false
	a.mayHaveRun = outcome.mayHaveRun()
	r.inFlight--
	r.tenant.inFlight--
	a.backend.inFlight--
	r.engine.inFlight--
	if !a.overdue {
		r.engine.inFlightNotOverdue--
	}
}
