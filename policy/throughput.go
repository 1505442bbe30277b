package policy

import "time"

const (
	// ticksPerSecond converts answers per tick to answers per second.
	ticksPerSecond = float64(time.Second / tickInterval)
	// throughputSmoothing is the weight of the last tick's answers in the throughput, which covers about a second.
	throughputSmoothing = 0.1
	// backendThroughputSmoothing is the weight of the last tick in the throughput per backend, which covers about 10 s.
	backendThroughputSmoothing = 0.01
	// peakDecayPerTick halves the recorded peaks in about 70 s.
	peakDecayPerTick = 0.999
	// minEffectiveBackends avoids a division by zero when no backend is ready.
	minEffectiveBackends = 0.01
)

// throughput measures the successful answers that this instance receives.
type throughput struct {
	answersSinceTick float64
	perSecond        float64 // answers per second
	perBackend       float64 // answers per second of one backend to all instances, if all have the same throughput
	peakPerBackend   float64 // decaying peak of perBackend, which overload does not lower
}

// readyBackends sums up the capacity of the ready backends.
type readyBackends struct {
	effectiveBackends float64 // number of ready backends, each weighted by its capacityShare
	effectiveWeight   float64 // sum of their weights, each times its capacityShare
	meanWeight        float64 // decaying peak of the mean weight of a backend
}

// updateThroughput adds the answers since the last tick to the throughput.
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
