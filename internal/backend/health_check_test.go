package backend

import (
	"errors"
	"net/netip"
	"testing"
	"time"

	"fawnplank/internal/testutil"
	"fawnplank/policy"
)

// newHealthCheckPool returns a pool and a channel that receives the outcome of each health check.
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
		address, _ := startBackend(t, answer)
		p.SetAddress(1, address)
		p.CheckHealth(1)
		if err := <-outcome; (err == nil) != isHealthy {
			t.Errorf("%q: %v", answer, err)
		}
	}
	p.RemoveBackend(1)
	p.CheckHealth(1)
	if err := <-outcome; err == nil {
		t.Error("a health check of a backend without an address succeeded")
	}
}

// TestPool_HealthChecksCountAsConnections checks that health checks count towards MaxConnections. There may be as many
// at once as there are backends, which exceeds the few descriptors that the process reserves.
func TestPool_HealthChecksCountAsConnections(t *testing.T) {
	p, outcome := newHealthCheckPool(2, 300*time.Millisecond)
	address, conns := startBackend(t, "")
	for backend := policy.BackendID(1); backend <= 3; backend++ {
		p.SetAddress(backend, address)
	}
	for backend := policy.BackendID(1); backend <= 2; backend++ {
		p.CheckHealth(backend)
		<-conns
	}
	p.CheckHealth(3)
	if err := <-outcome; !errors.Is(err, errConnectionLimit) {
		t.Errorf("health check beyond MaxConnections: %v, want errConnectionLimit", err)
	}
	if _, _, err := p.acquire(1); !errors.Is(err, errConnectionLimit) {
		t.Errorf("connection beyond MaxConnections: %v, want errConnectionLimit", err)
	}
	for range 2 {
		if err := <-outcome; err == nil {
			t.Error("a backend that does not answer passed its health check")
		}
	}
	for range 2 {
		if _, _, err := p.acquire(1); err != nil {
			t.Errorf("connection after the health checks: %v", err)
		}
	}
}

// TestPool_CheckHealthWithSeveralAddresses guards against an ejection that never ends: the health check of a backend
// with several addresses dialed all of them as one text and therefore always failed.
func TestPool_CheckHealthWithSeveralAddresses(t *testing.T) {
	p, outcome := newHealthCheckPool(10, 500*time.Millisecond)
	healthy, _ := startBackend(t, "+PONG\r\n")
	refusing := testutil.FreeAddress(t)
	p.SetAddresses(1, []netip.AddrPort{netip.MustParseAddrPort(refusing), netip.MustParseAddrPort(healthy)})
	p.CheckHealth(1)
	if err := <-outcome; err != nil {
		t.Errorf("health check with one of two addresses answering: %v", err)
	}
	otherRefusing := testutil.FreeAddress(t)
	p.SetAddresses(1, []netip.AddrPort{netip.MustParseAddrPort(refusing), netip.MustParseAddrPort(otherRefusing)})
	p.CheckHealth(1)
	if err := <-outcome; err == nil {
		t.Error("health check succeeded although no address answers")
	}
}
