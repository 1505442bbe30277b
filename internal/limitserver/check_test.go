package limitserver

import (
	"strings"
	"testing"
	"time"

	"fawnplank/internal/counter"
)

// TestCheck_ConsumesHardQuota checks that a check consumes the tenant's hard quota, as a request that is sent to a
// backend does (rule 5 of package internal/lab/invariants).
func TestCheck_ConsumesHardQuota(t *testing.T) {
	g := startGateway(t, counter.Text)
	c, admitted := g.dial(t), 0
	for range 200 {
		if strings.HasPrefix(c.call(t, "LIMIT.CHECK", tenant, "capped"), "0") {
			admitted++
		}
		time.Sleep(5 * time.Millisecond)
	}
	if admitted > 2 { // this instance's part of the rate is 0.5 per second, also just after its start
		t.Errorf("%d checks admitted in a second, with a hard quota of 1 per second for two instances", admitted)
	}
}

// TestPeek_ReflectsEarlierChecksOfPipeline checks that the answer to a peek includes the units of the ten checks before
// it in the same pipeline.
func TestPeek_ReflectsEarlierChecksOfPipeline(t *testing.T) {
	g := startGateway(t, counter.Text)
	c := g.dial(t)
	var pipeline []byte
	for range 10 {
		pipeline = append(pipeline, encodeCommand("LIMIT.CHECK", tenant, "despacho")...)
	}
	c.send(t, append(pipeline, encodeCommand("LIMIT.PEEK", tenant, "despacho")...))
	last := ""
	for range 11 {
		last = c.receive(t)
	}
	if !strings.HasPrefix(last, "0 50 40 ") {
		t.Errorf("%q", last)
	}
}

// TestCheck_UsesLocalShareWithoutCounter checks that, while the counter is unavailable, a check is answered in time and
// is admitted or rejected by the instance's local share of the quota.
func TestCheck_UsesLocalShareWithoutCounter(t *testing.T) {
	g := startGateway(t, counter.RESP)
	c := g.dial(t)
	if got := c.call(t, "LIMIT.CHECK", tenant, "despacho"); !strings.HasPrefix(got, "0 50 49") {
		t.Error(got)
	}
	g.emulator.Close()
	admitted := 0
	for n := range 60 {
		start := time.Now()
		if strings.HasPrefix(c.call(t, "LIMIT.CHECK", tenant, "despacho", "1", "2", "0"), "0") {
			admitted++
		}
		if took := time.Since(start); took > 500*time.Millisecond {
			t.Errorf("check %d took %v", n, took)
		}
	}
	if admitted < 20 || admitted > 30 { // half of 50, and the units that refill meanwhile
		t.Errorf("%d checks of 1 unit admitted, with a local share of 25 units", admitted)
	}
}
