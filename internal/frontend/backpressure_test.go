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

// Each pipelined command is started at once, and answered as soon as all commands before it are answered.
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
	c.expect("$1\r\n1\r\n$1\r\n2\r\n+PONG\r\n") // without waiting for the last request
	attempts["3"].respond(bulkBackendResponse("3"))
	c.expect("$1\r\n3\r\n")
}

// The number of commands pending behind an open request is limited. At the limit the connection is not read further,
// and no command is lost.
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
			t.Fatalf("%d commands are pending, more than maxPendingCommands", pending)
		}
		if pending == maxPendingCommands {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("only %d commands are pending after 2 s", pending)
		}
	}
	attempt.respond(okBackendResponse)
	client.expect(okClientResponse + strings.Repeat("+PONG\r\n", sent))
}

// A client that sends invalid commands endlessly is read ever more slowly, while other clients are served.
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
	rest, _ := io.ReadAll(invalid.reader) // it returns an error at the read deadline
	if n := strings.Count(string(rest), "\n"); n > 20 {
		t.Errorf("%d invalid commands were answered in a third of a second, want at most 20", n)
	}
}

// A client that does not read its responses delays neither new connections nor other clients.
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

// A client that reads a 4 MiB response slowly receives all of it. The test does not reproduce the original failure, one
// write deadline for a whole response of 3.4 MB: the send buffer of the loopback interface accepts all but a few
// hundred KB at once.
func TestBackpressure_SlowReaderReceivesCompleteResponse(t *testing.T) {
	value := strings.Repeat("v", 4<<20)
	h := newHarness(t, harnessOptions{
		onAttempt: func(a receivedAttempt) { a.respond(bulkBackendResponse(value)) },
		// Shorter than the whole response takes, but longer than a single chunk waits in the kernel.
		writeTimeout: 2500 * time.Millisecond,
	})
	c := h.dial()
	// A small buffer keeps the kernel from buffering the whole response at once.
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
			t.Fatalf("read failed after %d bytes: %v", len(got), err)
		}
		got = append(got, buffer[:n]...)
		time.Sleep(35 * time.Millisecond)
	}
	if string(got) != want {
		t.Errorf("the %d bytes received differ from the %d bytes sent", len(got), len(want))
	}
}
