package policy

import (
	"testing"
	"time"
)

// Fault: what was remembered of backends that are gone grew for as long as new ones came.
func TestEndpoints_GoneBackendsAreDropped(t *testing.T) {
	h := newHarnessWithoutCounter(t, readyEndpoints(1)...)
	held := h.submit(1, 0, 0, 1, 2*time.Second, 1)
	for n := BackendID(2); n < 3000; n++ {
		if n%2 == 0 {
			h.updateEndpoints(Delta, Endpoint{Backend: n, State: EndpointReady, StartedAt: h.now},
				Endpoint{Backend: n - 1, State: EndpointGone})
		} else {
			h.updateEndpoints(FullSnapshot, Endpoint{Backend: n, State: EndpointReady, StartedAt: h.now})
		}
		if n%200 == 0 {
			h.advance(100 * time.Millisecond)
		}
	}
	known, listed := len(h.engine.backends), len(h.engine.endpoints)
	if listed > 210 || known != listed || h.engine.backends[1] == nil {
		t.Errorf("%d backends are kept, %d of them listed", known, listed)
	}
	h.endAttempt(held, 0, Succeeded)
	if h.advance(100 * time.Millisecond); h.engine.backends[1] != nil {
		t.Error("one that is gone and has nothing in flight is kept")
	}
}

// TestEndpoints_StartListedAsDrainingIsNewIncarnation guards against an ejection that outlives its backend: a new start
// that was first listed as draining was not taken for a new incarnation once it was ready.
func TestEndpoints_StartListedAsDrainingIsNewIncarnation(t *testing.T) {
	h := newHarnessWithoutCounter(t, readyEndpoints(1)...)
	request := h.submit(1, 0, 0, 1, 2*time.Second, 1)
	h.endAttempt(request, 0, ConnectFailed)
	if h.engine.backends[1].outlier.ejections == 0 {
		t.Fatal("not ejected")
	}
	restarted := Endpoint{Backend: 1, State: EndpointDraining, Weight: 1, StartedAt: h.now}
	h.updateEndpoints(Delta, restarted)
	restarted.State = EndpointReady
	h.updateEndpoints(Delta, restarted)
	if got := h.engine.backends[1].outlier; got != (outlierState{}) {
		t.Errorf("the new incarnation has the old one's state: %+v", got)
	}
}
