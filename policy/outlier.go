package policy

// learnFromResult updates the measurements and the backend's health by how an attempt ended.
func (r *Request) learnFromResult(now int64, a *attempt, result *AttemptResult) {
	e, b := r.engine, a.backend
	switch result.Outcome {
	case Succeeded:
		e.answersSinceTick++
		b.lastAnswerAt, e.lastAnswerAt = now, now
		b.health.ejections, b.health.consecutiveErrors = 0, 0
		latency := float64(result.Elapsed) / e.relativeCost(r.units)
		if a.baselineSample { // the first attempts meet the queues before this instance has filled them
			e.baselineLatency.Add(latency, baselineSamples)
		}
		e.measure(b, latency, a.concurrency)
		e.latencyByUnits.Add(r.units, float64(result.Elapsed), 200)
	case Rejected: // what gets into a full queue is late, and a fleet of full queues is overloaded
		b.lastAnswerAt, e.lastAnswerAt, e.lastRejectionAt = now, now, now
		b.health.ejectedUntil = max(b.health.ejectedUntil, now+50*millisecond) // a full queue moves by then
		e.measure(b, 2*b.estimatedLatency, a.concurrency)
	case Failed, ConnectionLost:
		b.lastAnswerAt = now
		b.health.consecutiveErrors++
		if b.health.consecutiveErrors >= 3 { // single errors are normal; a dead backend refuses the next attempt
			e.eject(now, b)
		}
	case ConnectFailed:
		e.eject(now, b)
	case Canceled: // clients who leave early would hide overload: an attempt slow by then would be slower yet
		latency := float64(result.Elapsed) / e.relativeCost(r.units)
		if latency > b.estimatedLatency && !a.overdue {
			e.measure(b, latency, a.concurrency)
		}
	}
}

// eject keeps attempts away from a backend for a time that doubles with each ejection, then has it checked.
func (e *Engine) eject(now int64, b *backend) {
	h := &b.health
	if now < h.ejectedUntil {
		return
	}
	h.ejections++
	// 0.2 to 3.2 s: a short stall costs little, and a dead backend few tries.
	h.ejectedUntil = now + 100*millisecond<<min(h.ejections, 5)
	if e.settings.HealthChecks {
		e.schedule(h.ejectedUntil, nil, func(now int64) {
			if b.ready && h.ejections > 0 && now >= h.ejectedUntil {
				h.ejectedUntil = now + second // until the check is answered, or by itself if the answer is lost
				e.effects.CheckHealth(b.id)
			}
		})
	}
}

// HandleHealthCheck reports a health check's outcome. A success lets a single attempt try the backend.
func (e *Engine) HandleHealthCheck(now int64, id BackendID, outcome Outcome) {
	b := e.backends[id]
	if b == nil || b.health.ejections == 0 {
		return
	}
	b.health.ejectedUntil = now
	if outcome != Succeeded {
		e.eject(now, b)
	}
}
