package policy

// rejectionLatencyRatio is the latency that a rejection stands for, as a multiple of the backend's estimate:
// what gets into a full queue is late, and a fleet of full queues is overloaded.
const rejectionLatencyRatio = 2

// recordResult updates the measurements and the backend's outlier state by how an attempt ended. An attempt
// that timed out was measured when it became overdue. One that was not sent, or not connected for a shortage of this
// instance, shows nothing.
func (r *Request) recordResult(now Instant, a *attempt, result *AttemptResult) {
	e, b := r.engine, a.backend
	switch result.Outcome {
	case Succeeded:
		r.recordSuccess(now, a, result)
	case Rejected:
		b.lastAnswerAt = now
		e.lastAnswerAt = now
		e.lastRejectionAt = now
		b.outlier.pauseAfterRejection(now)
		e.recordLatency(b, rejectionLatencyRatio*b.latency.estimate, a.concurrency)
	case Failed, ConnectionLost:
		b.lastAnswerAt = now
		e.recordError(now, b)
	case ConnectFailed:
		e.eject(now, b)
	case Canceled:
		r.recordCanceled(a, result)
	case TimedOut, NotSent, LocalFailure:
	}
}

func (r *Request) recordSuccess(now Instant, a *attempt, result *AttemptResult) {
	e, b := r.engine, a.backend
	e.throughput.answersSinceTick++
	b.lastAnswerAt = now
	e.lastAnswerAt = now
	b.outlier.recordSuccess()
	latency := float64(result.Elapsed) / e.relativeCost(r.units)
	if a.isBaselineSample { // the first attempts meet the queues before this instance has filled them
		e.latency.baseline.Add(latency, baselineSamples)
	}
	e.recordLatency(b, latency, a.concurrency)
	e.latency.byUnits.Add(r.units, float64(result.Elapsed), costSamples)
}

// recordCanceled measures an attempt that was slow when it was canceled, as it would have been slower yet:
// clients who leave early would hide overload otherwise.
func (r *Request) recordCanceled(a *attempt, result *AttemptResult) {
	latency := float64(result.Elapsed) / r.engine.relativeCost(r.units)
	if latency > a.backend.latency.estimate && !a.overdue {
		r.engine.recordLatency(a.backend, latency, a.concurrency)
	}
}
