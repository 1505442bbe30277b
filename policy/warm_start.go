package policy

import "math"

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
	StartedAt int64     `json:"started"` // of the incarnation that was measured
	Latency   float64   `json:"usual_ns"`
	Samples   float64   `json:"count"`
}

// aging says how measurements lose weight with their age. Its values are in engine.go.
type aging struct {
	fleetHalfLife, backendHalfLife int64
	maxSamples                     float64
	maxLatency                     float64 // in nanoseconds; a measurement from there on is not valid
}

// fade returns how many samples still count after so many half-lives.
func (a *aging) fade(samples, halfLives float64) float64 {
	return min(max(samples, 0), a.maxSamples) * math.Exp2(-halfLives)
}

func (a *aging) valid(latency float64) bool { return latency > 0 && latency < a.maxLatency }

// ExportState returns what is known about the listed backends.
func (e *Engine) ExportState() WarmStartState {
	state := WarmStartState{Latency: e.latency.Value, Samples: e.latency.Count}
	for _, b := range e.endpoints {
		if b.latency.Count > 0 {
			state.Backends = append(state.Backends, BackendWarmStart{
				Backend:   b.id,
				StartedAt: b.startedAt,
				Latency:   b.latency.Value,
				Samples:   b.latency.Count,
			})
		}
	}
	return state
}

// ImportState takes over what an earlier incarnation of the instance measured, aged by warmStartAging. What
// this incarnation has measured since stays where it rests on as many samples or more.
func (e *Engine) ImportState(now int64, state WarmStartState, age int64) {
	elapsed := float64(max(age, 0))
	samples := warmStartAging.fade(state.Samples, elapsed/float64(warmStartAging.fleetHalfLife))
	if samples > e.latency.Count && warmStartAging.valid(state.Latency) {
		e.latency.Value, e.latency.Count = state.Latency, samples
	}
	for _, known := range state.Backends {
		b := e.backends[known.Backend]
		samples := warmStartAging.fade(known.Samples, elapsed/float64(warmStartAging.backendHalfLife))
		if b != nil && b.startedAt == known.StartedAt && samples > b.latency.Count &&
			warmStartAging.valid(known.Latency) {
			b.latency.Value, b.latency.Count = known.Latency, samples
		}
	}
	e.rankBackends(now)
}
