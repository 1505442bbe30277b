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

func TestBackendResponses(t *testing.T) {
	long, huge := strings.Repeat("v", 64<<10), strings.Repeat("v", 400000)
	for name, test := range map[string]struct{ class, first, want string }{
		"long value":                  {"lookup", bulkReply(long), `\$65536`},
		"value of 400 KB":             {"pay", bulkReply(huge), `\$400000`},
		"rejection":                   {"pay", "-BUSY full\r\n", `\$2`},
		"error":                       {"lookup", "-ERR failed\r\n", `\$2`},
		"error that may have run":     {"pay", "-ERR failed\r\n", "-ERR .+"},
		"no meaning":                  {"pay", "+OK\r\n", "-ERR .+"},
		"no RESP":                     {"pay", "HTTP/1.1 200 OK\r\n", "-ERR .+"},
		"null value":                  {"pay", "*3\r\n$-1\r\n$-1\r\n$-1\r\n", "-ERR .+"},
		"second response behind":      {"pay", "*1\r\n$1\r\nx\r\n*1\r\n$1\r\nx\r\n", `\$1`},
		"noise behind":                {"pay", "*1\r\n$1\r\nx\r\n\x00\xff", `\$1`},
		"value of 3 GB":               {"pay", "*3\r\n$3221225472\r\nvvv", "-ERR .+"},
		"value too long":              {"pay", "*3\r\n$9000000\r\n" + long + long, "-ERR .+"},
		"connection's end":            {"pay", "", "-ERR .+"},
		"end within the response":     {"pay", "*3\r\n$65536\r\nvvv", "-ERR .+"},
		"end, and a retry is allowed": {"lookup", "", `\$2`},
	} {
		t.Run(name, func(t *testing.T) {
			var once sync.Once
			onAttempt := func(a receivedAttempt) {
				reply := okReply
				once.Do(func() { reply = test.first })
				a.respond(reply)
				if !strings.HasSuffix(reply, "\r\n") {
					_ = a.conn.Close() // the gateway may have closed it
				}
			}
			h := newHarness(t, harnessOptions{onAttempt: onAttempt})
			c := h.dial()
			c.send(query("1", ofClass(test.class)))
			c.expectLine(test.want)
		})
	}
}

// Failure: backends that forget an idle connection, without a word before the next attempt, had attempt upon
// attempt on such connections.
func TestBackendConnections_ForgottenOnesAvoided(t *testing.T) {
	var mu sync.Mutex
	answered := map[net.Conn]bool{}
	forgotten := 0
	onAttempt := func(a receivedAttempt) {
		mu.Lock()
		defer mu.Unlock()
		if answered[a.conn] {
			forgotten++
			_ = a.conn.Close() // the gateway may have closed it
			return
		}
		answered[a.conn] = true
		a.respond(okReply)
	}
	h := newHarness(t, harnessOptions{onAttempt: onAttempt})
	c := h.dial()
	for n := range 30 {
		c.send(query(strconv.Itoa(n), lookupFields))
		if c.expectLine(`\$2|-BUSY.*`) == "$2" {
			c.expectLine("ok")
		}
		time.Sleep(20 * time.Millisecond)
	}
	mu.Lock()
	defer mu.Unlock()
	if forgotten == 0 || forgotten > 12 {
		t.Errorf("%d attempts met a connection that was forgotten", forgotten)
	}
}

func TestBackendConnections_ClosedIdleOneNotUsed(t *testing.T) {
	h := newHarness(t, harnessOptions{onAttempt: func(a receivedAttempt) {
		a.respond(okReply)
		time.Sleep(20 * time.Millisecond)
		_ = a.conn.Close() // the gateway may have closed it
	}})
	c := h.dial()
	for range 5 { // a non-idempotent request on a connection that is closed would be aborted
		c.send(query("1", ofClass("pay")))
		c.expect(okResponse)
		time.Sleep(60 * time.Millisecond)
	}
}

// Nobody listens at the address: proved not run, so even a non-idempotent request is retried elsewhere.
func TestBackendConnections_RefusedOneRetriedElsewhere(t *testing.T) {
	h := newHarness(t, harnessOptions{})
	address := testutil.FreeAddress(t)
	h.pool.SetAddress(1, address)
	h.pool.SetAddress(2, address)
	c := h.dial()
	c.send(query("1", ofClass("pay")))
	c.expectLine("-BUSY( [0-9]+)?")
}

// Failure: an attempt given up while its long response was still coming closed the connection under the
// backend, which the operators count as a lost request. The rest is read, and the connection ends after it;
// that the gateway ends its own sending there, as the protocol asks of who gives up, cuts nothing off.
func TestBackendConnections_LongResponseNotCutOff(t *testing.T) {
	var h *harness
	responded, open := make(chan error, 1), make(chan bool, 1)
	h = newHarness(t, harnessOptions{onAttempt: func(a receivedAttempt) {
		reply := bulkReply(strings.Repeat("v", 2<<20))
		a.respond(reply[:1<<20])
		h.until("the deadline has passed, and the sending ended", func() bool { return h.hasEnded(a.conn) })
		err := writeSlowly(a.conn, reply[1<<20:])
		responded <- err
		if err == nil {
			open <- staysOpen(a.conn, time.Second)
		}
	}})
	c := h.dial()
	c.send(query("1", "c=lookup,t=team,d=300"))
	c.expectLine(`-(BUSY|ERR).*`)
	if err := <-responded; err != nil {
		t.Fatalf("the long response was cut off: %v", err)
	}
	if <-open {
		t.Fatal("the connection stayed open after the response that nobody wants")
	}
}

// writeSlowly writes in pieces: a connection that is closed shows in the piece after.
func writeSlowly(conn net.Conn, text string) error {
	for len(text) > 0 {
		piece := text[:min(64<<10, len(text))]
		if _, err := io.WriteString(conn, piece); err != nil {
			return fmt.Errorf("with %d bytes left: %w", len(text), err)
		}
		text = text[len(piece):]
		time.Sleep(20 * time.Millisecond)
	}
	return nil
}

// staysOpen reports whether the connection can be written to for so long.
func staysOpen(conn net.Conn, duration time.Duration) bool {
	for until := time.Now().Add(duration); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		if _, err := io.WriteString(conn, "x"); err != nil {
			return false
		}
	}
	return true
}
