package dispatch

import (
	"math/rand"
	"testing"
	"testing/quick"
	"time"

	"fawnplank/policy"
)

// TestRequest_EndsOnceWithinItsTimeout submits requests to a network that fails by chance, while their
// clients leave and backends drain.
func TestRequest_EndsOnceWithinItsTimeout(t *testing.T) {
	holds := func(seed int64) bool {
		withNetwork(t, seed, testSettings, func(n *fakeNetwork) {
			for number := range 60 {
				submitRandom(n, number)
				time.Sleep(time.Duration(n.script.Intn(30)) * time.Millisecond)
				if n.script.Intn(15) == 0 {
					state := policy.EndpointState(n.script.Intn(2))
					n.updateEndpoints(policy.Delta,
						policy.Endpoint{Backend: policy.BackendID(1 + n.script.Intn(2)), State: state})
				}
			}
			time.Sleep(5 * time.Second)
			if open := n.dispatcher.RequestsInFlight(); open > 0 {
				t.Errorf("%d requests are still in flight", open)
			}
		})
		return !t.Failed()
	}
	if err := quick.Check(holds, &quick.Config{MaxCount: 40, Rand: rand.New(rand.NewSource(4))}); err != nil {
		t.Error(err)
	}
}

// submitRandom submits a request, and has it served and its end checked. One client in ten leaves.
func submitRandom(n *fakeNetwork, number int) {
	timeout := time.Duration(1+n.script.Intn(1500)) * time.Millisecond
	class := policy.ClassID(n.script.Intn(2))
	request := n.dispatcher.Submit(RequestSpec{Class: class, Plan: policy.PlanID(n.script.Intn(2)),
		Tenant: policy.TenantID(number % 3), Remaining: timeout, Units: 1, EntryPoints: 1})
	clientLeaves := n.script.Intn(10) == 0
	attempts := n.randomAttempts()
	go checkEnd(n.t, request, timeout, clientLeaves, attempts)
	if clientLeaves {
		time.AfterFunc(timeout/2, request.HandleClientGone)
	}
}

// checkEnd serves a request and checks its final step.
func checkEnd(t *testing.T, request *Request, timeout time.Duration, clientLeaves bool,
	attempts *randomAttempts) {
	t.Helper()
	submitted := time.Now()
	step := serve(request, attempts.carryOut)
	if elapsed := time.Since(submitted); elapsed > timeout+time.Millisecond {
		t.Errorf("answered after %v of %v", elapsed, timeout)
	}
	if request.class == 1 && step.Action == Reject && attempts.mayHaveRun.Load() > 0 {
		t.Error("rejected a non-idempotent request that may have run")
	}
	if step.Action == Respond && string(step.Response) != "value" || step.Action == Discard && !clientLeaves {
		t.Errorf("ended as %+v", step)
	}
	select {
	case further := <-request.steps:
		t.Errorf("a step %+v after the last", further)
	case <-time.After(3 * time.Second):
	}
}

// TestRequest_WithoutTimeLeftEndsAtOnce: a request whose time was over before it was handled is answered at once
// and not sent.
func TestRequest_WithoutTimeLeftEndsAtOnce(t *testing.T) {
	for _, timeout := range []time.Duration{0, -time.Second} {
		withNetwork(t, 1, testSettings, func(n *fakeNetwork) {
			began := time.Now()
			request := n.submit(0, timeout)
			if step := request.NextStep(); step.Action != Reject && step.Action != Abort {
				t.Errorf("%v: %v", timeout, step.Action)
			}
			if took := time.Since(began); took > 0 {
				t.Errorf("%v: answered after %v", timeout, took)
			}
		})
	}
}
