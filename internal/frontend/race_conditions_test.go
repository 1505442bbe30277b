package frontend

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"fawnplank/internal/membudget"
	"fawnplank/internal/resp"
	"fawnplank/policy"
)

// Tests of what may come between two steps: each holds one side still by a lock, a full pipeline or a backend
// that does not answer, until the other has done what must come between.

// Failure: a request that had been read when the server closed its connection was neither submitted nor
// answered: the client could not know that it had never been forwarded. Whatever has been read is answered
// first.
func TestRace_RequestReadBeforeCloseAnswered(t *testing.T) {
	for name, closeConnection := range map[string]func(c *connection){
		"eviction": func(c *connection) { c.closeIfIdle() },
		"shutdown": func(c *connection) {
			c.closing.Store(true)
			c.shutDownIfIdle()
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, harnessOptions{})
			client := h.dial()
			c := h.onlyConnection()
			h.server.mu.Lock() // its reader reads the request, and comes no further
			client.send(queryCommand("1", lookupFields))
			h.waitUntil("the request is read", func() bool {
				c.inputMu.Lock()
				defer c.inputMu.Unlock()
				return c.input == inputUnhandled
			})
			closeConnection(c)
			h.server.mu.Unlock()
			h.nextAttempt().respond(okBackendResponse)
			client.expect(okClientResponse)
		})
	}
}

// A command read in the moment in which its connection was closed is not handled: the client sends it again.
func TestRace_CommandOnClosedConnectionNotHandled(t *testing.T) {
	h := newHarness(t, harnessOptions{})
	client := h.dial()
	c := h.onlyConnection()
	if !c.closeIfIdle() {
		t.Error("not closed")
	}
	raw := []byte(queryCommand("1", lookupFields))
	_, args, err := resp.Command(raw, nil)
	if err != nil {
		t.Fatal(err)
	}
	c.handleCommand(raw, args)
	client.expectClosed("on the closed connection")
	if n := h.dispatcher.OpenRequests(); n > 0 {
		t.Errorf("%d requests submitted", n)
	}
}

// A request that comes once the connection is to end is not read, and not forwarded. Failure: the close over it
// reset the connection, and a response still on its way is lost to that; the client has time to take it.
func TestRace_RequestAfterShutdownNotRead(t *testing.T) {
	h := newHarness(t, harnessOptions{})
	client, attempt := h.openRequest("1")
	c := h.onlyConnection()
	client.send(respCommand("PING")) // before the shutdown: it is read and answered
	h.waitUntil("the PING is read", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.inputMu.Lock()
		defer c.inputMu.Unlock()
		return len(c.pending) == 2 && c.input != inputUnhandled
	})
	h.server.beginShutdown()
	h.waitUntil("the reader has left its read", func() bool { return c.activity.load() == readerAwaitsResponses })
	client.send(respCommand("PING") + queryCommand("2", lookupFields))
	h.waitUntil("the request waits to be read", func() bool { return c.conn.HasPendingBytes() })
	for range 5 { // the shutdown goes on looking
		h.server.beginShutdown()
		time.Sleep(shutdownPollInterval)
	}
	if !c.conn.HasPendingBytes() {
		t.Error("read after the shutdown")
	}
	attempt.respond(okBackendResponse)
	client.expect(okClientResponse + "+PONG\r\n")
	client.expectClosed("behind the responses")
	h.waitUntil("the connection ends", func() bool { return h.server.OpenConnections() == 0 })
	if n := len(h.attempts); n > 0 {
		t.Errorf("%d requests forwarded after the shutdown", n)
	}
}

// Failure: a client that kept sending had its requests submitted up to the process's end, where some were
// lost. Once the connection is to end no more is read, and it ends when what was submitted is answered.
func TestRace_SendingClientClosedAtShutdown(t *testing.T) {
	h := newHarness(t, harnessOptions{onAttempt: func(a receivedAttempt) {
		time.Sleep(30 * time.Millisecond) // longer than the pause between two requests: one is always open
		a.respond(okBackendResponse)
	}})
	client := h.dial()
	sendingEnded := make(chan struct{})
	go func() {
		defer close(sendingEnded)
		for n := 0; client.trySend(queryCommand(strconv.Itoa(n), lookupFields)) == nil; n++ {
			time.Sleep(2 * time.Millisecond)
		}
	}()
	client.skipResponses(5)
	h.server.beginShutdown()
	shutdownAt := time.Now()
	h.waitUntil("the connection ends", func() bool { return h.server.OpenConnections() == 0 })
	if elapsed := time.Since(shutdownAt); elapsed > time.Second {
		t.Errorf("it ended after %v", elapsed)
	}
	if n := h.dispatcher.OpenRequests(); n > 0 {
		t.Errorf("%d are open", n)
	}
	client.close()
	<-sendingEnded
}

// A connection that was accepted just before the shutdown still gets its request answered, then ends.
func TestRace_RequestInTransitAtShutdownAnswered(t *testing.T) {
	h := newHarness(t, harnessOptions{})
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() { // as the program does at its end: it meets a connection before its reader has begun, too
		defer close(stopped)
		for {
			select {
			case <-stop:
				return
			default:
				h.server.beginShutdown()
			}
		}
	}()
	accepted := func() bool { return h.server.OpenConnections() > 0 }
	for n := range 20 {
		client := h.dial()
		h.waitUntil("it is accepted", accepted)
		time.Sleep(5 * time.Millisecond) // several calls of beginShutdown, and far less than newConnectionGrace
		client.send(queryCommand(strconv.Itoa(n), lookupFields))
		h.nextAttempt().respond(okBackendResponse)
		client.expect(okClientResponse)
		client.expectClosed("behind the response")
	}
	h.dial() // one that says nothing ends by itself
	close(stop)
	<-stopped
	h.waitUntil("it is accepted", accepted)
	h.server.beginShutdown() // once will do
	h.waitUntil("it ends", func() bool { return h.server.OpenConnections() == 0 })
}

// Failure: a client that had gone was not noticed while its connection's reader waited: for capacity among
// the pending commands, for the pause after invalid commands, for memory, or for the responses before an
// error. What it had open was forwarded, again and again. Now it counts as gone at once, whatever bytes nobody
// has read, and the next attempt is not begun.
func TestRace_ClientHangUpDetectedWhileReaderWaits(t *testing.T) {
	largeHead := "*5\r\n$9\r\nSVC.QUERY\r\n$16\r\n" + testTenant + "\r\n$1\r\n2\r\n$3\r\nd=1\r\n$200000\r\n"
	for name, test := range map[string]struct {
		behind string // the first request
		waits  func(c *connection) bool
	}{
		"pending": {
			strings.Repeat(respCommand("PING"), 3*maxPendingCommands),
			pendingCountMatches(func(n int) bool { return n == maxPendingCommands }),
		},
		"invalid commands": {
			strings.Repeat("*1\r\n$4\r\nNONE\r\n", 30) + respCommand("PING"),
			pendingCountMatches(func(n int) bool { return n > 8 }),
		},
		"memory": {
			largeHead + strings.Repeat("x", 150000),
			func(c *connection) bool { return c.conn.HasPendingBytes() },
		},
		"error": {
			"*x\r\n" + respCommand("PING"),
			pendingCountMatches(func(n int) bool { return n == 2 }),
		},
	} {
		t.Run(name, func(t *testing.T) { testClientHangUpDetectedWhileReaderWaits(t, test.behind, test.waits) })
	}
}

// pendingCountMatches looks at the number of pending commands.
func pendingCountMatches(condition func(n int) bool) func(c *connection) bool {
	return func(c *connection) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return condition(len(c.pending))
	}
}

func testClientHangUpDetectedWhileReaderWaits(
	t *testing.T, inputAfterRequest string, readerWaits func(c *connection) bool,
) {
	t.Helper()
	smallBudget := membudget.New(1) // none for a large command
	h := newHarness(t, harnessOptions{server: Options{Budget: smallBudget}})
	client, attempt := h.openRequest("1")
	c := h.onlyConnection()
	client.sendInBackground(inputAfterRequest)
	h.waitUntil("the reader waits", func() bool { return readerWaits(c) })
	closedAt := time.Now()
	client.close()
	h.waitUntil("it has gone", func() bool {
		return h.dispatcher.OpenRequests() == 0 || time.Since(closedAt) > 100*time.Millisecond
	})
	attempt.respond("-BUSY\r\n") // never run: it could be retried elsewhere
	select {
	case <-h.attempts:
		t.Error("another attempt for a client that has gone")
	case <-time.After(100 * time.Millisecond):
	}
	h.waitUntil("the connection ends", func() bool { return h.server.OpenConnections() == 0 })
}

// Failure: a request that had waited for its connection to be accepted while its client gave up and left was
// forwarded.
func TestRace_RequestReadAfterClientHangUpNotForwarded(t *testing.T) {
	recorder := tenantRecorder{make(chan string, 10)}
	h := newHarness(t, harnessOptions{server: Options{MaxConnections: 1, Usage: recorder}})
	busy, attempt := h.openRequest("1")
	<-recorder.tenants
	waiting := h.dial() // accepted once the first has ended
	waiting.send(queryCommand("2", lookupFields))
	waiting.close()
	attempt.respond(okBackendResponse)
	busy.expect(okClientResponse)
	busy.close()
	h.dial().ping()
	if n := len(recorder.tenants); n > 0 {
		t.Errorf("%d requests submitted", n)
	}
}

// tenantRecorder notes the tenant of each request that is submitted.
type tenantRecorder struct{ tenants chan string }

func (r tenantRecorder) TenantPlan(tenant string) (string, bool) {
	r.tenants <- tenant
	return "", false
}

func (tenantRecorder) RecordUsage(string, string, time.Time, float64) {}

// Failure: where all connections had something open when one more came, it waited until one of them ended,
// also once all had become idle: clients that keep theirs open kept all others from connecting.
func TestRace_ConnectionsBecomingIdleFreeCapacity(t *testing.T) {
	h := newHarness(t, harnessOptions{server: Options{MaxConnections: 2}})
	first, firstAttempt := h.openRequest("0")
	second, secondAttempt := h.openRequest("1")
	third := h.dial()
	third.send(respCommand("PING"))
	h.waitUntil("capacity is waited for", func() bool { return h.server.connectionCapacityWanted.Load() })
	time.Sleep(20 * time.Millisecond) // and looked for in vain
	firstAttempt.respond(okBackendResponse)
	first.expect(okClientResponse)
	secondAttempt.respond(okBackendResponse)
	second.expect(okClientResponse)
	third.expectLine(`\+PONG`)
}

// Failure: a second response that came some milliseconds after the first was taken for the next request's.
func TestRace_LateSecondResponseDiscarded(t *testing.T) {
	h := newHarness(t, harnessOptions{})
	readyEndpoint := policy.Endpoint{Backend: 1, State: policy.EndpointReady}
	h.dispatcher.UpdateEndpoints(policy.FullSnapshot, []policy.Endpoint{readyEndpoint})
	client, first := h.openRequest("1")
	first.respond("*1\r\n$3\r\none\r\n")
	client.expect("$3\r\none\r\n")
	client.send(queryCommand("2", lookupFields))
	second := h.nextAttempt() // sent before the late one comes
	first.respond("*1\r\n$3\r\none\r\n")
	second.respond("*1\r\n$3\r\ntwo\r\n")
	client.expect("$3\r\ntwo\r\n")
}
