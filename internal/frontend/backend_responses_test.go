package frontend

import (
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"fawnplank/internal/testutil"
)

func TestBackendResponses_AnswerSentToClient(t *testing.T) {
	longValue, hugeValue := strings.Repeat("v", 64<<10), strings.Repeat("v", 400000)
	for name, test := range map[string]struct{ class, firstResponse, want string }{
		"long value":                     {"lookup", bulkBackendResponse(longValue), `\$65536`},
		"value of 400 KB":                {"pay", bulkBackendResponse(hugeValue), `\$400000`},
		"rejection":                      {"pay", "-BUSY full\r\n", `\$2`},
		"error":                          {"lookup", "-ERR failed\r\n", `\$2`},
		"error that may have run":        {"pay", "-ERR failed\r\n", "-ERR .+"},
		"unexpected type":                {"pay", "+OK\r\n", "-ERR .+"},
		"not RESP":                       {"pay", "HTTP/1.1 200 OK\r\n", "-ERR .+"},
		"null value":                     {"pay", "*3\r\n$-1\r\n$-1\r\n$-1\r\n", "-ERR .+"},
		"second response appended":       {"pay", "*1\r\n$1\r\nx\r\n*1\r\n$1\r\nx\r\n", `\$1`},
		"garbage appended":               {"pay", "*1\r\n$1\r\nx\r\n\x00\xff", `\$1`},
		"value of 3 GB":                  {"pay", "*3\r\n$3221225472\r\nvvv", "-ERR .+"},
		"value too long":                 {"pay", "*3\r\n$9000000\r\n" + longValue + longValue, "-ERR .+"},
		"connection closed":              {"pay", "", "-ERR .+"},
		"closed within the response":     {"pay", "*3\r\n$65536\r\nvvv", "-ERR .+"},
		"closed, and a retry is allowed": {"lookup", "", `\$2`},
	} {
		t.Run(name, func(t *testing.T) {
			var once sync.Once
			onAttempt := func(a receivedAttempt) {
				response := okBackendResponse
				once.Do(func() { response = test.firstResponse })
				a.respond(response)
				if !strings.HasSuffix(response, "\r\n") {
					_ = a.conn.Close() // the gateway may have closed it
				}
			}
			h := newHarness(t, harnessOptions{onAttempt: onAttempt})
			c := h.dial()
			c.send(queryCommand("1", fieldsWithClass(test.class)))
			c.expectLine(test.want)
		})
	}
}

// Guards against repeated attempts on connections to a backend that closes idle connections only when the next attempt
// arrives on them.
func TestBackendConnections_DroppedIdleConnectionsAvoided(t *testing.T) {
	var mu sync.Mutex
	answered := map[net.Conn]bool{}
	dropped := 0
	onAttempt := func(a receivedAttempt) {
		mu.Lock()
		defer mu.Unlock()
		if answered[a.conn] {
			dropped++
			_ = a.conn.Close() // the gateway may have closed it
			return
		}
		answered[a.conn] = true
		a.respond(okBackendResponse)
	}
	h := newHarness(t, harnessOptions{onAttempt: onAttempt})
	c := h.dial()
	for n := range 30 {
		c.send(queryCommand(strconv.Itoa(n), lookupFields))
		if c.expectLine(`\$2|-BUSY.*`) == "$2" {
			c.expectLine("ok")
		}
		time.Sleep(20 * time.Millisecond)
	}
	mu.Lock()
	defer mu.Unlock()
	if dropped == 0 || dropped > 12 {
		t.Errorf("%d attempts were sent on a connection that the backend had dropped, want 1 to 12", dropped)
	}
}

func TestBackendConnections_ClosedIdleConnectionNotReused(t *testing.T) {
	h := newHarness(t, harnessOptions{onAttempt: func(a receivedAttempt) {
		a.respond(okBackendResponse)
		time.Sleep(20 * time.Millisecond)
		_ = a.conn.Close() // the gateway may have closed it
	}})
	c := h.dial()
	for range 5 { // a non-idempotent request sent on a closed connection would be aborted
		c.send(queryCommand("1", fieldsWithClass("pay")))
		c.expect(okClientResponse)
		time.Sleep(60 * time.Millisecond)
	}
}

// Both backends refuse connections, which shows that the attempts did not run. Even a non-idempotent request is
// therefore retried and finally rejected, and not answered with an error.
func TestBackendConnections_RefusedConnectionRejectsRequest(t *testing.T) {
	h := newHarness(t, harnessOptions{})
	address := testutil.FreeAddress(t)
	h.pool.SetAddress(1, address)
	h.pool.SetAddress(2, address)
	c := h.dial()
	c.send(queryCommand("1", fieldsWithClass("pay")))
	c.expectLine("-BUSY( [0-9]+)?")
}

// Guards against closing a connection while the backend is still sending the long response of an attempt that was
// abandoned at its deadline: the operators count that as a lost request. The gateway closes its sending side, as the
// protocol requires after giving up, but reads the rest of the response before it closes the connection.
func TestBackendConnections_LongResponseReadAfterDeadline(t *testing.T) {
	var h *harness
	responded, stayedOpen := make(chan error, 1), make(chan bool, 1)
	h = newHarness(t, harnessOptions{onAttempt: func(a receivedAttempt) {
		response := bulkBackendResponse(strings.Repeat("v", 2<<20))
		// A longer beginning would contain the length of the value, which is then passed on.
		a.respond(response[:len("*3\r\n")])
		h.waitUntil("the gateway has closed its sending side at the deadline", func() bool {
			return h.isClosedByGateway(a.conn)
		})
		err := writeSlowly(a.conn, response[len("*3\r\n"):])
		responded <- err
		if err == nil {
			stayedOpen <- staysOpen(a.conn, time.Second)
		}
	}})
	c := h.dial()
	c.send(queryCommand("1", "c=lookup,t=team,d=300"))
	c.expectLine(`-(BUSY|ERR).*`)
	if err := <-responded; err != nil {
		t.Fatalf("the connection was closed within the long response: %v", err)
	}
	if <-stayedOpen {
		t.Fatal("the connection stayed open after the response of the abandoned attempt")
	}
}

// writeSlowly writes the text in chunks, so that a write to a closed connection fails at a later chunk.
func writeSlowly(conn net.Conn, text string) error {
	for len(text) > 0 {
		chunk := text[:min(64<<10, len(text))]
		if _, err := io.WriteString(conn, chunk); err != nil {
			return fmt.Errorf("write with %d bytes left: %w", len(text), err)
		}
		text = text[len(chunk):]
		time.Sleep(20 * time.Millisecond)
	}
	return nil
}

// staysOpen reports whether the connection can be written to for the whole duration.
func staysOpen(conn net.Conn, duration time.Duration) bool {
	for deadline := time.Now().Add(duration); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if _, err := io.WriteString(conn, "x"); err != nil {
			return false
		}
	}
	return true
}

// Guards against cutting off an answer that the backend is still writing: a value of over 64 KiB that began before the
// deadline and took longer was answered with a rejection at the deadline. By the operators' pages only its first bytes
// are timed, and the rest must not be held back.
func TestBackendConnections_LongResponsePassedOnAfterDeadline(t *testing.T) {
	const pieces = 12
	value := strings.Repeat("v", 240_000)
	response := bulkBackendResponse(value)
	h := newHarness(t, harnessOptions{onAttempt: func(a receivedAttempt) {
		for n := range pieces {
			a.respond(response[len(response)*n/pieces : len(response)*(n+1)/pieces])
			time.Sleep(100 * time.Millisecond)
		}
	}})
	c := h.dial()
	start := time.Now()
	c.send(queryCommand("1", "c=lookup,t=team,d=500"))
	c.expect("$240000\r\n")
	if elapsed := time.Since(start); elapsed > 400*time.Millisecond {
		t.Errorf("the first bytes came after %v", elapsed)
	}
	c.expect(value + "\r\n")
	c.ping() // the connection is still in use
}

// A value of which the backend does not send the rest ends with the client's connection, so that the client can tell
// that it is not whole. The responses before it are written.
func TestBackendConnections_BrokenLongResponseEndsConnection(t *testing.T) {
	for name, end := range map[string]string{
		"connection ends":  "",
		"wrong terminator": strings.Repeat("v", 100_000) + "xx",
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, harnessOptions{onAttempt: func(a receivedAttempt) {
				a.respond("*3\r\n$100000\r\n" + end)
				_ = a.conn.Close() // the client receives no whole value
			}})
			c := h.dial()
			c.send(respCommand("PING") + queryCommand("1", lookupFields))
			c.expect("+PONG\r\n$100000\r\n")
			rest, err := io.ReadAll(c.reader)
			if err != nil || strings.HasSuffix(string(rest), "\r\n") {
				t.Errorf("%d bytes that end with %q, error %v", len(rest), rest[max(len(rest)-2, 0):], err)
			}
		})
	}
}
