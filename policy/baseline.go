package policy

import "time"

const (
	// baselineSamples is the number of first attempts of an instance from which the baseline, the latency without
	// queueing, is measured. If fewer than half of them succeed, the instance never has a baseline.
	baselineSamples = 30
	// Each rate is the part of the difference between the baseline and the fleet's latency that is made up in a tick.
	// The baseline decreases to the latency of a faster fleet in about a second. It increases to that of a slower fleet
	// in about a minute, or in about two seconds while the fleet is lightly loaded.
	baselineDecreaseRate          = 0.1
	baselineIncreaseRate          = 0.002
	baselineLightLoadIncreaseRate = 0.05
	// rejectionFreeTime is the time without a rejected attempt after which the fleet may count as lightly loaded.
	rejectionFreeTime = time.Second
)

// baselineKnown reports whether enough of the first attempts succeeded for the baseline to be used.
func (e *Engine) baselineKnown() bool { return e.latency.baseline.Count >= baselineSamples/2 }

// updateBaselineLatency moves the baseline toward the fleet's latency.
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

// fleetLightlyLoaded reports whether on average less than one attempt per backend is in flight, and none was rejected
// within rejectionFreeTime. A higher latency is then not caused by queueing, but for example by backends that warm up.
func (e *Engine) fleetLightlyLoaded(now Instant) bool {
	inFlight := e.throughput.perSecond * e.latency.mean.Value // Little's law: attempts, times nanoseconds per second
	return now.Sub(e.lastRejectionAt) > rejectionFreeTime && inFlight < e.backendsPerInstance()*float64(time.Second)
}
