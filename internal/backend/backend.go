// Package backend carries shots to the backends. It owns the connections to them, warm and in use, and says of
// each shot how it ended or how far it came. It must never decide where a shot goes, send one again, or keep
// one on after it was called off.
package backend

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"math/bits"
	"net"
	"net/netip"
	"runtime/debug"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"fawnplank/internal/dialer"
	"fawnplank/internal/dispatch"
	"fawnplank/internal/logging"
	"fawnplank/internal/membudget"
	"fawnplank/internal/metrics"
	"fawnplank/internal/resp"
	"fawnplank/internal/sock"
	"fawnplank/policy"
)

const (
	mostLine  = 1 << 10 // of an error with its load report: several times what the settings' fields take
	mostParts = 8       // of an answer: value, figures, report, and room
	// mostValue is the largest value of an answer; what is said to be larger is no value.
	mostValue  = resp.MaxValue
	mostAnswer = mostValue + 4<<10 // a value with its figures and report
	// plainAnswer is what a connection holds without room of the process's own for large values.
	plainAnswer = 68 << 10
	// roomWait is how long a reader waits for room for a large answer: the longest deadline of the operators'
	// page. Meanwhile that backend's connection is not read on.
	roomWait = 3 * time.Second
	// mostOrphaned is how long the rest of an answer that nobody wants is read in all: an answer that never ends, a few
	// bytes at a time, would keep its connection for good. Ten of the longest waits for a piece.
	mostOrphaned = 10 * roomWait
	// mostLate is how late a second answer to one shot may come: some milliseconds, as the operators say. The next
	// shot on that connection would take it for its own; younger at rest, the connection is not used.
	mostLate = 10 * time.Millisecond
)

// errCrowded says that no descriptor is left for a connection.
var errCrowded = errors.New("no descriptor left")

// Pool holds the connections to all backends.
type Pool struct {
	patient time.Duration // for a connection to come up
	idle    time.Duration // after which a warm one is closed
	most    int           // connections at once
	probed  func(b policy.BackendID, err error)
	Budget  *membudget.Budget // for large answers, beside the clients' large commands
	Metrics *metrics.Registry // counted here: shots written whole

	mu    sync.Mutex // of all that follows, and of every connection's state
	peers map[policy.BackendID]*peer
	conns int
	rests rests
}

// rests remembers how shots ended on connections that had rested for up to 1, 2, 4 ... ms. Exception: backends,
// or what lies between, forget connections long before the settings say, and some without a word: the next shot
// meets a reset, and may have run. From the shortest rest on after which over a fifth end so, new ones are
// opened: a few broken connections of any age are usual. Hurts by opening some that need not be.
type rests struct {
	steps [24]struct{ used, ended float64 }
	faded time.Time
}

func step(rest time.Duration) int { return min(bits.Len64(uint64(max(rest.Milliseconds(), 0))), 23) }

func (r *rests) note(rest time.Duration, ended bool) {
	s := &r.steps[step(rest)]
	s.used++
	if ended {
		s.ended++
	}
}

// stale says whether a shot should not go out on a connection that has rested so long.
func (r *rests) stale(now time.Time, rest time.Duration) bool {
	if now.Sub(r.faded) > 10*time.Second { // half is forgotten: what is avoided is tried again some day
		r.faded = now
		for i := range r.steps {
			r.steps[i].used, r.steps[i].ended = r.steps[i].used/2, r.steps[i].ended/2
		}
	}
	for _, s := range r.steps[:step(rest)+1] {
		if s.ended >= 2 && s.ended*5 > s.used {
			return true
		}
	}
	return false
}

// peer is one backend.
type peer struct {
	address string
	// several, where set, are the addresses of one backend that has more than one, in the order to try them; the one
	// that last came up is first, so that one that hangs costs its part of the time once and not at each connection.
	several []netip.AddrPort
	warm    []*conn // the latest used last
	gone    bool
}

// conn is a connection; one shot is out on it at a time. Its reader is always at work, so that a warm one that
// the backend closes is dropped before a shot is written to it.
type conn struct {
	pool *Pool
	peer *peer
	nc   *sock.Conn
	shot *dispatch.Attempt // out on it
	came dispatch.Progress // how far it has come
	used time.Time
	rest time.Duration // before the shot; below 0: there was none
	down bool
	// An answer may come before the writer is done with the connection: writing says that it is not yet, and
	// free that the connection is to rest then.
	writing, free bool
	// large is what it holds of the room.
	large  int64
	orphan atomic.Bool // its shot was given up while the answer came: what comes is dropped
	until  time.Time   // then, by when all of it has to have come; set before orphan
}

// New makes a pool of at most so many connections. idle is the time after which backends close a connection;
// it is left at half of that, so that no shot meets a connection that is being closed.
func New(most int, connectTimeout, idle time.Duration, probed func(policy.BackendID, error)) *Pool {
	return &Pool{patient: connectTimeout, idle: idle / 2, most: most, probed: probed,
		peers: map[policy.BackendID]*peer{}}
}

// SetAddress says where a backend listens.
func (p *Pool) SetAddress(b policy.BackendID, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if old := p.peers[b]; old == nil || old.address != address {
		p.drop(b)
		p.peers[b] = &peer{address: address}
	}
}

// SetAddresses says where a backend listens that has more than one address.
func (p *Pool) SetAddresses(b policy.BackendID, all []netip.AddrPort) {
	order := dialer.Order(all, dialer.Reachable)
	p.mu.Lock()
	defer p.mu.Unlock()
	if name := fmt.Sprint(all); p.peers[b] == nil || p.peers[b].address != name {
		p.drop(b)
		p.peers[b] = &peer{address: name, several: order}
	}
}

// Forget drops a backend that is gone. Shots out there stay out.
func (p *Pool) Forget(b policy.BackendID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drop(b)
}

func (p *Pool) drop(b policy.BackendID) {
	if old := p.peers[b]; old != nil {
		old.gone = true
		for len(old.warm) > 0 {
			old.warm[0].close()
		}
		delete(p.peers, b)
	}
}

// take gives a warm connection, or room for a new one.
func (p *Pool) take(b policy.BackendID) (c *conn, to *peer, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	to = p.peers[b]
	if to == nil {
		return nil, nil, errors.New("no address known")
	}
	now := time.Now()
	for len(to.warm) > 0 && now.Sub(to.warm[0].used) > p.idle {
		to.warm[0].close()
	}
	for n := len(to.warm) - 1; n >= 0; n-- {
		c = to.warm[n]
		if now.Sub(c.used) < mostLate {
			continue
		}
		// What its reader has not dealt with, bytes that belong to nothing or its end, must not meet the next shot.
		if c.nc.Settled() && !p.rests.stale(now, now.Sub(c.used)) {
			to.warm = slices.Delete(to.warm, n, n+1)
			c.rest = now.Sub(c.used)
			return c, to, nil
		}
		c.close()
	}
	return nil, to, p.place()
}

// place counts a connection that is to be opened; where there are as many as may be, the one longest at rest goes. The
// pool's lock is held.
func (p *Pool) place() error {
	if p.conns >= p.most {
		var oldest *conn
		for _, other := range p.peers { // of two as old, either will do
			if len(other.warm) > 0 && (oldest == nil || other.warm[0].used.Before(oldest.used)) {
				oldest = other.warm[0]
			}
		}
		if oldest == nil {
			return errCrowded
		}
		oldest.close()
	}
	p.conns++
	return nil
}

// Send sends a shot: the parts of a command, which must stay as they are until the shot is over. The shot is
// told how it ended.
func (p *Pool) Send(s *dispatch.Attempt, command [][]byte) {
	c, to, err := p.take(s.Backend)
	switch {
	case err != nil:
		s.Report(nil, 0, &dispatch.NetworkError{Progress: dispatch.Dialing, Err: err})
	case c != nil:
		c.write(s, command)
	default:
		go func() {
			defer stopPanic()
			c, err := p.dial(to)
			if err != nil {
				s.Report(nil, 0, &dispatch.NetworkError{Progress: dispatch.Dialing, Err: err})
				return
			}
			c.write(s, command)
		}()
	}
}

func stopPanic() {
	if x := recover(); x != nil {
		logging.Panicked("backend", x, debug.Stack())
	}
}

// dial opens a connection and starts its reader. Its place was counted by take.
func (p *Pool) dial(to *peer) (*conn, error) {
	nc, err := p.reach(to)
	if err != nil {
		p.mu.Lock()
		p.conns--
		p.mu.Unlock()
		return nil, err
	}
	c := &conn{pool: p, peer: to, nc: nc, rest: -1}
	go c.read()
	return c, nil
}

// reach opens a connection to a backend at one of its addresses.
func (p *Pool) reach(to *peer) (*sock.Conn, error) {
	p.mu.Lock()
	order := to.several
	p.mu.Unlock()
	if len(order) == 0 {
		return sock.Dial(to.address, p.patient)
	}
	nc, n, err := sock.DialAny(order, p.patient)
	if err == nil && n > 0 {
		p.mu.Lock()
		to.several = append([]netip.AddrPort{order[n]}, slices.Concat(order[:n], order[n+1:])...)
		p.mu.Unlock()
	}
	return nc, err
}

// write writes a shot, unless it was called off. What ends first, the writing or the connection, is sorted out
// here: before the last byte was written nothing ran.
func (c *conn) write(s *dispatch.Attempt, command [][]byte) {
	p := c.pool
	p.mu.Lock()
	switch {
	case c.down || c.peer.gone:
		// Guards against a shot that goes where its backend no longer is: it was forgotten, or listens elsewhere, and
		// another may be at the address by now.
		c.close()
		p.mu.Unlock()
		s.Report(nil, 0, &dispatch.NetworkError{Progress: dispatch.Dialing, Err: net.ErrClosed})
		return
	case !s.Begin(c):
		c.settle()
		p.mu.Unlock()
		return
	}
	c.shot, c.came, c.writing = s, dispatch.Writing, true
	p.mu.Unlock()
	whole := int64(0)
	for _, part := range command {
		whole += int64(len(part))
	}
	n, err := c.nc.WriteParts(command...)
	p.mu.Lock()
	if n < whole { // answered before it was written: what follows would stand behind half a command
		c.close()
	}
	c.wrote()
	if c.shot != s { // answered meanwhile
		p.mu.Unlock()
		return
	}
	if n == whole {
		c.came = dispatch.Written
		p.Metrics.AttemptSent(s.Class())
	}
	if err == nil && !c.down {
		p.mu.Unlock()
		return
	}
	c.noteRest(true)
	fault := &dispatch.NetworkError{Progress: c.came, Err: cmp.Or(err, net.ErrClosed)}
	c.shot = nil
	c.close()
	p.mu.Unlock()
	s.Report(nil, 0, fault)
}

// Abandon gives up the shot, if it is still out here, by closing the connection. It tells whether the shot's end
// is still to be reported: while it is being written, only its writer learns how far it came.
func (c *conn) Abandon(s *dispatch.Attempt) (reports bool) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if c.shot != s {
		return false
	}
	if c.came != dispatch.Writing {
		// Guards against cutting off an answer that the backend is giving or about to give, which the operators
		// count as a lost request where it is long: the reader takes what comes and drops it, then ends the
		// connection; it waits roomWait at most for each piece. Hurts by keeping the connection and its room
		// longer, and a backend that answers nothing keeps it roomWait.
		// Its sending ends at once: that gives the shot up, and another may go out for the transaction.
		c.shot = nil
		c.until = time.Now().Add(mostOrphaned)
		c.orphan.Store(true)
		c.nc.CloseWrite()
		c.nc.SetReadDeadline(time.Now().Add(roomWait))
		return false
	}
	c.close()
	if c.came == dispatch.Writing {
		return true
	}
	c.shot = nil
	return false
}

// wrote says that the writer is done; the connection rests if its shot is. The pool's lock is held.
func (c *conn) wrote() {
	if c.writing = false; c.free {
		c.free = false
		c.settle()
	}
}

// noteRest notes how a shot ended on a connection that had rested. The pool's lock is held.
func (c *conn) noteRest(ended bool) {
	if c.rest >= 0 {
		c.pool.rests.note(c.rest, ended)
		c.rest = -1
	}
}

// settle puts a connection with nothing out on it among the warm ones. The pool's lock is held.
func (c *conn) settle() {
	if c.peer.gone {
		c.close()
	} else if !c.down {
		c.used = time.Now()
		c.peer.warm = append(c.peer.warm, c)
	}
}

// close ends the connection and takes it from the warm ones. The pool's lock is held.
func (c *conn) close() {
	if c.down {
		return
	}
	c.down = true
	c.pool.conns--
	if n := slices.Index(c.peer.warm, c); n >= 0 {
		c.peer.warm = slices.Delete(c.peer.warm, n, n+1)
	}
	c.nc.Close()
}

// read reads answers until the connection ends.
func (c *conn) read() {
	defer stopPanic()
	defer func() {
		c.grow(nil)
		c.pool.mu.Lock()
		defer c.pool.mu.Unlock()
		c.close()
	}()
	buf, held := make([]byte, 4096), 0
	for {
		n, err := c.nc.Read(buf[held:])
		held += n
		if err != nil {
			c.over(held, err)
			return
		}
		if c.orphan.Load() {
			next := time.Now().Add(roomWait)
			if c.until.Before(next) {
				next = c.until
			}
			c.nc.SetReadDeadline(next)
		}
		size, value, units, err := parse(buf[:held])
		switch {
		case size == 0 && err != nil: // the connection is of no further use
			c.answered(nil, 0, err, false)
			return
		case size == 0 && held == len(buf):
			if buf = c.grow(buf); held == len(buf) {
				c.answered(nil, 0, dispatch.ErrBackendFailed, false)
				return
			}
		case size > 0:
			if held = size - held; len(buf) > 4096 { // the value keeps the buffer
				c.grow(nil)
				buf = make([]byte, 4096)
			} else {
				value = bytes.Clone(value)
			}
			// Bytes behind it belong to nothing: the answer stands, and the connection ends.
			if !c.answered(value, units, err, held == 0) || held < 0 {
				return
			}
		}
	}
}

// grow gives a buffer as large as what has come of an answer says that it becomes, or the same one where the
// answer or all that is held would be too large; nil gives up what was held.
func (c *conn) grow(buf []byte) []byte {
	size := 0
	if buf != nil {
		_, at, _ := resp.Length(buf, '*', mostParts)
		n, start, _ := resp.Length(buf[at:], '$', mostValue)
		size = min(max(2*len(buf), at+start+n+mostLine), mostAnswer)
	}
	if size > 0 && size <= len(buf) {
		return buf
	}
	if extra := int64(max(size-plainAnswer, 0)) - c.large; extra > 0 {
		got, ok := c.pool.Budget.Acquire(extra, time.Now().Add(roomWait))
		if !ok {
			return buf
		}
		c.large += got
	} else if size == 0 {
		c.pool.Budget.Release(c.large)
		c.large = 0
	}
	return append(make([]byte, 0, size), buf...)[:size]
}

// parse judges what has come of an answer, each length before what it counts: the size of a whole one, its value
// as it came and, where the figures on use tell them, the units that the transaction really counted; or the
// error that the answer stands for. Size 0 without an error asks for more; with one, the answer is spoilt.
func parse(b []byte) (size int, value []byte, units float64, err error) {
	if b[0] == '-' {
		text, n, ok := resp.Line(b, mostLine)
		word, _, _ := bytes.Cut(text, []byte(" "))
		switch {
		case !ok:
			return 0, nil, 0, dispatch.ErrBackendFailed
		case n == 0:
			return 0, nil, 0, nil
		case string(word) == "BUSY":
			return n, nil, 0, dispatch.ErrRejected
		case string(word) == "ERR":
			return n, nil, 0, dispatch.ErrBackendFailed
		}
		return 0, nil, 0, dispatch.ErrBackendFailed
	}
	count, at, ok := resp.Length(b, '*', mostParts)
	if !ok || at > 0 && count < 1 {
		return 0, nil, 0, dispatch.ErrBackendFailed
	}
	if at == 0 {
		return 0, nil, 0, nil
	}
	for part := range count {
		if at == len(b) {
			return 0, nil, 0, nil
		}
		n, start, ok := resp.Length(b[at:], '$', mostValue)
		if part > 0 && !ok && b[at] != '$' { // no figures or report that can be read, but perhaps in form
			_, start, ok = resp.Line(b[at:], mostLine)
			ok, n = ok && bytes.IndexByte([]byte("+-:"), b[at]) >= 0, -1
		}
		if !ok || part == 0 && start > 0 && n < 0 {
			return 0, nil, 0, dispatch.ErrBackendFailed
		}
		end := at + start + n + 2
		if n < 0 {
			end = at + start
		}
		if start == 0 || len(b) < end {
			return 0, nil, 0, nil
		}
		if n >= 0 && string(b[end-2:end]) != "\r\n" {
			return 0, nil, 0, dispatch.ErrBackendFailed
		}
		switch part {
		case 0:
			value = b[at:end]
		case 1:
			if n > 0 {
				units = cost(b[at+start : end-2])
			}
		}
		at = end
	}
	return at, value, units, nil
}

// cost finds the true units among the figures on use: names and values, as in a load report.
func cost(figures []byte) float64 {
	for len(figures) > 0 {
		var pair []byte
		pair, figures, _ = bytes.Cut(figures, []byte(","))
		if text, ok := bytes.CutPrefix(pair, []byte("cost=")); ok {
			if units, err := strconv.ParseFloat(string(text), 64); err == nil && units > 0 && units < 1e9 {
				return units
			}
		}
	}
	return 0
}

// answered passes an answer on; false says that there was no shot for it.
func (c *conn) answered(value []byte, units float64, err error, rest bool) bool {
	p := c.pool
	p.mu.Lock()
	s := c.shot
	c.shot = nil
	c.noteRest(false)
	if s != nil && rest {
		c.nc.Settle()
		c.free = true
		if !c.writing {
			c.wrote()
		}
	}
	p.mu.Unlock()
	if s != nil {
		s.Report(value, units, err)
	}
	return s != nil
}

// over tells that the connection has ended. A shot that is just being written is left to its writer.
func (c *conn) over(held int, err error) {
	p := c.pool
	p.mu.Lock()
	c.close()
	s, came := c.shot, c.came
	if s == nil || came == dispatch.Writing {
		p.mu.Unlock()
		return
	}
	c.shot = nil
	c.noteRest(held == 0)
	p.mu.Unlock()
	if held > 0 {
		came = dispatch.Answering
	}
	s.Report(nil, 0, &dispatch.NetworkError{Progress: came, Err: err})
}

// CheckHealth asks a backend whether it answers, and tells the outcome. It waits as long as for a connection.
func (p *Pool) CheckHealth(b policy.BackendID) {
	go func() {
		defer stopPanic()
		p.probed(b, p.probe(b))
	}()
}

func (p *Pool) probe(b policy.BackendID) error {
	p.mu.Lock()
	to, err := p.peers[b], errors.New("no address known")
	if to != nil {
		err = p.place() // probes have no descriptors of their own
	}
	p.mu.Unlock()
	if err != nil {
		return &dispatch.NetworkError{Progress: dispatch.Dialing, Err: err}
	}
	defer func() {
		p.mu.Lock()
		p.conns--
		p.mu.Unlock()
	}()
	until := time.Now().Add(p.patient)
	nc, err := net.DialTimeout("tcp4", to.address, p.patient)
	if err != nil {
		return &dispatch.NetworkError{Progress: dispatch.Dialing, Err: err}
	}
	defer nc.Close()
	nc.SetDeadline(until)
	if _, err := nc.Write([]byte("*1\r\n$4\r\nPING\r\n")); err != nil {
		return &dispatch.NetworkError{Progress: dispatch.Writing, Err: err}
	}
	var buf [64]byte
	n, err := nc.Read(buf[:])
	if err != nil {
		return &dispatch.NetworkError{Progress: dispatch.Written, Err: err}
	}
	if !bytes.HasPrefix(buf[:n], []byte("+")) {
		return dispatch.ErrBackendFailed
	}
	return nil
}
