package policy

import "time"

const (
	// ticksPerSecond converts answers in a tick to answers a second.
	ticksPerSecond = float64(time.Second / tickInterval)
	// throughputSmoothing is the weight of a tick's answers: they reach back over about a second.
	throughputSmoothing = 0.1
	// backendThroughputSmoothing makes the throughput of a backend reach back over about ten seconds.
	backendThroughputSmoothing = 0.01
	// peakDecayPerTick halves a peak in about 70 s.
	peakDecayPerTick = 0.999
	// minEffectiveBackends avoids a division by zero where nothing is ready.
	minEffectiveBackends = 0.01
)

// throughput is what this instance gets answered.
type throughput struct {
	answersSinceTick float64
	perSecond        float64 // answers a second
	perBackend       float64 // answers a second of one backend, with all instances alike
	peakPerBackend   float64 // the recent peak of perBackend, which overload does not lower
}

// readyBackends is what the ready backends can do.
type readyBackends struct {
	effectiveBackends float64 // ready backends, each weighted by its warmth
	effectiveWeight   float64 // the sum of their weights, each times its warmth
	meanWeight        float64 // of a backend; its recent peak
}

// updateThroughput takes the answers since the last tick into account.
func (e *Engine) updateThroughput() {
	t, ready := &e.throughput, &e.ready
	t.perSecond += throughputSmoothing * (t.answersSinceTick*ticksPerSecond - t.perSecond)
	t.answersSinceTick = 0
	perBackend := t.perSecond * float64(e.instances()) / max(ready.effectiveBackends, 1)
	t.perBackend += backendThroughputSmoothing * (perBackend - t.perBackend)
	t.peakPerBackend = max(t.peakPerBackend*peakDecayPerTick, t.perBackend)
	meanWeight := ready.effectiveWeight / max(ready.effectiveBackends, minEffectiveBackends)
	ready.meanWeight = max(ready.meanWeight*peakDecayPerTick, meanWeight)
}
