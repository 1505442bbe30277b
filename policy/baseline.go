package policy

import "time"

const (
	// baselineSamples is how many first attempts of an instance show the latency without a queue. Where fewer than
	// half of them succeed, the baseline is never known.
	baselineSamples = 30
	// The baseline falls to a faster fleet in about a second, and rises to a slower one in about a minute, or in
	// two seconds while the fleet is not loaded. Each is the part of the difference made up in a tick.
	baselineDecreaseRate          = 0.1
	baselineIncreaseRate          = 0.002
	baselineLightLoadIncreaseRate = 0.05
	// rejectionFreeTime is for how long no attempt may have been rejected for the fleet to count as not loaded.
	rejectionFreeTime = time.Second
)

// baselineKnown reports whether enough of the first attempts were answered.
func (e *Engine) baselineKnown() bool { return e.latency.baseline.Count >= baselineSamples/2 }

// updateBaselineLatency makes the baseline follow the fleet.
func (e *Engine) updateBaselineLatency(now Instant) {
	if !e.baselineKnown() {
		return
	}
	increaseRate := baselineIncreaseRate
	if e.fleetLightlyLoaded(now) {
		increaseRate = baselineLightLoadIncreaseRate
	}
	baseline := &e.latency.baseline
	difference := e.latency.mean.Value - baseline.Value
	baseline.Value += increaseRate*difference + baselineDecreaseRate*min(difference, 0)
}

// fleetLightlyLoaded reports whether fewer than one attempt for each backend is in flight, on average, and none was
// rejected lately: then a higher latency is the fleet's own, for example while it warms up.
func (e *Engine) fleetLightlyLoaded(now Instant) bool {
	inFlight := e.throughput.perSecond * e.latency.mean.Value // attempts, times a second in nanoseconds
	return now.Sub(e.lastRejectionAt) > rejectionFreeTime && inFlight < e.backendsPerInstance()*float64(time.Second)
}
