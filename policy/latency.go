package policy

const baselineSamples = 30 // first attempts that show the latency without a queue: enough to average

// baselineKnown reports whether enough of the first attempts were answered.
func (e *Engine) baselineKnown() bool { return e.baselineLatency.Count >= baselineSamples/2 }

func (e *Engine) updateThroughput() {
	e.throughput += 0.1 * (e.answersSinceTick*10 - e.throughput) // over about a second
	e.answersSinceTick = 0
	// What a backend is seen to answer, over ten seconds, and the most: a jam takes none away. So its capacity.
	perBackend := e.throughput * float64(max(e.settings.Instances, 1)) / max(e.effectiveBackends, 1)
	e.backendThroughput += 0.01 * (perBackend - e.backendThroughput)
	e.peakBackendThroughput = max(e.peakBackendThroughput*0.999, e.backendThroughput)
	e.meanCapacity = max(e.meanCapacity*0.999, e.effectiveCapacity/max(e.effectiveBackends, roundingTolerance))
}

// updateBaselineLatency lets the baseline follow the fleet. It falls with a quicker fleet in a second, and
// rises with a slower one in about a minute; in two seconds while fewer than one attempt a backend is in
// flight and none is rejected: the fleet is slow of itself then, warming up, say.
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

// fadeMeasurements forgets a single backend in five seconds, and who leaves in ten. An instance that took a
// jam for granted would send and measure nothing more. While attempts are in flight it does measure: silence
// is the jam then. Forgetting ends at the baseline (where the jam came first, at a fifth of the latency
// objective, which always finds capacity): else all would look quick at last, and late answers stalled.
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

// measure smooths the latency, over some ten answers of the backend and two seconds (8 to 30) of the fleet.
func (e *Engine) measure(b *backend, latency, concurrency float64) {
	b.latency.Add(latency, 10)
	b.latencyConcurrency += (concurrency - b.latencyConcurrency) / b.latency.Count
	if b.estimatedLatency > 0 {
		latency = min(latency, 3*b.estimatedLatency) // a few stalls say little of the others
	}
	e.latency.Add(latency, min(max(2*e.throughput, 8), 30))
}

// relativeCost is how much longer than the mean a request of so many units takes, as far as measured: a unit
// may stand for work. Without it a large request passes for a slow backend, and a small one for a quick one.
func (e *Engine) relativeCost(units float64) float64 {
	line := &e.latencyByUnits
	slope := line.Slope() * line.Count / (line.Count + 20)
	return max(1+slope*(units-line.MeanX)/max(line.MeanY, 1), 0.25)
}
