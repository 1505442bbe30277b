package frontend

import (
	"strconv"
	"testing"
	"time"

	"fawnplank/internal/config"
)

// Failure: connections that said nothing, or half a command, stayed open for good.
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
		t.Errorf("rejected after %v", elapsed)
	}
	time.Sleep(2 * sweepInterval)
	active.ping()
}

// Failure: new connections by the hundreds evicted those of active clients, which had been idle for a moment longer.
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

// Failure: clients that left their connections open used up all that clients may have, and could not open further
// ones.
func TestEviction_IdleConnectionsEvictedAboveThreshold(t *testing.T) {
	threshold := New(Options{Config: &config.Config{MaxSockets: 12}, MaxConnections: 20}).evictionThreshold
	h := newHarness(t, harnessOptions{server: Options{MaxConnections: 20}, evictionThreshold: threshold})
	busy, attempt := h.openRequest("1")
	for range 30 {
		h.dial().ping()
		// A response can arrive before its connection is idle again; a connection that is not is not evicted.
		h.waitUntil("all but one are idle", func() bool { return h.idleConnections() >= h.server.OpenConnections()-1 })
	}
	if n := h.server.OpenConnections(); n != 2 { // the busy one and the last
		t.Errorf("%d connections are open of 2 that clients may hold", n)
	}
	for range 5 { // those that say nothing do not count
		h.dial()
	}
	time.Sleep(newConnectionGrace / 2)
	for n := range 2 { // those in use are not bounded by that
		h.openRequest(strconv.Itoa(2 + n))
	}
	if n := h.server.OpenConnections(); n != 8 {
		t.Errorf("%d connections for 3 open requests and 5 silent ones", n)
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
