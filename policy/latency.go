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
	// maxStallRatio bounds what a stalled backend adds to the fleet's latency: a few stalls say little about the
	// others.
	maxStallRatio = 3
	// costSamples is how many answers the relation of latency and units reaches back over. As many as
	// costPriorSamples are taken to show no relation.
	costSamples      = 200
	costPriorSamples = 20
	// minRelativeCost bounds the cost of small requests from below.
	minRelativeCost = 0.25
	// assumedLatencyDivisor divides the latency objective: a fifth of the tightest one is assumed while no latency
	// is measured.
	assumedLatencyDivisor = 5

	// idleTime is for how long nothing has to be answered, with nothing in flight, for measurements to be
	// forgotten faster.
	idleTime = time.Second
	// backendFadePerTick halves the weight of a backend's own latency in 3.4 s; idleFadePerTick is added to it,
	// and forgets the fleet's latency in three seconds, while the instance is idle.
	backendFadePerTick = 0.98
	idleFadePerTick    = 0.97
)

// fleetLatency is what is known about the latency of the backends together, in nanoseconds.
type fleetLatency struct {
	mean     estimate.Mean       // of recent attempts, at the mean cost
	byUnits  estimate.Regression // of the latency over the units
	baseline estimate.Mean       // of moments without a queue; the count is of the first attempts
	assumed  float64             // while nothing better is known
}

// backendLatency is what is known about one backend's latency, in nanoseconds.
type backendLatency struct {
	mean        estimate.Mean // of its own attempts
	concurrency float64       // attempts in flight there while that was measured
	estimate    float64       // as the ranking has it; 0: unknown
}

// assumeFor takes a class's latency objective into account for the latency that is assumed.
func (f *fleetLatency) assumeFor(objective time.Duration) {
	assumed := float64(objective) / assumedLatencyDivisor
	f.assumed = min(cmp.Or(f.assumed, math.Inf(1)), assumed)
}

// measure takes a latency into account, in nanoseconds at the mean cost, that was measured at a backend with a
// number of attempts in flight.
func (e *Engine) measure(b *backend, latency, concurrency float64) {
	own := &b.latency
	own.mean.Add(latency, backendSamples)
	own.concurrency += (concurrency - own.concurrency) / own.mean.Count
	if own.estimate > 0 {
		latency = min(latency, maxStallRatio*own.estimate)
	}
	samples := min(max(fleetSampleSeconds*e.throughput.perSecond, minFleetSamples), maxFleetSamples)
	e.latency.mean.Add(latency, samples)
}

// relativeCost returns how much longer than the mean a request of so many units takes, as far as measured: a
// unit may stand for work. Without it a large request seems a slow backend, and a small one a fast one.
func (e *Engine) relativeCost(units float64) float64 {
	line := &e.latency.byUnits
	slope := line.Slope() * line.Count / (line.Count + costPriorSamples)
	return max(1+slope*(units-line.MeanX)/max(line.MeanY, 1), minRelativeCost)
}

// fadeMeasurements forgets single backends, and clients that leave. An idle instance also forgets the fleet's
// latency: one that took overload for lasting would not send, and so would not measure. With attempts in
// flight it does measure, and silence is overload. Forgetting stops at the baseline, or at the assumed latency
// if overload came first: otherwise all would look fast in the end, and late answers stalled.
func (e *Engine) fadeMeasurements(now Instant) {
	fade := backendFadePerTick
	if now.Sub(e.lastAnswerAt) > idleTime && e.inFlight == 0 {
		fade *= idleFadePerTick
		e.latency.fadeIdle()
	}
	for i := range e.plans {
		e.plans[i].abandonment.fade()
	}
	for _, b := range e.endpoints {
		b.latency.mean.Count *= fade
	}
}

// fadeIdle lowers the fleet's latency towards the baseline or the assumed latency, whichever is lower.
func (f *fleetLatency) fadeIdle() {
	floor := min(f.mean.Value, f.baseline.Value, f.assumed)
	f.mean.Value = max(f.mean.Value*idleFadePerTick, floor)
}
