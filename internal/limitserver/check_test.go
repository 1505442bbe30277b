package limitserver

import (
	"strings"
	"testing"
	"time"

	"fawnplank/internal/counter"
)

// TestCheck_DrawsFromTheHardQuota holds that a check draws from the tenant's hard quota, as a request that is
// sent to a backend does (rule 5).
func TestCheck_DrawsFromTheHardQuota(t *testing.T) {
	g := startGateway(t, counter.Text)
	c, admitted := g.dial(t), 0
	for range 200 {
		if strings.HasPrefix(c.call(t, "LIMIT.CHECK", tenant, "capped"), "0") {
			admitted++
		}
		time.Sleep(5 * time.Millisecond)
	}
	if admitted > 2 { // half of one a second: this instance's part, from its start on
		t.Errorf("%d admitted in a second, of a hard quota of 1 a second over two instances", admitted)
	}
}

// TestPeek_SeesTheChecksBeforeIt holds that a peek sees the ten checks before it in its pipeline.
func TestPeek_SeesTheChecksBeforeIt(t *testing.T) {
	g := startGateway(t, counter.Text)
	c := g.dial(t)
	var pipeline []byte
	for range 10 {
		pipeline = append(pipeline, command("LIMIT.CHECK", tenant, "despacho")...)
	}
	c.send(t, append(pipeline, command("LIMIT.PEEK", tenant, "despacho")...))
	last := ""
	for range 11 {
		last = c.receive(t)
	}
	if !strings.HasPrefix(last, "0 50 40 ") {
		t.Errorf("%q", last)
	}
}

// TestCheck_UsesLocalShareWithoutCounter holds that a check without a counter is answered in time, by the
// instance's local share.
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
	if admitted < 20 || admitted > 30 { // half of 50, and a little that refills
		t.Errorf("%d admitted of a share of 25", admitted)
	}
}
