package policy

import (
	"math"
	"time"

	"fawnplank/policy/internal/estimate"
)

// warmStartAging reduces the weight of what an earlier incarnation of the instance measured by as much as it
// would have faded since: a backend's own latency as in backendFadePerTick, the fleet's in ten minutes, since a
// fleet changes in the course of a day. The measurements behind rule 4 (overload while warming up) are not
// adopted but made anew.
var warmStartAging = aging{
	fleetHalfLife:   10 * time.Minute,
	backendHalfLife: 3400 * time.Millisecond,
	maxSamples:      30,
	maxLatency:      1e12,
}

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

// aging says how measurements lose weight with their age.
type aging struct {
	fleetHalfLife   time.Duration
	backendHalfLife time.Duration
	maxSamples      float64
	maxLatency      float64 // in nanoseconds; a measurement from there on is not valid
}

// fade returns how many samples still count after so many half-lives.
func (a *aging) fade(samples, halfLives float64) float64 {
	return min(max(samples, 0), a.maxSamples) * math.Exp2(-halfLives)
}

func (a *aging) valid(latency float64) bool { return latency > 0 && latency < a.maxLatency }

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

// ImportState adopts what an earlier incarnation of the instance measured, aged by warmStartAging. What
// this incarnation has measured since stays where it rests on as many samples or more.
func (e *Engine) ImportState(now Instant, state WarmStartState, age time.Duration) {
	elapsed := float64(max(age, 0))
	samples := warmStartAging.fade(state.Samples, elapsed/float64(warmStartAging.fleetHalfLife))
	if samples > e.latency.mean.Count && warmStartAging.valid(state.Latency) {
		e.latency.mean = estimate.Mean{Value: state.Latency, Count: samples}
	}
	for _, known := range state.Backends {
		b := e.backends[known.Backend]
		samples := warmStartAging.fade(known.Samples, elapsed/float64(warmStartAging.backendHalfLife))
		if b != nil && b.startedAt == known.StartedAt && samples > b.latency.mean.Count &&
			warmStartAging.valid(known.Latency) {
			b.latency.mean = estimate.Mean{Value: known.Latency, Count: samples}
		}
	}
	e.rankBackends(now)
}
