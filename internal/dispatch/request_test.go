package dispatch

import (
	"math/rand"
	"testing"
	"testing/quick"
	"time"

	"fawnplank/policy"
)

// TestRequest_FinishesOnceWithinTimeout submits requests to a network with random failures, while clients disconnect
// and backends drain.
func TestRequest_FinishesOnceWithinTimeout(t *testing.T) {
	property := func(seed int64) bool {
		withFakeNetwork(t, seed, testSettings, func(n *fakeNetwork) {
			for number := range 60 {
				submitRandomRequest(n, number)
				time.Sleep(time.Duration(n.scenarioRand.Intn(30)) * time.Millisecond)
				if n.scenarioRand.Intn(15) == 0 {
					state := policy.EndpointState(n.scenarioRand.Intn(2))
					n.updateEndpoints(policy.Delta,
						policy.Endpoint{Backend: policy.BackendID(1 + n.scenarioRand.Intn(2)), State: state})
				}
			}
			time.Sleep(5 * time.Second)
			if inFlight := n.dispatcher.RequestsInFlight(); inFlight > 0 {
				t.Errorf("%d requests are still in flight", inFlight)
			}
		})
		return !t.Failed()
	}
	if err := quick.Check(property, &quick.Config{MaxCount: 40, Rand: rand.New(rand.NewSource(4))}); err != nil {
		t.Error(err)
	}
}

// submitRandomRequest submits a random request, serves it and checks its final step. One client in ten disconnects.
func submitRandomRequest(n *fakeNetwork, number int) {
	timeout := time.Duration(1+n.scenarioRand.Intn(1500)) * time.Millisecond
	class := policy.ClassID(n.scenarioRand.Intn(2))
	request := n.dispatcher.Submit(RequestSpec{Class: class, Plan: policy.PlanID(n.scenarioRand.Intn(2)),
		Tenant: policy.TenantID(number % 3), Remaining: timeout, Units: 1, EntryPoints: 1})
	clientDisconnects := n.scenarioRand.Intn(10) == 0
	attempts := n.randomAttempts()
	go checkFinalStep(n.t, request, timeout, clientDisconnects, attempts)
	if clientDisconnects {
		time.AfterFunc(timeout/2, request.HandleClientGone)
	}
}

// checkFinalStep serves a request and checks its final step.
func checkFinalStep(t *testing.T, request *Request, timeout time.Duration, clientDisconnects bool,
	attempts *randomAttempts) {
	t.Helper()
	submittedAt := time.Now()
	step := serve(request, attempts.run)
	if elapsed := time.Since(submittedAt); elapsed > timeout+time.Millisecond {
		t.Errorf("answered after %v, with a timeout of %v", elapsed, timeout)
	}
	if request.class == 1 && step.Action == Reject && attempts.mayHaveRun.Load() > 0 {
		t.Error("rejected a non-idempotent request that may have run")
	}
	if step.Action == Respond && string(step.Response) != "value" || step.Action == Discard && !clientDisconnects {
		t.Errorf("unexpected final step %+v", step)
	}
	select {
	case extra := <-request.pendingAttempts:
		t.Errorf("attempt %+v after the final step", extra)
	case <-time.After(3 * time.Second):
	}
}

// TestRequest_WithoutTimeLeftIsAnsweredImmediately checks that a request whose deadline passed before it was
// submitted is answered immediately and not sent.
func TestRequest_WithoutTimeLeftIsAnsweredImmediately(t *testing.T) {
	for _, timeout := range []time.Duration{0, -time.Second} {
		withFakeNetwork(t, 1, testSettings, func(n *fakeNetwork) {
			submittedAt := time.Now()
			request := n.submit(0, timeout)
			if step := request.NextStep(); step.Action != Reject && step.Action != Abort {
				t.Errorf("timeout %v: action %v, want a rejection or an abort", timeout, step.Action)
			}
			if elapsed := time.Since(submittedAt); elapsed > 0 {
				t.Errorf("timeout %v: answered after %v, want immediately", timeout, elapsed)
			}
		})
	}
}
