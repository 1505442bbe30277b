package main

import (
	"errors"
	"fmt"
	"path/filepath"
	"testing"
	"time"

	"fawnplank/internal/config"
)

// TestGateway_EndOfAcceptingShutsDown guards against usage that is lost: where accepting ended without a shutdown, the
// program ended with status 0 at once and closed neither the limits address nor the billing service.
func TestGateway_EndOfAcceptingShutsDown(t *testing.T) {
	address := freeAddress(t)
	file := filepath.Join(t.TempDir(), "config.json")
	writeFile(t, file, fmt.Sprintf(configuration, address, silentDiscovery(t), freeAddress(t)))
	g := &gateway{options: gatewayOptions{ConfigFile: file}}
	var err error
	if g.configuration, g.operator, err = g.loadConfiguration(config.Overlay{}); err != nil {
		t.Fatal(err)
	}
	g.operator.Limits.Listen = freeAddress(t)
	g.operator.Limits.MaxConnections = 1
	g.configuration.AddLimitClass(g.operator)
	g.resourceLimits = newResourceLimits(g.configuration)
	t.Cleanup(g.Close)
	ctx := t.Context()
	steps := errors.Join(g.startDispatcher(ctx), g.loadEndpoints(ctx), g.listen(ctx))
	if steps != nil {
		t.Fatal(steps)
	}
	g.accounts = &accounts{}
	if err := g.startLimits(ctx); err != nil {
		t.Fatal(err)
	}
	g.newServer()
	ended := make(chan error, 1)
	go func() { ended <- g.Run(ctx) }()
	if conn, err := tryDial(t, address); err != nil {
		t.Fatal(err)
	} else {
		hangUp(conn)
	}
	if err := g.listener.Close(); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-ended:
		if !errors.Is(err, errAcceptingEnded) {
			t.Errorf("Run: %v", err)
		}
	case <-time.After(connectionTimeout):
		t.Fatal("Run goes on without accepting")
	}
	if conn, err := tryDial(t, g.operator.Limits.Listen); err == nil {
		hangUp(conn)
		t.Error("the limits address still accepts")
	}
}
