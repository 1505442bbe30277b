package policy

const baselineSamples = 30 // first attempts that show the latency without a queue: enough to average

// baselineKnown reports whether enough of the first attempts were answered.
func (e *Engine) baselineKnown() bool { return e.baselineLatency.Count >= baselineSamples/2 }

func (e *Engine) updateThroughput() {
	e.throughput += 0.1 * (e.answersSinceTick*float64(second/tickInterval) - e.throughput) // over about a second
	e.answersSinceTick = 0
	// A backend's answers over ten seconds, and their peak, that overload does not lower. Likewise its capacity.
	perBackend := e.throughput * float64(max(e.settings.Instances, 1)) / max(e.effectiveBackends, 1)
	e.backendThroughput += 0.01 * (perBackend - e.backendThroughput)
	e.peakBackendThroughput = max(e.peakBackendThroughput*0.999, e.backendThroughput)
	e.meanCapacity = max(e.meanCapacity*0.999, e.effectiveCapacity/max(e.effectiveBackends, roundingTolerance))
}

// updateBaselineLatency makes the baseline follow the fleet. It falls to a faster fleet in a second and rises
// to a slower one in about a minute, or in two seconds while fewer than one attempt per backend is in flight
// and none is rejected: then the fleet itself is slow, for example while it warms up.
func (e *Engine) updateBaselineLatency(now int64) {
	if !e.baselineKnown() {
		return
	}
	rise := 0.002
	if now-e.lastRejectionAt > second && e.throughput*e.latency.Value < e.fairSharePerBackend()*float64(second) {
		rise = 0.05
	}
	change := e.latency.Value - e.baselineLatency.Value
	e.baselineLatency.Value += rise*change + 0.1*min(change, 0)
}

// fadeMeasurements forgets a single backend in five seconds, and clients that leave in ten. An instance that
// took overload for lasting would not send or measure. With attempts in flight it does measure: silence
// is overload then. Forgetting stops at the baseline (at a fifth of the latency objective if overload came
// first: that always finds capacity): else all would look fast in the end, and late answers stalled.
func (e *Engine) fadeMeasurements(now int64) {
	fade := 0.98
	if now-e.lastAnswerAt > second && e.inFlight == 0 {
		fade *= 0.97
		floor := min(e.latency.Value, e.baselineLatency.Value, e.defaultLatency)
		e.latency.Value = max(e.latency.Value*0.97, floor) // forgotten in three seconds
	}
	for i := range e.plans {
		e.plans[i].leaverShare.Value *= 0.99
	}
	for _, b := range e.endpoints {
		b.latency.Count *= fade
	}
}

// measure averages the latency over some ten answers of the backend and two seconds (8 to 30) of the fleet.
func (e *Engine) measure(b *backend, latency, concurrency float64) {
	b.latency.Add(latency, 10)
	b.latencyConcurrency += (concurrency - b.latencyConcurrency) / b.latency.Count
	if b.estimatedLatency > 0 {
		latency = min(latency, 3*b.estimatedLatency) // a few stalls say little about the others
	}
	e.latency.Add(latency, min(max(2*e.throughput, 8), 30))
}

// relativeCost returns how much longer than the mean a request of so many units takes, as far as measured: a
// unit may stand for work. Without it a large request seems a slow backend, and a small one a fast one.
func (e *Engine) relativeCost(units float64) float64 {
	line := &e.latencyByUnits
	slope := line.Slope() * line.Count / (line.Count + 20)
	return max(1+slope*(units-line.MeanX)/max(line.MeanY, 1), 0.25)
}
