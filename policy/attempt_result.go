package policy

// rejectionLatencyRatio is the latency that is recorded for a rejection, as a multiple of the backend's latency
// estimate: a backend that rejects has a full queue, in which accepted attempts are answered late. If the queues of the
// whole fleet are full, the recorded latencies thus indicate overload.
const rejectionLatencyRatio = 2

// recordResult updates the measurements and the backend's outlier state by the outcome of an attempt. An attempt that
// timed out was already measured when it became overdue. An attempt that was not sent, or that this instance could not
// connect for lack of its own resources, is no evidence about the backend.
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
	if a.isBaselineSample { // sent before the load of this instance could fill the backends' queues
		e.latency.baseline.Add(latency, baselineSamples)
	}
	e.recordLatency(b, latency, a.concurrency)
	e.latency.byUnits.Add(r.units, float64(result.Elapsed), costSamples)
}

// recordCanceled records the elapsed time of a canceled attempt as a latency if it already exceeds the backend's
// estimate, since the full latency would have been higher still. Otherwise clients that abandon slow requests would
// hide overload. An overdue attempt was measured when it became overdue.
func (r *Request) recordCanceled(a *attempt, result *AttemptResult) {
	latency := float64(result.Elapsed) / r.engine.relativeCost(r.units)
	if latency > a.backend.latency.estimate && !a.overdue {
		r.engine.recordLatency(a.backend, latency, a.concurrency)
	}
}
