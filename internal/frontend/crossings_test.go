package frontend

import (
	"bufio"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"fawnplank/internal/membudget"
	"fawnplank/policy"
)

// Tests of what may come between two lines: each holds one side still by a lock, a full line or a backend that does not
// answer, until the other has done what must cross it.

const served = "*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n"

// only is the one client that the server has.
func (h *house) only() (c *client) {
	h.until("one connection", func() bool {
		h.server.mu.Lock()
		defer h.server.mu.Unlock()
		for c = range h.server.clients {
		}
		return len(h.server.clients) == 1
	})
	return c
}

func (h *house) until(what string, is func() bool) {
	h.t.Helper()
	for end := time.Now().Add(5 * time.Second); !is(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			h.t.Fatalf("never: %s", what)
		}
	}
}

// Failure: a request that had been read when the door closed its connection was neither taken nor answered: the client
// could not know that it had never been sent on. Whatever has been read is answered first.
func TestARequestReadBeforeTheCloseIsAnswered(t *testing.T) {
	for name, end := range map[string]func(h *house, c *client){
		"room":     func(_ *house, c *client) { c.closeResting() },
		"shutdown": func(_ *house, c *client) { c.last.Store(true); c.endResting() },
	} {
		t.Run(name, func(t *testing.T) {
			h := open(t, 10, nil)
			conn, r := h.dial()
			c := h.only()
			h.server.mu.Lock() // its reader reads the request, and comes no further
			io.WriteString(conn, query("1", lookup))
			h.until("the request is read", func() bool {
				c.reading.Lock()
				defer c.reading.Unlock()
				return c.busy
			})
			end(h, c)
			h.server.mu.Unlock()
			h.next().answer(served)
			h.expect(r, "$2\r\nok\r\n")
		})
	}
}

// A request that comes once the connection is to end is not read, and not sent on. Failure: the close over it reset the
// connection, and an answer still on its way is lost to that; the client has time to take it.
func TestARequestAfterTheShutdownIsNotRead(t *testing.T) {
	h := open(t, 10, nil)
	conn, r := h.dial()
	io.WriteString(conn, query("1", lookup))
	shot := h.next()
	c := h.only()
	h.server.Close()
	io.WriteString(conn, words("PING")) // read as the first still is open; then its reader waits for that
	h.until("the PING is read", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.reading.Lock()
		defer c.reading.Unlock()
		return len(c.line) == 2 && !c.busy
	})
	io.WriteString(conn, query("2", lookup))
	h.until("it is there", func() bool { return c.nc.Waiting() > 0 })
	shot.answer(served)
	h.expect(r, "$2\r\nok\r\n+PONG\r\n")
	if _, err := r.ReadByte(); err != io.EOF {
		t.Errorf("behind the answers: %v", err)
	}
	h.until("the connection ends", func() bool { return h.server.Connections() == 0 })
	if n := len(h.heard); n > 0 {
		t.Errorf("%d requests sent on after the shutdown", n)
	}
}

// Failure: a client that sent on and on had its requests taken up to the process's end, where some were lost. Once the
// connection is to end no more is read, and it ends when what was taken is answered.
func TestAClientWhoSendsOnIsEnded(t *testing.T) {
	h := open(t, 10, func(c heard) {
		time.Sleep(30 * time.Millisecond) // longer than the pause between two requests: one is always open
		c.answer(served)
	})
	conn, r := h.dial()
	sent := make(chan int, 1)
	go func() {
		for n := 0; ; n++ {
			if _, err := io.WriteString(conn, query(strconv.Itoa(n), lookup)); err != nil {
				sent <- n
				return
			}
			time.Sleep(2 * time.Millisecond)
		}
	}()
	h.answers(r, 5)
	h.server.Close()
	closed := time.Now()
	h.until("the connection ends", func() bool { return h.server.Connections() == 0 })
	if took := time.Since(closed); took > time.Second {
		t.Errorf("it ended after %v", took)
	}
	if n := h.facade.OpenRequests(); n > 0 {
		t.Errorf("%d are open", n)
	}
	conn.Close()
	<-sent
}

// answers reads so many.
func (h *house) answers(r *bufio.Reader, n int) {
	for range n {
		line, err := r.ReadString('\n')
		if err != nil {
			h.t.Fatal(err)
		}
		if strings.HasPrefix(line, "$") {
			r.ReadString('\n')
		}
	}
}

// A connection that was taken in just before the shutdown still gets its request answered, then ends.
func TestARequestOnItsWayAtTheShutdownIsAnswered(t *testing.T) {
	h := open(t, 10, nil)
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() { // as the program does at its end: it meets a connection before its reader has begun, too
		defer close(stopped)
		for {
			select {
			case <-stop:
				return
			default:
				h.server.Close()
			}
		}
	}()
	for n := range 20 {
		conn, r := h.dial()
		h.until("it is taken in", func() bool { return h.server.Connections() > 0 })
		time.Sleep(5 * time.Millisecond) // several calls of Close, and far less than a new connection is given
		io.WriteString(conn, query(strconv.Itoa(n), lookup))
		h.next().answer(served)
		h.expect(r, "$2\r\nok\r\n")
		if _, err := r.ReadByte(); err != io.EOF {
			t.Errorf("behind the answer: %v", err)
		}
	}
	h.dial() // one that says nothing ends by itself
	close(stop)
	<-stopped
	h.until("it is taken in", func() bool { return h.server.Connections() > 0 })
	h.server.Close() // once will do
	h.until("it ends", func() bool { return h.server.Connections() == 0 })
}

// Failure: a client that had gone was not noticed while its connection's reader waited: for room in its line, for the
// pause after faults, for memory, or for the answers before an error. What it had open was sent on, again and again. Now it has
// gone at once, whatever bytes nobody has read, and the next attempt is not begun.
func TestAClientWhoGoesWhileTheReaderWaits(t *testing.T) {
	for name, x := range map[string]struct {
		behind string // the first request
		waits  func(c *client) bool
	}{
		"line": {strings.Repeat(words("PING"), 3*mostUnanswered), func(c *client) bool { return len(c.line) == mostUnanswered }},
		"faults": {strings.Repeat("*1\r\n$4\r\nNONE\r\n", 30) + words("PING"),
			func(c *client) bool { return len(c.line) > 8 }},
		"memory": {"*5\r\n$9\r\nSVC.QUERY\r\n$16\r\n00000000b4d65521\r\n$1\r\n2\r\n$3\r\nd=1\r\n$200000\r\n" + strings.Repeat("x", 150000),
			nil},
		"error": {"*x\r\n" + words("PING"), func(c *client) bool { return len(c.line) == 2 }},
	} {
		t.Run(name, func(t *testing.T) {
			h := open(t, 10, nil, func(s *Server) { s.budget = membudget.New(1) }) // none for a large command
			conn, _ := h.dial()
			io.WriteString(conn, query("1", lookup))
			shot := h.next()
			c := h.only()
			go io.WriteString(conn, x.behind)
			if x.waits != nil {
				h.until("the reader waits", func() bool {
					c.mu.Lock()
					defer c.mu.Unlock()
					return x.waits(c)
				})
			} else {
				h.until("the reader waits", func() bool { return c.nc.Waiting() > 0 })
			}
			left := time.Now()
			conn.Close()
			h.until("it has gone", func() bool { return h.facade.OpenRequests() == 0 || time.Since(left) > 100*time.Millisecond })
			shot.answer("-BUSY\r\n") // never run: it could go elsewhere
			select {
			case <-h.heard:
				t.Error("another attempt for a client who has gone")
			case <-time.After(100 * time.Millisecond):
			}
			h.until("the connection ends", func() bool { return h.server.Connections() == 0 })
		})
	}
}

// Failure: a request that had waited to be taken in while its client gave up and left was sent on.
func TestARequestOfAClientWhoLeftLongAgoIsNotSent(t *testing.T) {
	taken := takenBook{make(chan string, 10)}
	h := open(t, 1, nil, func(s *Server) { s.usage = taken })
	busy, r := h.dial()
	io.WriteString(busy, query("1", lookup))
	shot := h.next()
	<-taken.customers
	late, _ := h.dial() // taken in once the first has ended
	io.WriteString(late, query("2", lookup))
	late.Close()
	shot.answer(served)
	h.expect(r, "$2\r\nok\r\n")
	busy.Close()
	fresh, fr := h.dial()
	io.WriteString(fresh, words("PING"))
	h.line(fr, `\+PONG`)
	if n := len(taken.customers); n > 0 {
		t.Errorf("%d requests taken", n)
	}
}

// takenBook notes the customer of each transaction that is taken.
type takenBook struct{ customers chan string }

func (b takenBook) TenantPlan(customer string) (string, bool) {
	b.customers <- customer
	return "", false
}
func (takenBook) RecordUsage(string, string, time.Time, float64) {}

// Failure: where all connections had something open when one more came, it waited until one of them ended, also once all
// had come to rest: clients who keep theirs locked all others out for good.
func TestConnectionsThatComeToRestMakeRoom(t *testing.T) {
	h := open(t, 2, nil)
	var kept [2]*bufio.Reader
	var shots [2]heard
	for n := range kept {
		var c net.Conn
		c, kept[n] = h.dial()
		io.WriteString(c, query(strconv.Itoa(n), lookup))
		shots[n] = h.next()
	}
	third, r := h.dial()
	io.WriteString(third, words("PING"))
	h.until("it is waited for room", func() bool { return h.server.wanted.Load() })
	time.Sleep(20 * time.Millisecond) // and looked for in vain
	for n := range kept {
		shots[n].answer(served)
		h.expect(kept[n], "$2\r\nok\r\n")
	}
	h.line(r, `\+PONG`)
}

// Failure: a second answer that came some milliseconds after the first was taken for the next request's.
func TestALateSecondAnswerIsNobodys(t *testing.T) {
	h := open(t, 10, nil)
	h.facade.UpdateEndpoints(policy.FullSnapshot, []policy.Endpoint{{Backend: 1, State: policy.EndpointReady}})
	conn, r := h.dial()
	io.WriteString(conn, query("1", lookup))
	first := h.next()
	first.answer("*1\r\n$3\r\none\r\n")
	h.expect(r, "$3\r\none\r\n")
	io.WriteString(conn, query("2", lookup))
	second := h.next() // out before the late one comes
	first.answer("*1\r\n$3\r\none\r\n")
	second.answer("*1\r\n$3\r\ntwo\r\n")
	h.expect(r, "$3\r\ntwo\r\n")
}
