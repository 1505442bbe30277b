package limitserver

import (
	"bufio"
	"fmt"
	"math"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"fawnplank/internal/counter"
	"fawnplank/internal/dispatch"
	"fawnplank/internal/testutil"
	"fawnplank/policy"
)

// bubbledGateway is a gateway in a synctest bubble whose counter client and stand-in stay outside. A
// goroutine that waits for the network never counts as durably blocked, so with them inside the bubble's
// clock would not advance at all. This way it stands only while a call's answer is awaited: to the decisions,
// each call is answered at the moment it was made, however busy the machine is.
type bubbledGateway struct {
	gateway
	settings policy.Settings
	outgoing chan counterCall
	incoming chan counterResult
	delivery sync.Mutex      // results are delivered in their order
	calls    []counterCall   // the dispatcher's lock guards it
	results  []counterResult // delivery guards it
}

type counterCall struct {
	key      policy.CounterKey
	units    float64
	lifetime time.Duration
}

type counterResult struct {
	key   policy.CounterKey
	total float64
	err   error
}

// newBubbledGateway starts the parts that stay outside the bubble.
func newBubbledGateway(t *testing.T, format counter.Format) *bubbledGateway {
	t.Helper()
	g := &bubbledGateway{outgoing: make(chan counterCall, 100), incoming: make(chan counterResult, 100)}
	g.settings = g.startEmulator(t)
	g.counter = counter.New(counter.Options{
		Address:        g.emulator.CounterAddress(0),
		ConnectTimeout: time.Minute,
		Format:         format,
	}, g)
	go func() {
		for call := range g.outgoing {
			g.counter.Add(call.key, call.units, call.lifetime)
			g.counter.Flush()
		}
	}()
	t.Cleanup(func() { close(g.outgoing) })
	return g
}

// HandleCounterResult receives the counter client's results, outside the bubble.
func (g *bubbledGateway) HandleCounterResult(key policy.CounterKey, total float64, err error) {
	g.incoming <- counterResult{key, total, err}
}

// Add is a call of the dispatcher to its counter, in the bubble.
func (g *bubbledGateway) Add(key policy.CounterKey, units float64, lifetime time.Duration) {
	call := counterCall{key, units, lifetime}
	g.calls = append(g.calls, call)
	g.outgoing <- call
	go func() {
		g.delivery.Lock()
		defer g.delivery.Unlock()
		r := <-g.incoming
		g.results = append(g.results, r)
		g.dispatcher.HandleCounterResult(r.key, r.total, r.err)
	}()
}

// Flush does nothing, because Add does not hold calls back.
func (g *bubbledGateway) Flush() {}

// enter starts the other parts in a bubble, and returns a connection to the limit commands.
func (g *bubbledGateway) enter(t *testing.T) *client {
	t.Helper()
	g.dispatcher = dispatch.New()
	listener := testutil.NewPipeListener()
	g.serve(t, g.settings, g, listener)
	conn, err := listener.Dial()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = conn.Close() // the end of the test; nobody writes any more
	})
	return &client{conn, bufio.NewReader(conn)}
}

// TestCheck_CountsAsRequestsDo sends a thousand requests through one gateway and checks them at another. Both
// make the same calls to their counters and get the same results. They get each request at the same moment of
// one clock: on the machine's clock they got it a little apart, and what was refilled in between made some
// results differ.
func TestCheck_CountsAsRequestsDo(t *testing.T) {
	for _, test := range []struct {
		format   counter.Format
		tenants  int
		interval time.Duration // from one request to the next
	}{
		{counter.Text, 17, 2 * time.Millisecond},
		{counter.RESP, 17, 2 * time.Millisecond},
		{counter.Text, 5, 20 * time.Millisecond}, // through two windows, as the next one
		{counter.RESP, 5, 20 * time.Millisecond},
	} {
		t.Run(fmt.Sprintf("format %d, %d tenants", test.format, test.tenants), func(t *testing.T) {
			forwarding, checking := newBubbledGateway(t, test.format), newBubbledGateway(t, test.format)
			synctest.Test(t, func(t *testing.T) {
				forwarding.enter(t)
				c := checking.enter(t)
				admitted := 0
				for n := range 1000 {
					if forwardAndCheck(t, forwarding, c, n, test.tenants) {
						admitted++
					}
					time.Sleep(test.interval)
				}
				time.Sleep(100 * time.Millisecond) // what was counted and rejected is reconciled
				synctest.Wait()
				compareCounters(t, forwarding, checking, admitted)
			})
		})
	}
}

// forwardAndCheck lets one gateway send request n to a backend and the other check it, and returns whether it
// was admitted.
func forwardAndCheck(t *testing.T, forwarding *bubbledGateway, checking *client, n, tenants int) bool {
	t.Helper()
	id, units := n%tenants, 1+n%3
	request := forwarding.dispatcher.Submit(dispatch.RequestSpec{
		Tenant:      policy.TenantID(id),
		Remaining:   750 * time.Millisecond,
		Units:       float64(units),
		EntryPoints: 2,
	})
	answer := checking.call(t, "LIMIT.CHECK", fmt.Sprintf("%016x", id), "despacho", fmt.Sprint(units))
	step := request.NextStep()
	isSent, isAdmitted := step.Action == dispatch.Send, strings.HasPrefix(answer, "0")
	if isSent != isAdmitted {
		t.Errorf("request %d: sent on: %t, admitted: %t (%s)", n, isSent, isAdmitted, answer)
	}
	if !isSent {
		return false
	}
	step.Attempt.Start(nil)
	time.Sleep(2 * time.Millisecond)
	step.Attempt.Report([]byte("ok"), 0, nil)
	if last := request.NextStep(); last.Action != dispatch.Respond {
		t.Errorf("request %d ended as %+v", n, last)
	}
	return true
}

// compareCounters compares the two gateways' calls to their counters.
func compareCounters(t *testing.T, forwarding, checking *bubbledGateway, admitted int) {
	t.Helper()
	sameCalls := slices.Equal(forwarding.calls, checking.calls)
	if !sameCalls || !slices.Equal(forwarding.results, checking.results) {
		t.Errorf("the counter was called otherwise: %d calls for requests, %d for checks",
			len(forwarding.calls), len(checking.calls))
	}
	for _, g := range []*bubbledGateway{forwarding, checking} {
		if stats := g.counter.Stats(); stats.Failed > 0 || int(stats.Succeeded) != len(g.calls) {
			t.Errorf("of %d calls the counter answered %d and failed %d",
				len(g.calls), stats.Succeeded, stats.Failed)
		}
	}
	// The tolerance allows for sums of floats in another order.
	sums := [2]float64{forwarding.emulator.CounterTotal(), checking.emulator.CounterTotal()}
	if admitted < 300 || admitted > 700 || math.Abs(sums[0]-sums[1]) > 1e-6 {
		t.Errorf("%d admitted; counted %v", admitted, sums)
	}
	t.Logf("%d admitted, %d calls, %.1f counted", admitted, len(forwarding.calls), sums[0])
}
