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

// Each of these tests forces an event to happen between two steps of the server. It blocks one side by a lock, a full
// pipeline or a backend that does not respond, until the other side has caused the event.

// Guards against requests without a response: a request that had been read when the server closed its connection was
// neither submitted nor answered, and the client could not tell that it had not been forwarded. All requests that were
// read are answered before the close.
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
			h.server.mu.Lock() // the reader reads the request, but cannot submit it
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

// A command that was read just as its connection was closed is not handled: the client sends it again on another
// connection.
func TestRace_CommandOnClosedConnectionNotHandled(t *testing.T) {
	h := newHarness(t, harnessOptions{})
	client := h.dial()
	c := h.onlyConnection()
	if !c.closeIfIdle() {
		t.Error("the idle connection was not closed")
	}
	raw := []byte(queryCommand("1", lookupFields))
	_, args, err := resp.ParseCommand(raw, nil)
	if err != nil {
		t.Fatal(err)
	}
	c.handleCommand(raw, args)
	client.expectClosed("on the closed connection")
	if n := h.dispatcher.RequestsInFlight(); n > 0 {
		t.Errorf("%d requests were submitted, want 0", n)
	}
}

// A request that arrives while the connection is closing is neither read nor forwarded. Guards against the loss of a
// response: closing the connection with the unread request reset it, which discarded a response in transit. The client
// now has time to receive that response.
func TestRace_RequestAfterShutdownNotRead(t *testing.T) {
	h := newHarness(t, harnessOptions{})
	client, attempt := h.openRequest("1")
	c := h.onlyConnection()
	client.send(respCommand("PING")) // sent before the shutdown, so it is read and answered
	h.waitUntil("the PING is read", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.inputMu.Lock()
		defer c.inputMu.Unlock()
		return len(c.pending) == 2 && c.input != inputUnhandled
	})
	h.server.beginShutdown()
	h.waitUntil("the reader has stopped reading", func() bool { return c.activity.load() == readerAwaitsResponses })
	client.send(respCommand("PING") + queryCommand("2", lookupFields))
	h.waitUntil("the request waits to be read", func() bool { return c.conn.HasPendingBytes() })
	for range 5 { // Shutdown calls it repeatedly, too
		h.server.beginShutdown()
		time.Sleep(shutdownPollInterval)
	}
	if !c.conn.HasPendingBytes() {
		t.Error("the request was read after the shutdown began")
	}
	attempt.respond(okBackendResponse)
	client.expect(okClientResponse + "+PONG\r\n")
	client.expectClosed("after the responses")
	h.waitUntil("the connection ends", func() bool { return h.server.OpenConnections() == 0 })
	if n := len(h.attempts); n > 0 {
		t.Errorf("%d requests were forwarded after the shutdown began, want 0", n)
	}
}

// Guards against lost requests: the requests of a client that kept sending were submitted until the process ended.
// While the connection is closing nothing more is read, and it is closed once all submitted requests are answered.
func TestRace_SendingClientClosedAtShutdown(t *testing.T) {
	h := newHarness(t, harnessOptions{onAttempt: func(a receivedAttempt) {
		time.Sleep(30 * time.Millisecond) // longer than the pause between two requests, so that one is always open
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
		t.Errorf("the connection was closed after %v, want at most 1 s", elapsed)
	}
	if n := h.dispatcher.RequestsInFlight(); n > 0 {
		t.Errorf("%d requests are open", n)
	}
	client.close()
	<-sendingEnded
}

// A request on a connection that was accepted just before the shutdown is answered before the connection is closed.
func TestRace_RequestInTransitAtShutdownAnswered(t *testing.T) {
	h := newHarness(t, harnessOptions{})
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() { // as in Shutdown; some calls precede the start of a connection's reader
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
		h.waitUntil("the connection is accepted", accepted)
		time.Sleep(5 * time.Millisecond) // several calls of beginShutdown, and far less than newConnectionGrace
		client.send(queryCommand(strconv.Itoa(n), lookupFields))
		h.nextAttempt().respond(okBackendResponse)
		client.expect(okClientResponse)
		client.expectClosed("after the response")
	}
	h.dial() // a connection without a command
	close(stop)
	<-stopped
	h.waitUntil("the connection is accepted", accepted)
	h.server.beginShutdown() // a single call is sufficient
	h.waitUntil("the connection ends", func() bool { return h.server.OpenConnections() == 0 })
}

// Guards against attempts for a client that has disconnected. The disconnect was not detected while the reader of the
// connection waited: for capacity among the pending commands, in a pause after invalid commands, for memory, or for the
// responses before an error. The open requests were retried repeatedly. The disconnect is now detected at once, even
// behind unread bytes, and no further attempt is started.
func TestRace_ClientHangUpDetectedWhileReaderWaits(t *testing.T) {
	largeHead := "*5\r\n$9\r\nSVC.QUERY\r\n$16\r\n" + testTenant + "\r\n$1\r\n2\r\n$3\r\nd=1\r\n$200000\r\n"
	for name, test := range map[string]struct {
		inputAfterRequest string
		readerWaits       func(c *connection) bool
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
			// Behind an open request the reader does not wait for memory: it reads and discards.
			func(c *connection) bool { return c.hasPartialCommand.Load() },
		},
		"error": {
			"*x\r\n" + respCommand("PING"),
			pendingCountMatches(func(n int) bool { return n == 2 }),
		},
	} {
		t.Run(name, func(t *testing.T) {
			testClientHangUpDetectedWhileReaderWaits(t, test.inputAfterRequest, test.readerWaits)
		})
	}
}

// pendingCountMatches returns a function that applies the condition to the number of pending commands.
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
	smallBudget := membudget.New(1) // insufficient for a large command
	h := newHarness(t, harnessOptions{server: Options{Budget: smallBudget}})
	client, attempt := h.openRequest("1")
	c := h.onlyConnection()
	client.sendInBackground(inputAfterRequest)
	h.waitUntil("the reader waits", func() bool { return readerWaits(c) })
	closedAt := time.Now()
	client.close()
	h.waitUntil("the open request is canceled, or 100 ms have passed", func() bool {
		return h.dispatcher.RequestsInFlight() == 0 || time.Since(closedAt) > 100*time.Millisecond
	})
	attempt.respond("-BUSY\r\n") // not run, so a retry would be allowed
	select {
	case <-h.attempts:
		t.Error("another attempt was sent for a client that has disconnected")
	case <-time.After(100 * time.Millisecond):
	}
	h.waitUntil("the connection ends", func() bool { return h.server.OpenConnections() == 0 })
}

// Guards against forwarding a request whose client gave up and disconnected while its connection waited to be accepted.
func TestRace_RequestReadAfterClientHangUpNotForwarded(t *testing.T) {
	recorder := tenantRecorder{make(chan string, 10)}
	h := newHarness(t, harnessOptions{server: Options{MaxConnections: 1, Usage: recorder}})
	busy, attempt := h.openRequest("1")
	<-recorder.tenants
	waiting := h.dial() // accepted once the first connection has ended
	waiting.send(queryCommand("2", lookupFields))
	waiting.close()
	attempt.respond(okBackendResponse)
	busy.expect(okClientResponse)
	busy.close()
	h.dial().ping()
	if n := len(recorder.tenants); n > 0 {
		t.Errorf("%d requests were submitted, want 0", n)
	}
}

// tenantRecorder is a UsageRecorder that sends the tenant of each submitted request to its channel.
type tenantRecorder struct{ tenants chan string }

func (r tenantRecorder) TenantPlan(tenant string) (string, bool) {
	r.tenants <- tenant
	return "", false
}

func (tenantRecorder) RecordUsage(string, string, time.Time, float64) {}

// Guards against clients that lock out others by keeping idle connections open: a new connection that arrived while all
// connections were busy waited until one of them ended, even after all of them had become idle.
func TestRace_ConnectionsBecomingIdleFreeCapacity(t *testing.T) {
	h := newHarness(t, harnessOptions{server: Options{MaxConnections: 2}})
	first, firstAttempt := h.openRequest("0")
	second, secondAttempt := h.openRequest("1")
	third := h.dial()
	third.send(respCommand("PING"))
	h.waitUntil("an accept waits for capacity", func() bool { return h.server.connectionCapacityWanted.Load() })
	time.Sleep(20 * time.Millisecond) // the search for an idle connection fails
	firstAttempt.respond(okBackendResponse)
	first.expect(okClientResponse)
	secondAttempt.respond(okBackendResponse)
	second.expect(okClientResponse)
	third.expectLine(`\+PONG`)
}

// Guards against answering a request with the response of another: a second response that a backend sent some
// milliseconds after the first was treated as the response to the next request on the connection.
func TestRace_LateSecondResponseDiscarded(t *testing.T) {
	h := newHarness(t, harnessOptions{})
	readyEndpoint := policy.Endpoint{Backend: 1, State: policy.EndpointReady}
	h.dispatcher.UpdateEndpoints(policy.FullSnapshot, []policy.Endpoint{readyEndpoint})
	client, first := h.openRequest("1")
	first.respond("*1\r\n$3\r\none\r\n")
	client.expect("$3\r\none\r\n")
	client.send(queryCommand("2", lookupFields))
	second := h.nextAttempt() // received before the late response is sent
	first.respond("*1\r\n$3\r\none\r\n")
	second.respond("*1\r\n$3\r\ntwo\r\n")
	client.expect("$3\r\ntwo\r\n")
}
