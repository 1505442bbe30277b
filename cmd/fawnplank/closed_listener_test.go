package main

import (
	"errors"
	"fmt"
	"path/filepath"
	"testing"
	"time"

	"fawnplank/internal/config"
)

// TestGateway_ClosedListenerShutsDown guards against lost usage reports: when the client listener failed outside of a
// shutdown, the program exited at once with status 0 and closed neither the limits listener nor the billing service.
func TestGateway_ClosedListenerShutsDown(t *testing.T) {
	address := freeAddress(t)
	file := filepath.Join(t.TempDir(), "config.json")
	writeFile(t, file, fmt.Sprintf(configuration, address, unresponsiveDiscovery(t), freeAddress(t)))
	g := &gateway{options: gatewayOptions{ConfigFile: file}}
	var err error
	if g.configuration, g.operator, err = g.loadConfiguration(config.Overlay{}); err != nil {
		t.Fatal(err)
	}
	g.operator.LimitCommands.Listen = freeAddress(t)
	g.operator.LimitCommands.MaxConnections = 1
	g.configuration.AddCheckOnlyClass(g.operator)
	g.resourceLimits = newResourceLimits(g.configuration)
	g.newObservers()
	t.Cleanup(g.Close)
	ctx := t.Context()
	startErr := errors.Join(g.startDispatcher(ctx), g.loadEndpoints(ctx), g.listen(ctx))
	if startErr != nil {
		t.Fatal(startErr)
	}
	if err := g.startLimits(ctx); err != nil {
		t.Fatal(err)
	}
	g.newServer()
	ended := make(chan error, 1)
	go func() { ended <- g.Run(ctx) }()
	if conn, err := tryDial(t, address); err != nil {
		t.Fatal(err)
	} else {
		closeIgnoringError(conn)
	}
	if err := g.listener.Close(); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-ended:
		if !errors.Is(err, errAcceptingEnded) {
			t.Errorf("Run returned %v, want errAcceptingEnded", err)
		}
	case <-time.After(connectionTimeout):
		t.Fatal("Run did not return after its listener was closed")
	}
	if conn, err := tryDial(t, g.operator.LimitCommands.Listen); err == nil {
		closeIgnoringError(conn)
		t.Error("the limits address still accepts connections")
	}
}
