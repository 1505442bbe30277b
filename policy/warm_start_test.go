package policy

import (
	"math"
	"testing"
	"time"
)

// TestImportState_WeighsMeasurementsByAge checks that measurements of an earlier incarnation have their full weight at
// age 0 and hardly any after hours. Those of a backend that has restarted since are not imported, and neither are the
// measurements that rule 4 depends on.
func TestImportState_WeighsMeasurementsByAge(t *testing.T) {
	previous := newHarness(t, defaultSettings(), readyEndpoints(1, 2, 3)...)
	for n := range 60 {
		request := previous.submit(RequestID(n), 0, 0, TenantID(n), 2*time.Second, 1)
		previous.answerAllCounterCalls(Succeeded)
		previous.advance(20 * time.Millisecond)
		if len(request.attempts) > 0 {
			previous.endAttempt(request, 0, Succeeded)
		}
	}
	state := previous.engine.ExportState()
	if len(state.Backends) < 2 || state.Latency < 15e6 || state.Latency > 30e6 {
		t.Fatalf("%+v", state)
	}
	for age, want := range map[time.Duration]float64{0: 1, 600 * time.Second: 0.5, 6 * 3600 * time.Second: 1e-9} {
		h := newHarness(t, defaultSettings(), readyEndpoints(1, 2)...)
		h.updateEndpoints(Delta,
			Endpoint{Backend: 3, Weight: 1, State: EndpointReady, StartedAt: h.now.Add(-60 * time.Second)})
		h.engine.ImportState(h.now, state, age)
		if got := h.engine.latency.mean.Count / state.Samples; math.Abs(got-want) > 0.01 {
			t.Errorf("after %d s the fleet's latency has %.4f of its weight, want %.4f", age/time.Second, got, want)
		}
		if own := h.engine.backends[1].latency.mean.Count; (age == 0) != (own > 0.5) {
			t.Errorf("after %d s a backend's own latency has the weight of %.4f answers", age/time.Second, own)
		}
		if h.engine.backends[3].latency.mean.Count != 0 {
			t.Error("the latency of a restarted backend was imported")
		}
		baseline := h.engine.latency.baseline
		if baseline.Value != 0 || baseline.Count != 0 || h.engine.throughput.peakPerBackend != 0 {
			t.Error("the slow-start budget depends on measurements of an earlier incarnation")
		}
	}
	h := newHarness(t, defaultSettings(), readyEndpoints(1, 2, 3)...)
	h.engine.ImportState(h.now, WarmStartState{
		Latency:  math.NaN(),
		Samples:  1e9,
		Backends: []BackendWarmStart{{Backend: 1, Latency: -4, Samples: 9}, {Backend: 99}},
	}, -5)
	if h.engine.latency.mean.Count != 0 || h.engine.backends[1].latency.mean.Count != 0 {
		t.Error("values out of range were imported")
	}
}
