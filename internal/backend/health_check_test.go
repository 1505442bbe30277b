package backend

import (
	"errors"
	"net/netip"
	"testing"
	"time"

	"fawnplank/internal/testutil"
	"fawnplank/policy"
)

// newHealthCheckPool returns a pool that passes on the outcome of each health check.
func newHealthCheckPool(maxConnections int, connectTimeout time.Duration) (p *Pool, outcome chan error) {
	outcome = make(chan error, 10)
	p = New(Options{
		MaxConnections:    maxConnections,
		ConnectTimeout:    connectTimeout,
		IdleTimeout:       10 * time.Second,
		HandleHealthCheck: func(_ policy.BackendID, err error) { outcome <- err },
	})
	return p, outcome
}

func TestPool_CheckHealth(t *testing.T) {
	p, outcome := newHealthCheckPool(10, 200*time.Millisecond)
	for answer, isHealthy := range map[string]bool{"+PONG\r\n": true, "-ERR busy\r\n": false, "": false} {
		address, _ := listen(t, answer)
		p.SetAddress(1, address)
		p.CheckHealth(1)
		if err := <-outcome; (err == nil) != isHealthy {
			t.Errorf("%q: %v", answer, err)
		}
	}
	p.RemoveBackend(1)
	p.CheckHealth(1)
	if err := <-outcome; err == nil {
		t.Error("a health check without an address")
	}
}

// Health checks use descriptors of the pool, not of the few that the process has set aside: as many as there
// are backends may be under way.
func TestPool_HealthChecksCountAmongConnections(t *testing.T) {
	p, outcome := newHealthCheckPool(2, 300*time.Millisecond)
	address, conns := listen(t, "")
	for b := policy.BackendID(1); b <= 3; b++ {
		p.SetAddress(b, address)
	}
	for b := policy.BackendID(1); b <= 2; b++ {
		p.CheckHealth(b)
		<-conns
	}
	p.CheckHealth(3)
	if err := <-outcome; !errors.Is(err, errConnectionLimit) {
		t.Errorf("a third health check of two: %v", err)
	}
	if _, _, err := p.acquire(1); !errors.Is(err, errConnectionLimit) {
		t.Errorf("a connection beside them: %v", err)
	}
	for range 2 {
		if err := <-outcome; err == nil {
			t.Error("a backend that does not answer is healthy")
		}
	}
	for range 2 {
		if _, _, err := p.acquire(1); err != nil {
			t.Errorf("after them: %v", err)
		}
	}
}

// TestPool_CheckHealthOfSeveralAddresses guards against a backend that gets nothing for good once it is ejected:
// the check of a backend with several addresses dialed all of them as one text, and always failed.
func TestPool_CheckHealthOfSeveralAddresses(t *testing.T) {
	p, outcome := newHealthCheckPool(10, 500*time.Millisecond)
	healthy, _ := listen(t, "+PONG\r\n")
	refusing := testutil.FreeAddress(t)
	p.SetAddresses(1, []netip.AddrPort{netip.MustParseAddrPort(refusing), netip.MustParseAddrPort(healthy)})
	p.CheckHealth(1)
	if err := <-outcome; err != nil {
		t.Errorf("one of two addresses answers: %v", err)
	}
	refusingToo := testutil.FreeAddress(t)
	p.SetAddresses(1, []netip.AddrPort{netip.MustParseAddrPort(refusing), netip.MustParseAddrPort(refusingToo)})
	p.CheckHealth(1)
	if err := <-outcome; err == nil {
		t.Error("no address answers")
	}
}
