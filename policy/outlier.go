package policy

// ejectAfterErrors is how many errors in a row are a symptom: rare single ones are normal, and a backend that
// died refuses the next attempt.
const ejectAfterErrors = 3

// learnFromResult takes in how an attempt ended.
func (r *Request) learnFromResult(now int64, a *attempt, result *AttemptResult) {
	e, b := r.engine, a.backend
	switch result.Outcome {
	case Succeeded:
		r.learnFromAnswer(now, a, result.Elapsed)
	case Rejected: // who gets into a full queue is late, and a fleet of full queues is jammed
		b.lastAnswerAt, e.lastAnswerAt, e.lastRejectionAt = now, now, now
		b.health.ejectedUntil = max(b.health.ejectedUntil, now+50*millisecond) // a full queue moves by then
		e.measure(b, 2*b.estimatedLatency, a.concurrency)
	case Failed, ConnectionLost:
		b.lastAnswerAt = now
		b.health.consecutiveErrors++
		if b.health.consecutiveErrors >= ejectAfterErrors {
			e.eject(now, b)
		}
	case ConnectFailed:
		e.eject(now, b)
	case Canceled: // clients who leave early would hide a jam: what took long by then would have taken longer
		latency := float64(result.Elapsed) / e.relativeCost(r.units)
		if latency > b.estimatedLatency && !a.overdue {
			e.measure(b, latency, a.concurrency)
		}
	}
}

func (r *Request) learnFromAnswer(now int64, a *attempt, elapsed int64) {
	e, b := r.engine, a.backend
	e.answersSinceTick++
	b.lastAnswerAt, e.lastAnswerAt = now, now
	b.health.symptoms, b.health.consecutiveErrors = 0, 0
	latency := float64(elapsed) / e.relativeCost(r.units)
	e.measureBaseline(a, latency)
	e.measure(b, latency, a.concurrency)
	e.latencyByUnits.Add(r.units, float64(elapsed), 200)
}

// eject keeps attempts from a backend for a while that doubles with each symptom, and has it checked before
// its return.
func (e *Engine) eject(now int64, b *backend) {
	h := &b.health
	if now < h.ejectedUntil {
		return
	}
	h.symptoms++
	h.ejectedUntil = now + 100*millisecond<<min(h.symptoms, 5) // 0.2 to 3.2 s: a short stall costs little, a dead one few tries
	if !e.settings.HealthChecks {
		return
	}
	e.schedule(h.ejectedUntil, nil, func(now int64) {
		if b.ready && h.symptoms > 0 && now >= h.ejectedUntil {
			h.ejectedUntil = now + second // until the check is answered; a lost one ends by itself
			e.effects.CheckHealth(b.id)
		}
	})
}

// HandleHealthCheck brings a health check's answer: a good one lets a single attempt try the backend.
func (e *Engine) HandleHealthCheck(now int64, id BackendID, outcome Outcome) {
	b := e.backends[id]
	if b == nil || b.health.symptoms == 0 {
		return
	}
	b.health.ejectedUntil = now
	if outcome != Succeeded {
		e.eject(now, b)
	}
}
