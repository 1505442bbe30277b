package frontend

import (
	"context"
	"errors"
	"testing"
	"time"
)

// When a client hangs up during an attempt, the connection to the backend is not closed at once, because the backend
// may be sending a long response. It is closed once the backend has been silent for 3 s.
func TestConnection_ClientHangUpDetectedDuringAttempt(t *testing.T) {
	h := newHarness(t, harnessOptions{})
	c, attempt := h.openRequest("1")
	c.close()
	for deadline := time.Now().Add(4 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		closedByGateway := h.isClosedByGateway(attempt.conn)
		if closedByGateway && h.dispatcher.RequestsInFlight() == 0 && h.server.OpenConnections() == 0 {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("connection of the attempt closed: %t, %d open requests, %d client connections",
				closedByGateway, h.dispatcher.RequestsInFlight(), h.server.OpenConnections())
		}
	}
}

// At a shutdown, idle connections are closed, and the others once their submitted requests are answered.
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
	idle.expectClosed("the idle connection at a shutdown")
	attempt.respond(okBackendResponse)
	c.expect(okClientResponse)
	c.expectClosed("after the last response")
	h.waitUntil("all connections have ended", func() bool { return h.server.OpenConnections() == 0 })
	if err := <-shutdown; err != nil {
		t.Errorf("Shutdown: %v", err)
	}
}

// Shutdown waits until Serve has returned and the last connection has ended, but no longer than its context lasts.
func TestServer_ShutdownReturnsWhenContextEnds(t *testing.T) {
	h := newHarness(t, harnessOptions{})
	h.waitUntil("the server serves", h.server.serving.Load)
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	if err := h.server.Shutdown(canceled); !errors.Is(err, context.Canceled) {
		t.Errorf("Shutdown while Serve accepts connections: %v", err)
	}
	client, attempt := h.openRequest("1")
	if err := h.listener.Close(); err != nil {
		t.Error(err)
	}
	h.waitUntil("Serve has returned", func() bool { return !h.server.serving.Load() })
	if err := h.server.Shutdown(canceled); !errors.Is(err, context.Canceled) {
		t.Errorf("Shutdown while a request is open: %v", err)
	}
	attempt.respond(okBackendResponse)
	client.expect(okClientResponse)
	if err := h.server.Shutdown(t.Context()); err != nil || h.server.OpenConnections() != 0 {
		t.Errorf("Shutdown without open requests: %v, %d connections", err, h.server.OpenConnections())
	}
}

// A draining server immediately answers PING with an error, serves open connections for drainDelay, and then closes
// them as they become idle. After Resume it answers PING with PONG and keeps connections open.
func TestServer_DrainClosesConnectionsBetweenRequests(t *testing.T) {
	h := newHarness(t, harnessOptions{})
	busy, idle := h.dial(), h.dial()
	h.server.Drain()
	h.server.Drain() // a second call does not restart the drain
	idle.send(respCommand("PING"))
	idle.expectLine(`-ERR draining`)
	busy.send(queryCommand("1", lookupFields))
	h.nextAttempt().respond(okBackendResponse)
	busy.expect(okClientResponse) // open connections are still served
	idle.expectClosed("an idle connection of a draining server")
	if elapsed, _ := h.server.drain.age(); elapsed < drainDelay || elapsed > drainDelay+time.Second {
		t.Errorf("the idle connection was closed after %v, want drainDelay and at most 1 s more", elapsed)
	}
	busy.expectClosed("the other connection")
	h.server.Resume()
	h.server.Resume() // without a drain, Resume has no effect
	resumed := h.dial()
	resumed.ping()
	time.Sleep(drainDelay + 2*sweepInterval)
	resumed.ping()
}

// A connection that is new when a drain ends has the usual time for its first command. Guards against its close after
// newConnectionGrace.
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

// A drain that begins after another has ended closes idle connections after the full drainDelay.
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
		t.Errorf("the idle connection was closed after %v, want drainDelay and at most 1 s more", elapsed)
	}
}
