package policy

import (
	"time"

	"fawnplank/internal/monotime"
)

const (
	// consecutiveErrorThreshold is how many errors in a row eject a backend; single errors are normal.
	consecutiveErrorThreshold = 3
	// minEjectionTime doubles with each ejection, maxEjectionDoublings times at most (to 3.2 s): a short stall
	// costs little, and a dead backend few attempts.
	minEjectionTime      = 200 * time.Millisecond
	maxEjectionDoublings = 4
	// rejectionPause is the time in which a full queue moves.
	rejectionPause = 50 * time.Millisecond
	// healthCheckTimeout ends the wait for a health check whose answer is lost.
	healthCheckTimeout = time.Second
)

// outlierState records what a backend's failures led to.
type outlierState struct {
	// blockedUntil ends an ejection, the pause after a rejection, or the wait for a health check.
	blockedUntil      Instant
	ejections         int // by eject, since the last success
	consecutiveErrors int // without a success between them; a rejection does not end the series
}

// isBlocked reports whether the backend gets no attempt now: it is ejected or paused, or it was ejected and any
// attempt of this instance is in flight there. That one tries it, or is still the one that stalled.
func (o *outlierState) isBlocked(now Instant, inFlight int) bool {
	return now.Before(o.blockedUntil) || o.ejections > 0 && inFlight > 0
}

// recordSuccess ends the series of ejections. The current one lasts until its end.
func (o *outlierState) recordSuccess() {
	o.ejections = 0
	o.consecutiveErrors = 0
}

// pauseAfterRejection keeps attempts away from a full backend for rejectionPause. It is no ejection: a full
// queue is no fault.
func (o *outlierState) pauseAfterRejection(now Instant) {
	o.blockedUntil = monotime.Later(o.blockedUntil, now.Add(rejectionPause))
}

// recordError counts an error, and ejects the backend at the consecutiveErrorThreshold.
func (e *Engine) recordError(now Instant, b *backend) {
	b.outlier.consecutiveErrors++
	if b.outlier.consecutiveErrors >= consecutiveErrorThreshold {
		e.eject(now, b)
	}
}

// eject keeps attempts away from a backend for a time that doubles with each ejection, then has it checked
// where the settings allow. Without health checks a single attempt tries the backend then. A backend that gets
// no attempts for the moment, for whatever reason, is not ejected again.
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

// checkEjected starts a health check at the end of an ejection. The backend stays ejected until the answer. There is
// no check if a pause after a rejection lasts beyond that end.
func (e *Engine) checkEjected(now Instant, b *backend) {
	o := &b.outlier
	if !b.ready || o.ejections == 0 || now.Before(o.blockedUntil) {
		return
	}
	o.blockedUntil = now.Add(healthCheckTimeout)
	e.effects.CheckHealth(b.id)
}

// HandleHealthCheck reports a health check's outcome. A success lets a single attempt try the backend, and so does a
// check that this instance could not make; a failure ejects it again.
func (e *Engine) HandleHealthCheck(now Instant, id BackendID, outcome Outcome) {
	b := e.backends[id]
	if b == nil || b.outlier.ejections == 0 {
		return
	}
	b.outlier.blockedUntil = now // whatever it was for; eject does nothing before its end
	if outcome != Succeeded && outcome != LocalFailure {
		e.eject(now, b)
	}
}
