package counter

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"fawnplank/internal/dispatch"
	"fawnplank/policy"
)

// told is one answer as the facade hears it.
type told struct {
	name  policy.CounterKey
	total float64
	err   error
}

type ear chan told

func (e ear) HandleCounterResult(name policy.CounterKey, total float64, err error) {
	e <- told{name, total, err}
}

func (e ear) next(t *testing.T) told {
	t.Helper()
	select {
	case x := <-e:
		return x
	case <-time.After(3 * time.Second):
		t.Fatal("no answer told")
		panic("not reached")
	}
}

// call is one line as the counter hears it.
type heard struct {
	text string
	conn net.Conn
}

// counter listens, and passes on what it hears.
func listen(t *testing.T) (*Client, ear, chan heard, net.Listener) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	lines, e := make(chan heard, 100), make(ear, 100)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				r := bufio.NewReader(c)
				for {
					text, err := r.ReadString('\n')
					if err != nil {
						return
					}
					lines <- heard{strings.TrimSuffix(text, "\r\n"), c}
				}
			}()
		}
	}()
	return New(Options{Address: l.Addr().String(), ConnectTimeout: 200 * time.Millisecond}, e), e, lines, l
}

func TestAnswersReachTheirCallsInOrder(t *testing.T) {
	c, e, lines, _ := listen(t)
	c.Add(0xab, 2.5, 4_000_000_001)
	c.Add(0xab, -1, 1)
	c.Add(0xcd, 1, 1e9)
	c.Flush()
	by := map[string]heard{}
	for range 3 {
		h := <-lines
		by[h.text] = h
	}
	first, second, other := by["bump ab 2.5 4001"], by["bump ab -1 1"], by["bump cd 1 1000"]
	if first.conn == nil || first.conn != second.conn {
		t.Fatalf("heard %v", by)
	}
	if other.conn == first.conn {
		t.Error("a name waits behind another though a connection could be had")
	}
	fmt.Fprint(other.conn, "busy\r\n")
	if x := e.next(t); x.name != 0xcd || x.err != dispatch.ErrRejected {
		t.Errorf("%+v", x)
	}
	fmt.Fprint(first.conn, "ok 2.5\r\nok ") // in pieces
	if x := e.next(t); x != (told{0xab, 2.5, nil}) {
		t.Errorf("%+v", x)
	}
	fmt.Fprint(first.conn, "1.5\r\n")
	if x := e.next(t); x != (told{0xab, 1.5, nil}) {
		t.Errorf("%+v", x)
	}
	c.Add(0xef, 1, 1e9)
	c.Flush()
	h := <-lines
	fmt.Fprint(h.conn, "error\r\n")
	if x := e.next(t); x.name != 0xef || x.err != dispatch.ErrRejected {
		t.Errorf("%+v", x)
	}
	if h.conn != first.conn && h.conn != other.conn {
		t.Error("a new connection though two were free")
	}
}

func TestBrokenConnectionsSayWhatMayHaveBeenAdded(t *testing.T) {
	c, e, lines, l := listen(t)
	c.Add(1, 1, 1e9)
	c.Flush()
	h := <-lines
	h.conn.Close()
	if x := e.next(t); x.err != dispatch.ErrTimeout {
		t.Errorf("written: %+v", x)
	}
	l.Close()
	c.Add(2, 1, 1e9)
	c.Flush()
	var fault *dispatch.NetworkError
	if x := e.next(t); !errors.As(x.err, &fault) || fault.Progress >= dispatch.Written {
		t.Errorf("refused: %+v", x)
	}
	c.Add(3, 1, 1e9) // and it goes on trying
	c.Flush()
	if x := e.next(t); x.name != 3 {
		t.Errorf("%+v", x)
	}
}

// A counter that has moved never answers on the old connections: they are given up, and new ones opened.
func TestSilentConnectionsAreGivenUp(t *testing.T) {
	c, e, lines, _ := listen(t)
	c.Add(1, 1, 1e9)
	c.Flush()
	old := <-lines
	time.Sleep(longestSilence + 50*time.Millisecond)
	c.Add(1, 1, 1e9)
	c.Flush()
	if x := e.next(t); x.name != 1 || x.err != dispatch.ErrTimeout {
		t.Errorf("%+v", x)
	}
	c.Add(1, 1, 1e9)
	c.Flush()
	h := <-lines
	for h.conn == old.conn { // what was still written there
		h = <-lines
	}
	fmt.Fprint(h.conn, "ok 1\r\n")
	for x := e.next(t); x.err != nil; x = e.next(t) {
	}
}

func TestNonsenseEndsTheConnection(t *testing.T) {
	for name, text := range map[string]string{"an answer without a call": "ok 1\r\nok 2\r\n",
		"an endless answer": strings.Repeat("o", 5000), "no number": "ok much\r\n", "no total": "ok\r\n",
		"infinite": "ok Inf\r\n", "noise": "\x00\x07"} {
		c, e, lines, _ := listen(t)
		c.Add(1, 1, 1e9)
		c.Flush()
		h := <-lines
		fmt.Fprint(h.conn, text)
		x := e.next(t)
		if name == "an answer without a call" != (x.err == nil) {
			t.Errorf("%s: %+v", name, x)
		}
		// Its amount was added: what may be told otherwise of it is that no answer came.
		if fault := (*dispatch.NetworkError)(nil); x.err != nil && (!errors.As(x.err, &fault) || fault.Progress != dispatch.Answering) {
			t.Errorf("%s: %+v", name, x)
		}
		c.Add(1, 1, 1e9)
		c.Flush()
		if h = <-lines; h.text != "bump 1 1 1000" {
			t.Errorf("%s: then %q", name, h.text)
		}
	}
}

// After a move new calls go to the new address at once. Those out may still be answered at the old one, and
// each name's answers are told in the order of its calls.
func TestMoveKeepsTheOrderOfANamesAnswers(t *testing.T) {
	c, e, lines, l := listen(t)
	_, _, others, there := listen(t)
	c.Add(1, 1, 1e9)
	c.Flush()
	old := <-lines
	c.Add(2, 1, 1e9)
	c.Flush()
	idle := <-lines
	fmt.Fprint(idle.conn, "ok 1\r\n")
	e.next(t)
	l.Close()
	c.SetAddress(there.Addr().String())
	c.SetAddress(there.Addr().String())
	if _, err := idle.conn.Read(make([]byte, 1)); err == nil {
		t.Error("a connection without calls stays at the old address")
	}
	c.Add(1, 2, 1e9)
	c.Add(3, 3, 1e9)
	c.Flush()
	for range 2 {
		h := <-others
		fmt.Fprintf(h.conn, "ok %s\r\n", strings.Fields(h.text)[2])
	}
	if x := e.next(t); x != (told{3, 3, nil}) {
		t.Errorf("%+v", x)
	}
	fmt.Fprint(old.conn, "ok 7\r\n")
	for _, want := range []float64{7, 2} {
		if x := e.next(t); x != (told{1, want, nil}) {
			t.Errorf("%+v, wanted %v", x, want)
		}
	}
	if _, err := old.conn.Read(make([]byte, 1)); err == nil {
		t.Error("the old connection stays after its last answer")
	}
	for until := time.Now().Add(2 * time.Second); ; time.Sleep(time.Millisecond) { // its last answer's teller ends
		c.mu.Lock()
		names, lines := len(c.names), len(c.old)
		c.mu.Unlock()
		if names+lines == 0 {
			return
		}
		if time.Now().After(until) {
			t.Fatalf("kept: %d names, %d connections", names, lines)
		}
	}
}
