package policy

import "slices"

// forward sends an attempt to the best backend, or gives up: the client may find capacity elsewhere.
func (r *Request) forward(now int64) {
	if r.class.CheckOnly {
		r.withinQuota, r.hardQuotaUnits = false, 0 // nothing is sent, and what was counted stays
		r.finish()
		r.engine.effects.Admit(r.id)
	} else if b := r.engine.pickBackend(now, r, 1); b == nil || !r.sendAttempt(now, b) {
		r.giveUp(r.class.LatencyObjective / 8) // early enough for another try within the objective
	}
}

// lastUsefulSend is the latest time at which an attempt is still worth sending.
func (r *Request) lastUsefulSend() int64 {
	if r.class.LateValue > 0 {
		return r.deadline - millisecond
	}
	return r.objectiveAt - r.class.LatencyObjective/10 // the fastest answers take about a tenth
}

// mayAttempt reports whether an attempt may go to a backend: rules 1 to 4 are checked here and nowhere else.
func (r *Request) mayAttempt(now int64, b *backend) bool {
	s := &r.engine.settings
	if r.finished || r.responseStarted || now >= r.deadline || len(r.attempts) >= s.MaxAttempts || !b.ready ||
		r.inFlight > 0 && !s.Hedging {
		return false
	}
	for _, a := range r.attempts {
		if a.mayHaveRun && !r.class.mayRepeat(now, a, b) {
			return false
		}
	}
	return r.slowStartAllows(now, b)
}

// mayRepeat reports whether a backend may get a request whose earlier attempt may have run.
func (c *class) mayRepeat(now int64, earlier *attempt, b *backend) bool {
	known := now < earlier.sentAt+c.DedupWindow && // by the backend, as a repeat
		(c.DedupScope != DedupByZone || earlier.zone == b.zone) &&
		(c.DedupScope != DedupByGroup || earlier.group == b.group)
	return c.Idempotency != NonIdempotent && (c.Idempotency != IdempotentWithKey || known)
}

// rejectionIsSafe reports whether a rejection may promise that trying again does no harm.
func (r *Request) rejectionIsSafe() bool {
	c := r.class
	return c.Idempotency == Idempotent || c.Idempotency == IdempotentWithKey && c.DedupScope == DedupByAll ||
		!slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.mayHaveRun })
}

// attemptTimeout returns how long an attempt may take until it is overdue: few take five times the usual for
// their units, and overload must show by seven tenths of the latency objective.
func (r *Request) attemptTimeout() int64 {
	e, objective := r.engine, r.class.LatencyObjective
	timeout := max(int64(5*e.latency.Value*e.relativeCost(r.units)), objective*4/10)
	return min(timeout, objective*7/10)
}

// sendAttempt sends an attempt to the backend if it may get one. It is the only place that sends.
func (r *Request) sendAttempt(now int64, b *backend) bool {
	if !r.mayAttempt(now, b) {
		return false
	}
	e, s, id := r.engine, &r.engine.settings, len(r.attempts)
	// A connection may come up late: the backend may have forgotten an earlier attempt's key by then.
	startBefore := min(r.deadline, r.keyKnownUntil())
	a := r.addAttempt(now, b)
	timeout, expiresAt := r.attemptTimeout(), int64(0)
	if !s.Hedging && !s.Cancellation && r.class.Idempotency != NonIdempotent && len(r.attempts) < s.MaxAttempts {
		// Only a timeout lets another attempt follow here; beyond seven tenths too little time is left for one.
		expiresAt = now + timeout
	}
	e.effects.Send(r.id, b.id, expiresAt, startBefore)
	e.schedule(now+timeout, &a.inFlight, func(now int64) { r.handleOverdue(now, id) })
	return true
}

// handleOverdue checks if an overdue attempt is stalled: its backend has answered nothing since it was sent.
func (r *Request) handleOverdue(now int64, id int) {
	e, a := r.engine, r.attempts[id]
	a.overdue = true
	usual := e.latency.Value * e.relativeCost(r.units)
	e.promptInFlight--
	if r.finished || r.responseStarted {
		return
	}
	elapsed := float64(now - a.sentAt)
	// The elapsed time shows overload before its answers come.
	e.measure(a.backend, elapsed/e.relativeCost(r.units), a.concurrency)
	if a.backend.lastAnswerAt > a.sentAt || elapsed < 5*usual {
		return
	}
	e.eject(now, a.backend)
	switch b := e.pickBackend(now, r, 1); {
	case r.inFlight > 1 || now >= r.lastUsefulSend() || !r.rejectionIsSafe():
	case e.settings.Hedging && b != nil && b != a.backend:
		r.sendAttempt(now, b)
	case !e.settings.Hedging && e.settings.Cancellation && len(r.attempts) < e.settings.MaxAttempts:
		e.effects.Cancel(r.id, AttemptID(id))
	}
}

// HandleAttemptResult reports how an attempt ended.
func (r *Request) HandleAttemptResult(now int64, result AttemptResult) {
	if int(result.Attempt) >= len(r.attempts) || !r.attempts[result.Attempt].inFlight {
		return
	}
	e, t, a := r.engine, r.tenant, r.attempts[result.Attempt]
	r.removeAttempt(a, result.Outcome)
	r.learnFromResult(now, a, &result)
	r.correctUnits(&result)
	switch {
	case r.finished:
	case result.RequestDone || result.Outcome == Succeeded:
		r.plan.leaverShare.Add(0, 20)
		r.finish()
	case r.inFlight > 0:
	case result.Outcome == NotSent || r.responseStarted || now >= r.lastUsefulSend():
		r.giveUp(r.class.LatencyObjective / 8)
	default:
		r.forward(now)
	}
	if t.hasStaleInFlight(now) && e.breaker.IsClosed() && e.mayCallCounter(now) {
		e.count(now, t, nil, 0, 0)
	}
}

// HandleClientGone reports that the client is gone and no longer waits for an answer.
func (r *Request) HandleClientGone(now int64) {
	if r.finished {
		return
	}
	if now < r.deadline-10*millisecond { // else it left because its time was over
		r.plan.leaverShare.Add(1, 20)
		r.plan.leaverWait.Add(float64(now-r.submittedAt), 20)
	}
	r.finish()
}

// giveUp gives the final answer when no attempt succeeded: a rejection, with the time to come back after, if
// that can promise that a retry does no harm; otherwise an abort. Only abortUnknown answers so too.
func (r *Request) giveUp(retryAfter int64) {
	if r.finished {
		return
	}
	r.finish()
	e := r.engine
	if !r.rejectionIsSafe() {
		e.effects.Abort(r.id)
		return
	}
	var advised int64
	if e.settings.RetryAfter {
		// Add up to a quarter at random, so that clients rejected together do not come back together.
		spread := int64(float64(retryAfter) * e.random.Float64() / 4)
		advised = min(retryAfter+spread, e.settings.MaxRetryAfter)
	}
	e.effects.Reject(r.id, max(advised, 0))
}

// finish ends the request, and cancels the attempts that no client waits for.
func (r *Request) finish() {
	r.release()
	if r.engine.settings.Cancellation && !r.responseStarted {
		r.cancelInFlight()
	}
}
