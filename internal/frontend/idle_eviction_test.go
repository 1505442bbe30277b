package frontend

import (
	"strconv"
	"testing"
	"time"

	"fawnplank/internal/config"
)

// Guards against connections that stay open forever because their clients send nothing, or only part of a command.
func TestEviction_SilentAndIncompleteClientsTimeOut(t *testing.T) {
	h := newHarness(t, harnessOptions{})
	silent, incomplete := h.dial(), h.dial()
	incomplete.send(respCommand("PING") + "*4\r\n$9\r\nSVC.QU")
	incomplete.expectLine(`\+PONG`)
	active := h.dial()
	active.ping()
	start := time.Now()
	silent.expectLine("-ERR .+")
	incomplete.expectLine("-ERR .+")
	elapsed := time.Since(start)
	if elapsed < commandTimeout-100*time.Millisecond || elapsed > commandTimeout+700*time.Millisecond {
		t.Errorf("the error arrived after %v, want about commandTimeout", elapsed)
	}
	time.Sleep(2 * sweepInterval)
	active.ping()
}

// Guards against hundreds of new connections that evict those of active clients, which have been idle for slightly
// longer.
func TestEviction_SilentConnectionsEvictedFirst(t *testing.T) {
	h := newHarness(t, harnessOptions{server: Options{MaxConnections: 4}})
	active := h.dial()
	active.ping()
	for range 12 {
		h.dial()
		time.Sleep(newConnectionGrace / 4)
	}
	active.ping()
}

// Guards against clients that leave their connections open, use up all connections that clients may have, and cannot
// open any more.
func TestEviction_IdleConnectionsEvictedAboveThreshold(t *testing.T) {
	threshold := New(Options{Config: &config.Config{MaxSockets: 12}, MaxConnections: 20}).evictionThreshold
	h := newHarness(t, harnessOptions{server: Options{MaxConnections: 20}, evictionThreshold: threshold})
	busy, attempt := h.openRequest("1")
	for range 30 {
		h.dial().ping()
		// A response can arrive before its connection becomes idle, and only idle connections are evicted.
		h.waitUntil("all connections but one are idle", func() bool {
			return h.idleConnections() >= h.server.OpenConnections()-1
		})
	}
	if n := h.server.OpenConnections(); n != 2 { // the busy connection and the last one
		t.Errorf("%d connections are open, want 2", n)
	}
	for range 5 { // silent connections do not count towards the threshold
		h.dial()
	}
	time.Sleep(newConnectionGrace / 2)
	for n := range 2 { // connections with an open request are not evicted at the threshold
		h.openRequest(strconv.Itoa(2 + n))
	}
	if n := h.server.OpenConnections(); n != 8 {
		t.Errorf("%d connections are open, want 8: 3 with an open request and 5 silent ones", n)
	}
	attempt.respond(okBackendResponse)
	busy.expect(okClientResponse)
}

func TestEviction_LongestIdleEvicted(t *testing.T) {
	h := newHarness(t, harnessOptions{server: Options{MaxConnections: 2}})
	busy, attempt := h.openRequest("1")
	idle := h.dial()
	h.dial().ping()
	if _, err := idle.reader.ReadByte(); err == nil {
		t.Error("the idle connection is still open")
	}
	attempt.respond(okBackendResponse)
	busy.expect(okClientResponse)
}
