package policy

import (
	"time"

	"fawnplank/internal/monotime"
)

// attempt is one of a request's attempts.
type attempt struct {
	backend          *backend
	zone             ZoneID // zone of the backend when the attempt was sent
	group            GroupID
	sentAt           Instant
	concurrency      float64 // attempts of this instance in flight at the backend, this one included
	inFlight         bool
	mayHaveRun       bool
	overdue          bool // without progress for longer than timeout
	isBaselineSample bool // among the first baselineSamples attempts of the instance

	timeout           time.Duration // see attemptTimeout
	waitingSince      Instant       // sentAt, or when the command last made progress on its way to the backend
	deliveredFraction float64       // of a command that is long on its way; see Delivery
}

// mayAttempt reports whether rules 1 to 4 allow an attempt at a backend. It is called when a backend is picked, and
// again when the attempt is sent. While an attempt waits for its connection, package dispatch enforces rule 2 by
// AttemptSpec.StartBefore and rule 3 by the endpoint list.
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

// hasAttemptLeft reports whether the settings allow another attempt, in parallel if one is already in flight.
func (r *Request) hasAttemptLeft() bool {
	s := &r.engine.settings
	return len(r.attempts) < s.MaxAttempts && (r.inFlight == 0 || s.Hedging)
}

// mayRunSafelyAt reports whether an attempt at a backend cannot apply the effects of the request a second time.
func (r *Request) mayRunSafelyAt(now Instant, b *backend) bool {
	for _, a := range r.attempts {
		if a.mayHaveRun && !r.class.mayRepeat(now, a, b) {
			return false
		}
	}
	return true
}

// mayRepeat reports whether a request may be sent to a backend although an earlier attempt may have run.
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

// inDedupScope reports whether a backend shares the idempotency keys of the backend that got an earlier attempt.
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

// sendAttempt sends an attempt to a backend if mayAttempt allows it. All attempts are sent here.
func (r *Request) sendAttempt(now Instant, b *backend) (sent bool) {
	if !r.mayAttempt(now, b) {
		return false
	}
	e := r.engine
	id := AttemptID(len(r.attempts))
	// If the connection is established late, the backend may have dropped the idempotency key of an earlier attempt. The
	// bound is computed before the new attempt is added, since that one counts as an attempt that may have run.
	startBefore := monotime.Earlier(r.deadline, r.keyRetainedUntil())
	a := r.addAttempt(now, b)
	a.timeout = r.attemptTimeout()
	e.effects.Send(AttemptSpec{
		Request:     r.id,
		Backend:     b.id,
		ExpiresAt:   r.attemptExpiry(now, a.timeout),
		StartBefore: startBefore,
	})
	e.schedule(now.Add(a.timeout), &a.inFlight, func(now Instant) { r.handleOverdue(now, id) })
	return true
}

// attemptExpiry returns when the newest attempt, which is already in r.attempts, ends as TimedOut; zero means at the
// deadline of the request. An attempt ends before the deadline only if the request may be retried and the settings
// allow neither hedging nor cancellation, as no retry could follow otherwise.
func (r *Request) attemptExpiry(now Instant, timeout time.Duration) Instant {
	s := &r.engine.settings
	mayFollow := r.class.Idempotency != NonIdempotent && len(r.attempts) < s.MaxAttempts
	if mayFollow && !s.Hedging && !s.Cancellation {
		return now.Add(timeout)
	}
	return Instant{}
}

// keyRetainedUntil returns until when the backends retain the request's idempotency key from its earlier attempts.
func (r *Request) keyRetainedUntil() Instant {
	until := monotime.MaxInstant
	for _, a := range r.attempts {
		if a.mayHaveRun && r.class.Idempotency == IdempotentWithKey {
			until = monotime.Earlier(until, a.sentAt.Add(r.class.DedupWindow))
		}
	}
	return until
}

// addAttempt adds an attempt at a backend to those in flight.
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
		waitingSince:     now,
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

// removeAttempt removes an attempt from those in flight.
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
