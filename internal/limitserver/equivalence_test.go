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

// synctestGateway is a gateway in a synctest bubble whose counter client and emulated counter run outside the bubble.
// A goroutine that waits for the network is never durably blocked, so if they ran inside, the bubble's clock would not
// advance at all. Outside, they stop the clock only while the result of a counter call is pending. On the clock that
// the dispatcher uses, each call therefore has its result at the time of the call, however loaded the machine is.
type synctestGateway struct {
	gateway
	settings        policy.Settings
	outgoingCalls   chan counterCall
	incomingResults chan counterResult
	deliveryMu      sync.Mutex      // held while a result is delivered, to keep the results in order
	calls           []counterCall   // guarded by the dispatcher's lock
	results         []counterResult // guarded by deliveryMu
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

// newSynctestGateway starts the counter client and the emulated counter, outside the bubble.
func newSynctestGateway(t *testing.T, format counter.Format) *synctestGateway {
	t.Helper()
	g := &synctestGateway{outgoingCalls: make(chan counterCall, 100), incomingResults: make(chan counterResult, 100)}
	g.settings = g.startEmulator(t)
	g.counter = counter.New(counter.Options{
		Address:        g.emulator.CounterAddress(0),
		ConnectTimeout: time.Minute,
		Format:         format,
	}, g)
	go func() {
		for call := range g.outgoingCalls {
			g.counter.Add(call.key, call.units, call.lifetime)
			g.counter.Flush()
		}
	}()
	t.Cleanup(func() { close(g.outgoingCalls) })
	return g
}

// HandleCounterResult passes a result of the counter client into the bubble. It is called outside the bubble.
func (g *synctestGateway) HandleCounterResult(key policy.CounterKey, total float64, err error) {
	g.incomingResults <- counterResult{key, total, err}
}

// Add passes a counter call of the dispatcher out of the bubble, and starts a goroutine in the bubble that delivers the
// result.
func (g *synctestGateway) Add(key policy.CounterKey, units float64, lifetime time.Duration) {
	call := counterCall{key, units, lifetime}
	g.calls = append(g.calls, call)
	g.outgoingCalls <- call
	go func() {
		g.deliveryMu.Lock()
		defer g.deliveryMu.Unlock()
		r := <-g.incomingResults
		g.results = append(g.results, r)
		g.dispatcher.HandleCounterResult(r.key, r.total, r.err)
	}()
}

// Flush does nothing, because Add does not buffer calls.
func (g *synctestGateway) Flush() {}

// startInBubble starts the dispatcher and the server in the bubble, and returns a connection to the server.
func (g *synctestGateway) startInBubble(t *testing.T) *client {
	t.Helper()
	g.dispatcher = dispatch.New()
	listener := testutil.NewPipeListener()
	g.serve(t, g.settings, g, listener)
	conn, err := listener.Dial()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = conn.Close() // the test has ended, and no more commands are sent
	})
	return &client{conn, bufio.NewReader(conn)}
}

// TestCheck_CountsLikeForwardedRequest submits a thousand requests to one gateway and sends the equivalent checks to
// another. Both gateways must make the same calls to their counters and get the same results. Both receive each request
// at the same time of a synctest clock. On the machine's clock the times differed slightly, and the units refilled in
// between changed some results.
func TestCheck_CountsLikeForwardedRequest(t *testing.T) {
	for _, test := range []struct {
		format   counter.Format
		tenants  int
		interval time.Duration // from one request to the next
	}{
		{counter.Text, 17, 2 * time.Millisecond},
		{counter.RESP, 17, 2 * time.Millisecond},
		{counter.Text, 5, 20 * time.Millisecond}, // this case and the next extend over two windows
		{counter.RESP, 5, 20 * time.Millisecond},
	} {
		t.Run(fmt.Sprintf("format %d, %d tenants", test.format, test.tenants), func(t *testing.T) {
			forwarding, checking := newSynctestGateway(t, test.format), newSynctestGateway(t, test.format)
			synctest.Test(t, func(t *testing.T) {
				forwarding.startInBubble(t)
				c := checking.startInBubble(t)
				admitted := 0
				for n := range 1000 {
					if forwardAndCheck(t, forwarding, c, n, test.tenants) {
						admitted++
					}
					time.Sleep(test.interval)
				}
				time.Sleep(100 * time.Millisecond) // the units that were counted for rejected requests are reconciled
				synctest.Wait()
				compareCounters(t, forwarding, checking, admitted)
			})
		})
	}
}

// forwardAndCheck submits request n to one gateway, which sends it to a backend if it is admitted, and the equivalent
// check to the other gateway. It returns whether the request was admitted.
func forwardAndCheck(t *testing.T, forwarding *synctestGateway, checking *client, n, tenants int) bool {
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
		t.Errorf("request %d: sent to a backend: %t; check admitted: %t (%s)", n, isSent, isAdmitted, answer)
	}
	if !isSent {
		return false
	}
	step.Attempt.Start(nil)
	time.Sleep(2 * time.Millisecond)
	step.Attempt.Report([]byte("ok"), 0, nil)
	if last := request.NextStep(); last.Action != dispatch.Respond {
		t.Errorf("request %d: last step %+v, want a response", n, last)
	}
	return true
}

// compareCounters checks that both gateways made the same calls to their counters, with the same results.
func compareCounters(t *testing.T, forwarding, checking *synctestGateway, admitted int) {
	t.Helper()
	sameCalls := slices.Equal(forwarding.calls, checking.calls)
	if !sameCalls || !slices.Equal(forwarding.results, checking.results) {
		t.Errorf("the counter calls or their results differ: %d calls for requests, %d for checks",
			len(forwarding.calls), len(checking.calls))
	}
	for _, g := range []*synctestGateway{forwarding, checking} {
		if stats := g.counter.Stats(); stats.Failed > 0 || int(stats.Succeeded) != len(g.calls) {
			t.Errorf("%d counter calls: %d answered, %d failed",
				len(g.calls), stats.Succeeded, stats.Failed)
		}
	}
	// The tolerance allows for floating-point sums in another order.
	sums := [2]float64{forwarding.emulator.CounterTotal(), checking.emulator.CounterTotal()}
	if admitted < 300 || admitted > 700 || math.Abs(sums[0]-sums[1]) > 1e-6 {
		t.Errorf("%d requests admitted; counter totals %v", admitted, sums)
	}
	t.Logf("%d requests admitted, %d counter calls, counter total %.1f", admitted, len(forwarding.calls), sums[0])
}
