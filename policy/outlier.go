package policy

import (
	"time"

	"fawnplank/internal/monotime"
)

const (
	// consecutiveErrorThreshold is the number of consecutive errors that eject a backend, since single errors are normal.
	consecutiveErrorThreshold = 3
	// minEjectionTime is the duration of the first ejection. It doubles with each further one, at most
	// maxEjectionDoublings times (to 3.2 s), so that a short stall excludes a backend only briefly while a dead backend
	// receives few attempts.
	minEjectionTime      = 200 * time.Millisecond
	maxEjectionDoublings = 4
	// rejectionPause is the pause after a rejection, in which a full queue is expected to shrink.
	rejectionPause = 50 * time.Millisecond
	// healthCheckTimeout bounds the wait for the outcome of a health check, which may be lost.
	healthCheckTimeout = time.Second
)

// outlierState is the outlier detection state of a backend.
type outlierState struct {
	// blockedUntil is the end of an ejection, of the pause after a rejection, or of the wait for a health check.
	blockedUntil      Instant
	ejections         int // number of ejections since the last success
	consecutiveErrors int // errors since the last success or start; a rejection does not reset the count
}

// isBlocked reports whether the backend gets no attempt now: it is ejected or paused, or its ejection is over and an
// attempt of this instance is in flight there. That attempt is either the trial after the ejection or one from before.
func (o *outlierState) isBlocked(now Instant, inFlight int) bool {
	return now.Before(o.blockedUntil) || o.ejections > 0 && inFlight > 0
}

// recordSuccess resets the counts of ejections and errors. It does not shorten the current ejection.
func (o *outlierState) recordSuccess() {
	o.ejections = 0
	o.consecutiveErrors = 0
}

// pauseAfterRejection blocks the backend for rejectionPause. This is not an ejection, since a full queue is not a
// fault.
func (o *outlierState) pauseAfterRejection(now Instant) {
	o.blockedUntil = monotime.Later(o.blockedUntil, now.Add(rejectionPause))
}

// recordError counts an error, and ejects the backend when consecutiveErrorThreshold is reached.
func (e *Engine) recordError(now Instant, b *backend) {
	b.outlier.consecutiveErrors++
	if b.outlier.consecutiveErrors >= consecutiveErrorThreshold {
		e.eject(now, b)
	}
}

// eject blocks a backend for a time that doubles with each ejection. Afterward a health check follows if the settings
// allow it; otherwise a single trial attempt may be sent. A backend that is already blocked, for whatever reason, is
// not ejected again.
func (e *Engine) eject(now Instant, b *backend) {
	o := &b.outlier
	if now.Before(o.blockedUntil) {
		return
	}
	o.ejections++
	o.blockedUntil = now.Add(minEjectionTime << min(o.ejections-1, maxEjectionDoublings))
	if e.settings.HealthChecks {
		e.schedule(o.blockedUntil, nil, func(now Instant) { e.checkEjected(now, b) })
	}
}

// checkEjected starts a health check at the end of an ejection. The backend stays blocked until its outcome is known.
// There is no check if the pause after a rejection ends later than the ejection.
func (e *Engine) checkEjected(now Instant, b *backend) {
	o := &b.outlier
	if !b.ready || o.ejections == 0 || now.Before(o.blockedUntil) {
		return
	}
	o.blockedUntil = now.Add(healthCheckTimeout)
	e.effects.CheckHealth(b.id)
}

// HandleHealthCheck handles the outcome of a health check. A success allows a single trial attempt at the backend, and
// so does a check that this instance could not make (LocalFailure). Any other outcome ejects the backend again.
func (e *Engine) HandleHealthCheck(now Instant, id BackendID, outcome Outcome) {
	b := e.backends[id]
	if b == nil || b.outlier.ejections == 0 {
		return
	}
	b.outlier.blockedUntil = now // ends any kind of block, since eject ignores blocked backends
	if outcome != Succeeded && outcome != LocalFailure {
		e.eject(now, b)
	}
}
