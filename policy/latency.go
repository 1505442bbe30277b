package policy

import (
	"cmp"
	"math"
	"time"

	"fawnplank/policy/internal/estimate"
)

const (
	// backendSamples is how many answers a backend's own latency reaches back over.
	backendSamples = 10
	// fleetSampleSeconds is the time that the fleet's latency reaches back over, in answers at the current
	// throughput, from minFleetSamples to maxFleetSamples.
	fleetSampleSeconds = 2
	minFleetSamples    = 8
	maxFleetSamples    = 30
	// maxFleetSampleRatio bounds what a single latency adds to the fleet's, in estimates of its backend: a few stalls
	// say little about the others.
	maxFleetSampleRatio = 3
	// costSamples is how many answers the relation of latency and units reaches back over. As many as
	// costPriorSamples are taken to show no relation.
	costSamples      = 200
	costPriorSamples = 20
	// minRelativeCost bounds the cost of small requests from below.
	minRelativeCost = 0.25
	// idleFloorDivisor divides the latency objective: an idle instance does not forget the fleet's latency below a
	// fifth of the tightest one.
	idleFloorDivisor = 5

	// idleThreshold is for how long nothing has to be answered, with nothing in flight, for measurements to be
	// forgotten faster.
	idleThreshold = time.Second
	// backendDecayPerTick halves the weight of a backend's own latency in 3.4 s; idleDecayPerTick is added to it,
	// and forgets the fleet's latency in three seconds, while the instance is idle.
	backendDecayPerTick = 0.98
	idleDecayPerTick    = 0.97
)

// fleetLatency is what is known about the latency of the backends together, in nanoseconds.
type fleetLatency struct {
	mean     estimate.Mean       // of recent attempts, at the mean cost; 0: none is measured, and all backends look fast
	byUnits  estimate.Regression // of the latency over the units
	baseline estimate.Mean       // of moments without a queue; the count is of the first attempts
	// idleFloor is the least latency that decayWhileIdle leaves, unless the baseline is lower.
	idleFloor float64
}

// backendLatency is what is known about one backend's latency, in nanoseconds.
type backendLatency struct {
	mean        estimate.Mean // of its own attempts
	concurrency float64       // attempts in flight there while that was measured
	estimate    float64       // as the ranking has it; 0: unknown
}

// boundIdleFloor takes a class's latency objective into account for the idle floor.
func (f *fleetLatency) boundIdleFloor(objective time.Duration) {
	floor := float64(objective) / idleFloorDivisor
	f.idleFloor = min(cmp.Or(f.idleFloor, math.Inf(1)), floor)
}

// recordLatency adds a latency that was measured at a backend with a number of attempts in flight to the estimates.
// It is in nanoseconds at the mean cost: the latency of an attempt is divided by its relativeCost first.
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

// relativeCost returns how many times as long as the mean request one of so many units takes, as far as measured: a
// unit may stand for work. Without it a large request seems a slow backend, and a small one a fast one.
func (e *Engine) relativeCost(units float64) float64 {
	regression := &e.latency.byUnits
	slope := regression.Slope() * regression.Count / (regression.Count + costPriorSamples)
	return max(1+slope*(units-regression.MeanX)/max(regression.MeanY, 1), minRelativeCost)
}

// decayMeasurements forgets single backends, and clients that leave. An idle instance also forgets the fleet's
// latency: one that took overload for lasting would not send, and so would not measure. With attempts in
// flight it does measure, and silence is overload. Forgetting stops at the idle floor or at a lower baseline:
// otherwise all would look fast in the end, and late answers stalled. A baseline of 0, before the first answer,
// sets no such bound.
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

// decayWhileIdle lowers the fleet's latency towards the baseline or the idle floor, whichever is lower.
func (f *fleetLatency) decayWhileIdle() {
	floor := min(f.mean.Value, f.baseline.Value, f.idleFloor)
	f.mean.Value = max(f.mean.Value*idleDecayPerTick, floor)
}
