// Package counter calls the counter service. It owns the connections to it and the calls that wait there for
// their answers, which it hands on in order. It must never decide whether to call, how long to wait for an
// answer, or what a number means; and it never calls the facade with its lock held.
package counter

import (
	"bytes"
	"errors"
	"math"
	"net"
	"runtime/debug"
	"slices"
	"strconv"
	"sync"
	"time"

	"fawnplank/internal/dispatch"
	"fawnplank/internal/logging"
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
	// longestAnswer is several times a total in any form.
	longestAnswer = 128
)

// ResultHandler is told the answers.
type ResultHandler interface {
	HandleCounterResult(name policy.CounterKey, total float64, err error)
}

// Options say which counter a client calls, and how. Address is needed; the zero values of the others hold where
// they do.
type Options struct {
	Address        string        // host and port
	ConnectTimeout time.Duration // for a connection to come up; 0: no bound but the system's
	Format         Format        // the zero value is Text
}

// Client calls the counter.
type Client struct {
	format  Format
	told    ResultHandler
	patient time.Duration // for a connection to come up
	mu      sync.Mutex
	address string
	lines   []*line // to the address
	old     []*line // to earlier addresses, with calls out
	names   map[policy.CounterKey]*queue
	unsent  []*line   // bumped since the last flush
	good    uint64    // calls answered with a total
	bad     uint64    // and those not
	failed  time.Time // the first failure since the last total; zero: none
}

// Stats is what became of the calls so far.
type Stats struct {
	Answered uint64        // with a total
	Failed   uint64        // without one
	Outage   time.Duration // since the first failure after the last total; 0: none
}

// Stats returns what became of the calls so far.
func (c *Client) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	stats := Stats{Answered: c.good, Failed: c.bad}
	if !c.failed.IsZero() {
		stats.Outage = time.Since(c.failed)
	}
	return stats
}

// New makes a client that reports to handler; a connection is opened when it is first needed.
func New(options Options, handler ResultHandler) *Client {
	return &Client{told: handler, format: options.Format, address: options.Address, patient: options.ConnectTimeout,
		names: map[policy.CounterKey]*queue{}}
}

// SetAddress goes on to another address. Calls out may still be answered at the old one until it closes.
func (c *Client) SetAddress(address string) {
	c.mu.Lock()
	if address == c.address {
		c.mu.Unlock()
		return
	}
	c.address = address
	lines := c.lines
	c.lines, c.old = nil, append(c.old, lines...)
	for _, q := range c.names {
		q.line = nil
	}
	var idle []*line
	for _, l := range lines {
		if l.old = true; len(l.calls) == 0 {
			idle = append(idle, l)
		}
	}
	c.mu.Unlock()
	for _, l := range idle {
		l.end(errors.New("the counter has moved"))
	}
}

// line is one connection.
type line struct {
	c       *Client
	address string
	conn    *sock.Conn // nil: not up yet
	buf     []byte     // not written yet
	unsent  int        // the calls in it
	calls   []*call    // unanswered, in order
	writing bool       // somebody is at it
	old     bool       // the counter has moved: no further calls
	gone    bool
	half    reply // RESP: the first of the two replies of the oldest call
}

type call struct {
	name  policy.CounterKey
	at    time.Time
	ended bool
	total float64
	err   error
}

// queue holds a name's calls: they are told in their order, also where the later went to another address.
type queue struct {
	line    *line // that takes the next one; nil: any
	calls   []*call
	telling bool // somebody is at it
}

// Add adds to a number. It blocks nobody: Flush sends.
func (c *Client) Add(name policy.CounterKey, units float64, lifetime time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	q := c.names[name]
	if q == nil {
		q = &queue{}
		c.names[name] = q
	}
	if q.line == nil {
		q.line = c.pick()
	}
	l, k := q.line, &call{name: name, at: now}
	l.buf = c.format.write(l.buf, name, units, lifetime)
	l.calls, q.calls = append(l.calls, k), append(q.calls, k)
	l.unsent++
	c.unsent = append(c.unsent, l)
}

// pick gives the first connection that waits for nothing, a new one, or the one that waits for least.
func (c *Client) pick() *line {
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
		l := &line{c: c, address: c.address}
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
	for _, lines := range [][]*line{c.lines, c.old} {
		for _, l := range lines {
			if len(l.calls) > 0 && time.Since(l.calls[0].at) > longestSilence {
				silent = append(silent, l)
			}
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
			logging.Panicked("counter", x, debug.Stack())
			l.end(errors.New("panic"))
		}
	}()
	conn, err := sock.Dial(l.address, l.c.patient)
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
			size, done, spoilt, total, err := l.c.format.next(rest, &l.half)
			if spoilt { // what cannot become an answer is not waited for: behind it others wait
				l.answer(0, &dispatch.NetworkError{Progress: dispatch.Answering, Err: errNoTotal})
				l.end(errors.New("spoilt answer"))
				return
			}
			if size == 0 {
				break
			}
			if done && !l.answer(total, err) {
				l.end(errors.New("of no further use"))
				return
			}
			rest = rest[size:]
		}
		held = copy(buf, rest)
	}
}

// answer passes on the answer to the oldest call; false says that nothing more can come.
func (l *line) answer(total float64, err error) bool {
	c := l.c
	c.mu.Lock()
	if len(l.calls) == 0 || l.gone {
		c.mu.Unlock()
		return false
	}
	k := l.calls[0]
	l.calls = l.calls[1:]
	old, idle := l.old, len(l.calls) == 0
	if idle {
		l.calls = nil
	}
	c.mu.Unlock()
	c.tell(k, total, err)
	return (err == nil || err == dispatch.ErrRejected) && !(old && idle)
}

var errNoTotal = errors.New("no total")

// meaning is the total of an answer, or why there is none. Where it is spoilt, the call has been added.
func meaning(text []byte) (total float64, err error) {
	switch string(text) {
	case "busy", "error":
		return 0, dispatch.ErrRejected
	}
	sum, ok := bytes.CutPrefix(text, []byte("ok "))
	if total, err = strconv.ParseFloat(string(sum), 64); err != nil || !ok || math.IsNaN(total-total) {
		return 0, &dispatch.NetworkError{Progress: dispatch.Answering, Err: errNoTotal}
	}
	return total, nil
}

// tell notes how a call ended, and passes on what can be told of its name by now.
func (c *Client) tell(k *call, total float64, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k.ended, k.total, k.err = true, total, err
	if err == nil {
		c.good++
		c.failed = time.Time{}
	} else if c.bad++; c.failed.IsZero() {
		c.failed = time.Now()
	}
	q := c.names[k.name]
	for !q.telling && len(q.calls) > 0 && q.calls[0].ended {
		first := q.calls[0]
		q.calls, q.telling = q.calls[1:], true
		func() {
			c.mu.Unlock()
			defer func() { c.mu.Lock(); q.telling = false }() // after a panic too
			c.told.HandleCounterResult(first.name, first.total, first.err)
		}()
	}
	if len(q.calls) == 0 && !q.telling && c.names[k.name] == q {
		delete(c.names, k.name)
	}
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
	itself := func(other *line) bool { return other == l }
	c.lines, c.old = slices.DeleteFunc(c.lines, itself), slices.DeleteFunc(c.old, itself)
	calls, written := l.calls, len(l.calls)-l.unsent
	for _, k := range calls {
		if q := c.names[k.name]; q.line == l {
			q.line = nil
		}
	}
	if l.conn != nil {
		l.conn.Close()
	}
	c.mu.Unlock()
	if len(calls) > 0 {
		logging.For("counter").WithError(why).WithField("calls", len(calls)).Debug("connection ended")
	}
	for n, k := range calls {
		err := error(dispatch.ErrTimeout)
		if n >= written {
			err = &dispatch.NetworkError{Progress: dispatch.Writing, Err: why}
		}
		c.tell(k, 0, err)
	}
}
