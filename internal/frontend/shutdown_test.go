package frontend

import (
	"context"
	"errors"
	"testing"
	"time"
)

// The attempt's connection is not cut under the backend, which may be giving a long response, but ends once
// it has been silent for 3 s.
func TestConnection_ClientHangUpSeenWhileBackendWorks(t *testing.T) {
	h := newHarness(t, harnessOptions{})
	c, attempt := h.openRequest("1")
	c.close()
	for until := time.Now().Add(4 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		ended := h.hasEnded(attempt.conn)
		if ended && h.dispatcher.RequestsInFlight() == 0 && h.server.OpenConnections() == 0 {
			return
		}
		if time.Now().After(until) {
			t.Fatalf("attempt's connection ended: %t, %d requests open, %d connections",
				ended, h.dispatcher.RequestsInFlight(), h.server.OpenConnections())
		}
	}
}

// At the end connections close between requests, and what was submitted is answered.
func TestServer_ShutdownAnswersPendingRequests(t *testing.T) {
	h := newHarness(t, harnessOptions{})
	c, attempt := h.openRequest("1")
	idle := h.dial()
	h.until("both connections are open", func() bool { return h.server.OpenConnections() >= 2 })
	if err := h.listener.Close(); err != nil {
		t.Error(err)
	}
	shutdown := make(chan error, 1)
	go func() { shutdown <- h.server.Shutdown(t.Context()) }()
	idle.expectEnd("an idle connection")
	attempt.respond(okReply)
	c.expect(okResponse)
	c.expectEnd("after the last response")
	h.until("all connections have ended", func() bool { return h.server.OpenConnections() == 0 })
	if err := <-shutdown; err != nil {
		t.Errorf("Shutdown: %v", err)
	}
}

// Shutdown waits for the listener's end and for the last connection's, but no longer than its context lasts.
func TestServer_ShutdownEndsWithItsContext(t *testing.T) {
	h := newHarness(t, harnessOptions{})
	h.until("it serves", h.server.serving.Load)
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	if err := h.server.Shutdown(canceled); !errors.Is(err, context.Canceled) {
		t.Errorf("while it accepts connections: %v", err)
	}
	client, attempt := h.openRequest("1")
	if err := h.listener.Close(); err != nil {
		t.Error(err)
	}
	h.until("no more is accepted", func() bool { return !h.server.serving.Load() })
	if err := h.server.Shutdown(canceled); !errors.Is(err, context.Canceled) {
		t.Errorf("while a request is open: %v", err)
	}
	attempt.respond(okReply)
	client.expect(okResponse)
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
	began := time.Now()
	idle.send(words("PING"))
	idle.expectLine(`-ERR draining`)
	busy.send(query("1", lookupFields))
	h.nextAttempt().respond(okReply)
	busy.expect(okResponse) // open connections are still served
	idle.expectEnd("an idle connection of a draining server")
	if took := time.Since(began); took < drainDelay || took > drainDelay+time.Second {
		t.Errorf("the idle connection was closed after %v", took)
	}
	busy.expectEnd("the other connection")
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

// TestServer_DrainsAgainAfterResume: a drain that begins after another has ended has its full time, and ends
// the connections.
func TestServer_DrainsAgainAfterResume(t *testing.T) {
	h := newHarness(t, harnessOptions{})
	client := h.dial()
	client.ping()
	h.server.Drain()
	time.Sleep(drainDelay - 2*sweepInterval)
	h.server.Resume()
	h.server.Drain()
	began := time.Now()
	client.expectEnd("an idle connection")
	if took := time.Since(began); took < drainDelay || took > drainDelay+time.Second {
		t.Errorf("closed after %v", took)
	}
}
