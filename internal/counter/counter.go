// Package counter calls the counter service. It owns the connections to it and the calls that wait there for
// their answers, which it hands on in order. It must never decide whether to call, how long to wait for an
// answer, or what a number means; and it never calls the facade with its lock held.
package counter

import (
	"bytes"
	"errors"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"fawnplank/internal/facade"
	"fawnplank/internal/sock"
	"fawnplank/policy"
)

const (
	// mostLines is how many connections are open at most: the counter holds 32 for a front door's address. A
	// call goes to one that waits for nothing, so that an answer from a slow part holds up no other's.
	mostLines = 16
	// longestSilence is how long a connection may leave its oldest call unanswered before it is given up: a
	// counter that has moved never answers on the old ones. Many times what a crowded counter takes.
	longestSilence = time.Second
)

// Told is told the answers.
type Told interface {
	Counted(name policy.CountID, total float64, err error)
}

// Client calls the counter.
type Client struct {
	told    Told
	address string
	patient time.Duration // for a connection to come up
	mu      sync.Mutex
	lines   []*line
	names   map[policy.CountID]*line // those with calls out: answers for a name must come in order
	unsent  []*line                  // bumped since the last flush
}

// New makes a client; a connection is opened when it is first needed.
func New(told Told, address string, connectTimeout time.Duration) *Client {
	return &Client{told: told, address: address, patient: connectTimeout, names: map[policy.CountID]*line{}}
}

// line is one connection.
type line struct {
	c       *Client
	conn    *sock.Conn // nil: not up yet
	buf     []byte     // not written yet
	unsent  int        // the calls in it
	calls   []call     // unanswered, in order
	writing bool       // somebody is at it
	gone    bool
}

type call struct {
	name policy.CountID
	at   time.Time
}

// Bump adds to a number. It blocks nobody: Flush sends.
func (c *Client) Bump(name policy.CountID, units float64, lifetime int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	l := c.names[name]
	if l == nil {
		l = c.pick(now)
		c.names[name] = l
	}
	l.buf = append(l.buf, "bump "...)
	l.buf = strconv.AppendUint(l.buf, uint64(name), 16)
	l.buf = append(l.buf, ' ')
	l.buf = strconv.AppendFloat(l.buf, units, 'f', -1, 64)
	l.buf = append(l.buf, ' ')
	l.buf = strconv.AppendInt(l.buf, max((lifetime+999_999)/1_000_000, 1), 10)
	l.buf = append(l.buf, "\r\n"...)
	l.calls = append(l.calls, call{name, now})
	l.unsent++
	c.unsent = append(c.unsent, l)
}

// pick gives the first connection that waits for nothing, a new one, or the one that waits for least.
func (c *Client) pick(now time.Time) *line {
	var least *line
	for _, l := range c.lines {
		if least == nil || len(l.calls) < len(least.calls) {
			least = l
		}
		if len(l.calls) == 0 {
			return l
		}
	}
	if len(c.lines) < mostLines {
		l := &line{c: c}
		c.lines = append(c.lines, l)
		go l.run()
		return l
	}
	return least
}

// Flush writes what was bumped, and gives up connections that have been silent for too long.
func (c *Client) Flush() {
	c.mu.Lock()
	unsent := c.unsent
	c.unsent = nil
	var silent []*line
	for _, l := range c.lines {
		if len(l.calls) > 0 && time.Since(l.calls[0].at) > longestSilence {
			silent = append(silent, l)
		}
	}
	c.mu.Unlock()
	for _, l := range unsent {
		l.flush()
	}
	for _, l := range silent {
		l.end(errors.New("silent"))
	}
}

// flush writes what waits, unless another does or the connection is not up: then that one goes on.
func (l *line) flush() {
	c := l.c
	c.mu.Lock()
	for len(l.buf) > 0 && l.conn != nil && !l.writing && !l.gone {
		buf := l.buf
		l.buf, l.unsent, l.writing = nil, 0, true
		c.mu.Unlock()
		_, err := l.conn.Write(buf)
		c.mu.Lock()
		l.writing = false
		if err != nil {
			c.mu.Unlock()
			l.end(err)
			return
		}
		if len(l.buf) == 0 {
			l.buf = buf[:0]
		}
	}
	c.mu.Unlock()
}

// run connects and reads answers until the connection ends.
func (l *line) run() {
	defer func() {
		if x := recover(); x != nil {
			logrus.Errorf("panic on a connection to the counter: %v", x)
			l.end(errors.New("panic"))
		}
	}()
	conn, err := sock.Dial(l.c.address, l.c.patient)
	l.c.mu.Lock()
	if err == nil && l.gone {
		conn.Close()
		err = net.ErrClosed
	}
	if err == nil {
		l.conn = conn
	}
	l.c.mu.Unlock()
	if err != nil {
		l.end(err)
		return
	}
	l.flush()
	buf, held := make([]byte, 4096), 0
	for {
		n, err := conn.Read(buf[held:])
		if err != nil {
			l.end(err)
			return
		}
		held += n
		rest := buf[:held]
		for {
			end := bytes.IndexByte(rest, '\n')
			if end < 0 {
				break
			}
			if !l.answer(bytes.TrimSuffix(rest[:end], []byte("\r"))) {
				l.end(errors.New("answer without a call"))
				return
			}
			rest = rest[end+1:]
		}
		if held = copy(buf, rest); held == len(buf) {
			l.end(errors.New("endless answer"))
			return
		}
	}
}

// answer passes on the answer to the oldest call.
func (l *line) answer(text []byte) bool {
	c := l.c
	c.mu.Lock()
	if len(l.calls) == 0 || l.gone {
		c.mu.Unlock()
		return false
	}
	name := l.calls[0].name
	l.calls = l.calls[1:]
	if len(l.calls) == 0 {
		l.calls = nil
	}
	l.forget(name)
	c.mu.Unlock()
	var total float64
	err := facade.TurnedAway // busy and error: nothing was added
	if sum, ok := bytes.CutPrefix(text, []byte("ok ")); ok {
		if total, err = strconv.ParseFloat(string(sum), 64); err != nil {
			err = &facade.Fault{Came: facade.Answering, Err: err}
		}
	}
	c.told.Counted(name, total, err)
	return true
}

// forget lets the name go to any connection once it has no call out on this one.
func (l *line) forget(name policy.CountID) {
	for _, k := range l.calls {
		if k.name == name {
			return
		}
	}
	delete(l.c.names, name)
}

// end closes the connection. Calls written may have been added; those not written never were.
func (l *line) end(why error) {
	c := l.c
	c.mu.Lock()
	if l.gone {
		c.mu.Unlock()
		return
	}
	l.gone = true
	for n, other := range c.lines {
		if other == l {
			c.lines = append(c.lines[:n], c.lines[n+1:]...)
			break
		}
	}
	calls, written := l.calls, len(l.calls)-l.unsent
	for _, k := range calls {
		delete(c.names, k.name)
	}
	if l.conn != nil {
		l.conn.Close()
	}
	c.mu.Unlock()
	if len(calls) > 0 {
		logrus.Debugf("counter connection ended with %d calls out: %v", len(calls), why)
	}
	for n, k := range calls {
		err := error(facade.Unanswered)
		if n >= written {
			err = &facade.Fault{Came: facade.Writing, Err: why}
		}
		c.told.Counted(k.name, 0, err)
	}
}
