package policy

import (
	"math"
	"time"

	"fawnplank/policy/internal/estimate"
)

const (
	// fleetHalfLife is the age at which the weight of an imported fleet latency is halved: a fleet changes over the
	// course of a day.
	fleetHalfLife = 10 * time.Minute
	// backendHalfLife is the age at which the weight of a backend's own latency is halved, which is the half-life that
	// backendDecayPerTick gives it.
	backendHalfLife = 3400 * time.Millisecond
	// maxImportedSamples bounds the weight of an imported latency, in answers.
	maxImportedSamples = 30
	// maxImportedLatency is the latency at and above which an imported measurement is invalid, in nanoseconds.
	maxImportedLatency = float64(1000 * time.Second)
)

// WarmStartState holds the latencies that an instance has measured, for its next incarnation to start with.
type WarmStartState struct {
	Latency  float64            `json:"usual_ns"` // mean of all backends together
	Samples  float64            `json:"count"`    // number of answers that the latency is based on
	Backends []BackendWarmStart `json:"backends"`
}

// BackendWarmStart is the part of a WarmStartState that describes one backend.
type BackendWarmStart struct {
	Backend   BackendID `json:"backend"`
	StartedAt Instant   `json:"started"` // of the incarnation that was measured
	Latency   float64   `json:"usual_ns"`
	Samples   float64   `json:"count"`
}

// decayedEstimate returns the mean that an earlier incarnation saved, with its weight decayed by a number of
// half-lives. ok is false if the saved mean is invalid or its weight does not exceed that of current.
func decayedEstimate(saved, current estimate.Mean, halfLives float64) (_ estimate.Mean, ok bool) {
	samples := min(max(saved.Count, 0), maxImportedSamples) * math.Exp2(-halfLives)
	isValid := saved.Value > 0 && saved.Value < maxImportedLatency
	return estimate.Mean{Value: saved.Value, Count: samples}, isValid && samples > current.Count
}

// ExportState returns the latencies of the fleet and of the backends.
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

// ImportState imports the latencies that an earlier incarnation of the instance measured, with a weight that decays
// with their age. Latencies that this incarnation has measured from at least as many samples are kept. The
// measurements that rule 4 (overload while warming up) depends on are not imported but made anew.
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

// importBackend imports the latency of a backend, unless the backend is unknown or has restarted since.
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
