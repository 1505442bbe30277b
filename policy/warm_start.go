package policy

import (
	"math"
	"time"

	"fawnplank/policy/internal/estimate"
)

const (
	// fleetHalfLife is the time in which the weight of the fleet's latency halves: a fleet changes in the course
	// of a day.
	fleetHalfLife = 10 * time.Minute
	// backendHalfLife is that of a backend's own latency, as backendDecayPerTick makes it.
	backendHalfLife = 3400 * time.Millisecond
	// maxImportedSamples bounds the weight of what is adopted, in answers.
	maxImportedSamples = 30
	// maxImportedLatency is the latency from which on a measurement is not valid, in nanoseconds.
	maxImportedLatency = float64(1000 * time.Second)
)

// WarmStartState is what an instance knows about the backends' answer times, for the instance that is started
// after it.
type WarmStartState struct {
	Latency  float64            `json:"usual_ns"` // of all backends together
	Samples  float64            `json:"count"`    // how many answers stand behind it
	Backends []BackendWarmStart `json:"backends"`
}

// BackendWarmStart is the part of a WarmStartState that describes one backend.
type BackendWarmStart struct {
	Backend   BackendID `json:"backend"`
	StartedAt Instant   `json:"started"` // of the incarnation that was measured
	Latency   float64   `json:"usual_ns"`
	Samples   float64   `json:"count"`
}

// decayedEstimate returns a mean as an earlier incarnation measured it, with the weight that it would have kept since.
// ok is false if it is not valid or has less weight than current.
func decayedEstimate(saved, current estimate.Mean, halfLives float64) (_ estimate.Mean, ok bool) {
	samples := min(max(saved.Count, 0), maxImportedSamples) * math.Exp2(-halfLives)
	isValid := saved.Value > 0 && saved.Value < maxImportedLatency
	return estimate.Mean{Value: saved.Value, Count: samples}, isValid && samples > current.Count
}

// ExportState returns what is known about the listed backends.
func (e *Engine) ExportState() WarmStartState {
	state := WarmStartState{Latency: e.latency.mean.Value, Samples: e.latency.mean.Count}
	for _, b := range e.endpoints {
		if b.latency.mean.Count > 0 {
			state.Backends = append(state.Backends, BackendWarmStart{
				Backend:   b.id,
				StartedAt: b.startedAt,
				Latency:   b.latency.mean.Value,
				Samples:   b.latency.mean.Count,
			})
		}
	}
	return state
}

// ImportState adopts what an earlier incarnation of the instance measured, with less weight the older it is.
// What this incarnation has measured since stays where it rests on as many samples or more. The measurements
// behind rule 4 (overload while warming up) are not adopted but made anew.
func (e *Engine) ImportState(now Instant, state WarmStartState, age time.Duration) {
	elapsed := float64(max(age, 0))
	fleet := estimate.Mean{Value: state.Latency, Count: state.Samples}
	if mean, ok := decayedEstimate(fleet, e.latency.mean, elapsed/float64(fleetHalfLife)); ok {
		e.latency.mean = mean
	}
	for _, savedBackend := range state.Backends {
		e.importBackend(savedBackend, elapsed/float64(backendHalfLife))
	}
	e.rankBackends(now)
}

// importBackend adopts the latency of a backend, unless that was started anew since.
func (e *Engine) importBackend(saved BackendWarmStart, halfLives float64) {
	b := e.backends[saved.Backend]
	if b == nil || b.startedAt != saved.StartedAt {
		return
	}
	own := estimate.Mean{Value: saved.Latency, Count: saved.Samples}
	if mean, ok := decayedEstimate(own, b.latency.mean, halfLives); ok {
		b.latency.mean = mean
	}
}
