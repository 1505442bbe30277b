package frontend

import (
	"io"
	"net"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"
)

// Each pipelined command is started at once, and answered as soon as those before it are.
func TestPipeline_ResponsesInOrder(t *testing.T) {
	h := newHarness(t, harnessOptions{})
	c := h.dial()
	c.send(queryCommand("1", lookupFields) + queryCommand("2", lookupFields) + respCommand("PING") +
		queryCommand("3", lookupFields))
	attempts := map[string]receivedAttempt{}
	for range 3 {
		attempt := h.nextAttempt()
		attempts[regexp.MustCompile(`\$1\r\n(\d)`).FindStringSubmatch(attempt.raw)[1]] = attempt
	}
	attempts["2"].respond(bulkBackendResponse("2"))
	attempts["1"].respond(bulkBackendResponse("1"))
	c.expect("$1\r\n1\r\n$1\r\n2\r\n+PONG\r\n") // not held back for the last
	attempts["3"].respond(bulkBackendResponse("3"))
	c.expect("$1\r\n3\r\n")
}

// What is pending behind a request is bounded: then the connection is read no further, and nothing is lost.
func TestPipeline_PendingCommandsLimited(t *testing.T) {
	h := newHarness(t, harnessOptions{})
	client, attempt := h.openRequest("1")
	const sent = 3 * maxPendingCommands
	client.sendInBackground(strings.Repeat(respCommand("PING"), sent))
	c := h.onlyConnection()
	for deadline := time.Now().Add(2 * time.Second); ; time.Sleep(time.Millisecond) {
		c.mu.Lock()
		pending := len(c.pending)
		c.mu.Unlock()
		if pending > maxPendingCommands {
			t.Fatalf("%d commands are pending", pending)
		}
		if pending == maxPendingCommands {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("only %d commands are pending", pending)
		}
	}
	attempt.respond(okBackendResponse)
	client.expect(okClientResponse + strings.Repeat("+PONG\r\n", sent))
}

// A client that sends invalid commands without end is read the more slowly, while others are served.
func TestBackpressure_InvalidCommandsThrottled(t *testing.T) {
	h := newHarness(t, harnessOptions{})
	invalid := h.dial()
	invalid.sendInBackground(strings.Repeat(respCommand("NONSENSE"), 3000))
	invalid.expectLine("-ERR .+")
	time.Sleep(300 * time.Millisecond)
	h.dial().ping()
	if err := invalid.conn.SetReadDeadline(time.Now()); err != nil {
		t.Error(err)
	}
	rest, _ := io.ReadAll(invalid.reader) // it ends with the deadline
	if n := strings.Count(string(rest), "\n"); n > 20 {
		t.Errorf("%d invalid commands answered in a third of a second", n)
	}
}

// A client that reads nothing delays neither new connections nor the others.
func TestBackpressure_NonReadingClientDoesNotDelayOthers(t *testing.T) {
	longResponse := bulkBackendResponse(strings.Repeat("v", 64<<10))
	h := newHarness(t, harnessOptions{
		server:    Options{MaxConnections: 2},
		onAttempt: func(a receivedAttempt) { a.respond(longResponse) },
	})
	stalled := h.dial()
	go func() {
		for n := range 400 {
			if stalled.trySend(queryCommand(strconv.Itoa(n), lookupFields)) != nil {
				return
			}
		}
	}()
	time.Sleep(300 * time.Millisecond)
	for range 3 {
		h.dial().ping()
	}
}

// A client that reads a 4 MiB response slowly gets all of it. (The failure it stands for, one deadline for all
// of a 3.4 MB response, does not show here: loopback's send buffer takes all but a few hundred KB at once.)
func TestBackpressure_SlowReaderReceivesCompleteResponse(t *testing.T) {
	value := strings.Repeat("v", 4<<20)
	h := newHarness(t, harnessOptions{
		onAttempt: func(a receivedAttempt) { a.respond(bulkBackendResponse(value)) },
		// Less than the response takes, more than the kernel waits a piece.
		writeTimeout: 2500 * time.Millisecond,
	})
	c := h.dial()
	// So that the kernel's buffers do not take all of it at once.
	if err := c.conn.(*net.TCPConn).SetReadBuffer(16 << 10); err != nil {
		t.Error(err)
	}
	c.setDeadline(20 * time.Second)
	c.send(queryCommand("1", lookupFields))
	want := bulkClientResponse(value)
	var got []byte
	buffer := make([]byte, 64<<10)
	for len(got) < len(want) { // 4 MiB at about 900 KB/s
		n, err := c.reader.Read(buffer)
		if err != nil {
			t.Fatalf("after %d bytes: %v", len(got), err)
		}
		got = append(got, buffer[:n]...)
		time.Sleep(35 * time.Millisecond)
	}
	if string(got) != want {
		t.Errorf("%d bytes, not the %d sent", len(got), len(want))
	}
}
