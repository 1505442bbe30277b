package frontend

import (
	"context"
	"errors"
	"testing"
	"time"
)

// The attempt's connection is not cut under the backend, which may be giving a long response, but ends once
// it has been silent for 3 s.
func TestConnection_ClientHangUpDetectedDuringAttempt(t *testing.T) {
	h := newHarness(t, harnessOptions{})
	c, attempt := h.openRequest("1")
	c.close()
	for deadline := time.Now().Add(4 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		closedByGateway := h.isClosedByGateway(attempt.conn)
		if closedByGateway && h.dispatcher.OpenRequests() == 0 && h.server.OpenConnections() == 0 {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("attempt's connection ended: %t, %d requests open, %d connections",
				closedByGateway, h.dispatcher.OpenRequests(), h.server.OpenConnections())
		}
	}
}

// At the end connections close between requests, and what was submitted is answered.
func TestServer_ShutdownAnswersPendingRequests(t *testing.T) {
	h := newHarness(t, harnessOptions{})
	c, attempt := h.openRequest("1")
	idle := h.dial()
	h.waitUntil("both connections are open", func() bool { return h.server.OpenConnections() >= 2 })
	if err := h.listener.Close(); err != nil {
		t.Error(err)
	}
	shutdown := make(chan error, 1)
	go func() { shutdown <- h.server.Shutdown(t.Context()) }()
	idle.expectClosed("an idle connection")
	attempt.respond(okBackendResponse)
	c.expect(okClientResponse)
	c.expectClosed("after the last response")
	h.waitUntil("all connections have ended", func() bool { return h.server.OpenConnections() == 0 })
	if err := <-shutdown; err != nil {
		t.Errorf("Shutdown: %v", err)
	}
}

// Shutdown waits for the listener's end and for the last connection's, but no longer than its context lasts.
func TestServer_ShutdownReturnsWhenContextEnds(t *testing.T) {
	h := newHarness(t, harnessOptions{})
	h.waitUntil("it serves", h.server.serving.Load)
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	if err := h.server.Shutdown(canceled); !errors.Is(err, context.Canceled) {
		t.Errorf("while it accepts connections: %v", err)
	}
	client, attempt := h.openRequest("1")
	if err := h.listener.Close(); err != nil {
		t.Error(err)
	}
	h.waitUntil("no more is accepted", func() bool { return !h.server.serving.Load() })
	if err := h.server.Shutdown(canceled); !errors.Is(err, context.Canceled) {
		t.Errorf("while a request is open: %v", err)
	}
	attempt.respond(okBackendResponse)
	client.expect(okClientResponse)
	if err := h.server.Shutdown(t.Context()); err != nil || h.server.OpenConnections() != 0 {
		t.Errorf("at its end: %v, %d connections", err, h.server.OpenConnections())
	}
}

// A draining server answers PING with an error at once, serves open connections for a while, then closes them
// as they become idle, the one with a request after its response; Resume brings PONG back.
func TestServer_DrainClosesConnectionsBetweenRequests(t *testing.T) {
	h := newHarness(t, harnessOptions{})
	busy, idle := h.dial(), h.dial()
	h.server.Drain()
	h.server.Drain() // again: the drain goes on from its first call
	start := time.Now()
	idle.send(respCommand("PING"))
	idle.expectLine(`-ERR draining`)
	busy.send(queryCommand("1", lookupFields))
	h.nextAttempt().respond(okBackendResponse)
	busy.expect(okClientResponse) // open connections are still served
	idle.expectClosed("an idle connection of a draining server")
	if elapsed := time.Since(start); elapsed < drainDelay || elapsed > drainDelay+time.Second {
		t.Errorf("the idle connection was closed after %v", elapsed)
	}
	busy.expectClosed("the other connection")
	h.server.Resume()
	h.server.Resume() // without a drain: nothing
	resumed := h.dial()
	resumed.ping()
	time.Sleep(drainDelay + 2*sweepInterval)
	resumed.ping()
}

// TestServer_ResumeKeepsNewConnection: a connection that is new when a drain ends has the usual time for its
// first command. Failure: it was ended after newConnectionGrace.
func TestServer_ResumeKeepsNewConnection(t *testing.T) {
	h := newHarness(t, harnessOptions{})
	h.server.Drain()
	time.Sleep(drainDelay)
	client := h.dial()
	h.onlyConnection()
	h.server.shutDownConnections()
	h.server.Resume()
	time.Sleep(2 * newConnectionGrace)
	client.ping()
}

// TestServer_SecondDrainHasFullDelay: a drain that begins after another has ended has its full time, and ends
// the connections.
func TestServer_SecondDrainHasFullDelay(t *testing.T) {
	h := newHarness(t, harnessOptions{})
	client := h.dial()
	client.ping()
	h.server.Drain()
	time.Sleep(drainDelay - 2*sweepInterval)
	h.server.Resume()
	h.server.Drain()
	start := time.Now()
	client.expectClosed("an idle connection")
	if elapsed := time.Since(start); elapsed < drainDelay || elapsed > drainDelay+time.Second {
		t.Errorf("closed after %v", elapsed)
	}
}
