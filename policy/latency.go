package policy

import (
	"cmp"
	"math"
	"time"

	"fawnplank/policy/internal/estimate"
)

const (
	// backendSamples is the number of recent answers that a backend's own mean latency covers.
	backendSamples = 10
	// fleetSampleSeconds is the recent time that the fleet's mean latency covers. It is converted to a number of answers
	// at the current throughput, within minFleetSamples and maxFleetSamples.
	fleetSampleSeconds = 2
	minFleetSamples    = 8
	maxFleetSamples    = 30
	// maxFleetSampleRatio bounds a latency that is added to the fleet's mean, as a multiple of its backend's estimate:
	// stalls of one backend are little evidence about the others.
	maxFleetSampleRatio = 3
	// costSamples is the number of recent answers that the regression of latency on units covers. costPriorSamples is
	// the weight, in answers, of the prior assumption that latency does not depend on units.
	costSamples      = 200
	costPriorSamples = 20
	// minRelativeCost is the lower bound of the relative cost of small requests.
	minRelativeCost = 0.25
	// idleFloorDivisor divides the shortest latency objective to get the idle floor, below which the fleet's latency of
	// an idle instance does not decay.
	idleFloorDivisor = 5

	// idleThreshold is the time without an answer after which an instance with no attempt in flight counts as idle.
	idleThreshold = time.Second
	// backendDecayPerTick halves the weight of a backend's own latency in 3.4 s. While the instance is idle,
	// idleDecayPerTick reduces that weight further, and reduces the fleet's latency by a factor of 2.5 in three seconds.
	backendDecayPerTick = 0.98
	idleDecayPerTick    = 0.97
)

// fleetLatency holds the measurements of the latency of all backends together, in nanoseconds.
type fleetLatency struct {
	mean     estimate.Mean       // of recent attempts, at the mean cost; 0: not measured, and all backends appear fast
	byUnits  estimate.Regression // of latency on units
	baseline estimate.Mean       // latency without queueing; its count is the number of baseline samples
	// idleFloor is the latency below which decayWhileIdle does not lower the mean, unless the baseline is lower.
	idleFloor float64
}

// backendLatency holds the measurements of one backend's latency, in nanoseconds.
type backendLatency struct {
	mean        estimate.Mean // of its own attempts
	concurrency float64       // mean number of this instance's attempts in flight at the backend during these measurements
	estimate    float64       // computed by the last ranking; 0: unknown
}

// boundIdleFloor lowers the idle floor to the part of a class's latency objective that idleFloorDivisor sets.
func (f *fleetLatency) boundIdleFloor(objective time.Duration) {
	floor := float64(objective) / idleFloorDivisor
	f.idleFloor = min(cmp.Or(f.idleFloor, math.Inf(1)), floor)
}

// recordLatency adds a latency to the mean of its backend and to that of the fleet. The latency is in nanoseconds at
// the mean cost: the caller has divided it by the relativeCost of the request. concurrency is the number of this
// instance's attempts that were in flight at the backend.
func (e *Engine) recordLatency(b *backend, latency, concurrency float64) {
	ownLatency := &b.latency
	ownLatency.mean.Add(latency, backendSamples)
	ownLatency.concurrency += (concurrency - ownLatency.concurrency) / ownLatency.mean.Count
	if ownLatency.estimate > 0 {
		latency = min(latency, maxFleetSampleRatio*ownLatency.estimate)
	}
	samples := min(max(fleetSampleSeconds*e.throughput.perSecond, minFleetSamples), maxFleetSamples)
	e.latency.mean.Add(latency, samples)
}

// relativeCost returns the expected latency of a request with the given units, relative to that of the mean request. It
// is estimated by the regression of latency on units, since a unit may represent work. Without it, large requests would
// make a backend appear slow, and small ones would make it appear fast.
func (e *Engine) relativeCost(units float64) float64 {
	regression := &e.latency.byUnits
	slope := regression.Slope() * regression.Count / (regression.Count + costPriorSamples)
	return max(1+slope*(units-regression.MeanX)/max(regression.MeanY, 1), minRelativeCost)
}

// decayMeasurements reduces the weight of each backend's own latency, and the abandoned shares of the plans. While the
// instance is idle, the fleet's latency decays too: an instance that continued to assume overload would send nothing,
// and so would never measure that the overload is over. It does not decay while attempts are in flight: they will be
// measured, and their missing answers indicate overload. The decay stops at the idle floor or at a lower baseline:
// otherwise all backends would appear fast in the end, and attempts that are merely late would count as stalled. A
// baseline of 0, before the first answer, removes this lower bound.
func (e *Engine) decayMeasurements(now Instant) {
	decay := backendDecayPerTick
	if now.Sub(e.lastAnswerAt) > idleThreshold && e.inFlight == 0 {
		decay *= idleDecayPerTick
		e.latency.decayWhileIdle()
	}
	for _, p := range e.plans {
		p.abandonment.decay()
	}
	for _, b := range e.endpoints {
		b.latency.mean.Count *= decay
	}
}

// decayWhileIdle lowers the fleet's mean latency toward the baseline or the idle floor, whichever is lower.
func (f *fleetLatency) decayWhileIdle() {
	floor := min(f.mean.Value, f.baseline.Value, f.idleFloor)
	f.mean.Value = max(f.mean.Value*idleDecayPerTick, floor)
}
