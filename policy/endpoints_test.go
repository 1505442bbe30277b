package policy

import (
	"testing"
	"time"
)

// TestEndpoints_GoneBackendsAreDropped guards against a fault: the state of backends that were gone was never dropped,
// and grew with every new backend.
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
		t.Errorf("%d backends by id and %d in the list, want the same and at most 210, with backend 1 among them",
			known, listed)
	}
	h.endAttempt(held, 0, Succeeded)
	if h.advance(100 * time.Millisecond); h.engine.backends[1] != nil {
		t.Error("a backend that is gone and has no attempt in flight was not dropped")
	}
}

// TestEndpoints_StartListedAsDrainingIsNewIncarnation guards against a fault: an ejection outlived its backend. A new
// start time that was first listed as draining did not count as a new incarnation once the backend was ready.
func TestEndpoints_StartListedAsDrainingIsNewIncarnation(t *testing.T) {
	h := newHarnessWithoutCounter(t, readyEndpoints(1)...)
	request := h.submit(1, 0, 0, 1, 2*time.Second, 1)
	h.endAttempt(request, 0, ConnectFailed)
	if h.engine.backends[1].outlier.ejections == 0 {
		t.Fatal("the backend was not ejected after a failed connection")
	}
	restarted := Endpoint{Backend: 1, State: EndpointDraining, Weight: 1, StartedAt: h.now}
	h.updateEndpoints(Delta, restarted)
	restarted.State = EndpointReady
	h.updateEndpoints(Delta, restarted)
	if got := h.engine.backends[1].outlier; got != (outlierState{}) {
		t.Errorf("the new incarnation has the outlier state of the old one: %+v", got)
	}
}
