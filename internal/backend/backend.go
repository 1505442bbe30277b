// Package backend carries shots to the backends. It owns the connections to them, warm and in use, and says of
// each shot how it ended or how far it came. It must never decide where a shot goes, send one again, or keep
// one on after it was called off.
package backend

import (
	"bytes"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/tidwall/redcon"

	"fawnplank/internal/facade"
	"fawnplank/internal/sock"
	"fawnplank/policy"
)

// mostAnswer bounds an answer: a value of 64 KiB with its figures and report.
const mostAnswer = 68 << 10

// errCrowded says that no descriptor is left for a connection.
var errCrowded = errors.New("no descriptor left")

// Pool holds the connections to all backends.
type Pool struct {
	patient time.Duration // for a connection to come up
	idle    time.Duration // after which a warm one is closed
	most    int           // connections at once
	probed  func(b policy.BackendID, err error)

	mu    sync.Mutex
	peers map[policy.BackendID]*peer
	conns int
}

// peer is one backend.
type peer struct {
	address string
	warm    []*conn // the latest used last
}

// conn is a connection; one shot is out on it at a time. Its reader is always at work, so that a warm one that
// the backend closes is dropped before a shot is written to it.
type conn struct {
	pool *Pool
	peer *peer
	nc   *sock.Conn
	mu   sync.Mutex
	shot *facade.Shot // out on it
	came facade.Stage
	used time.Time
	down bool
}

// New makes a pool of at most so many connections. idle is the time after which backends close a connection;
// it is left at half of that, so that no shot meets a connection that is being closed.
func New(most int, connectTimeout, idle time.Duration, probed func(policy.BackendID, error)) *Pool {
	return &Pool{patient: connectTimeout, idle: idle / 2, most: most, probed: probed,
		peers: map[policy.BackendID]*peer{}}
}

// Place says where a backend listens, or that it is gone.
func (p *Pool) Place(b policy.BackendID, address string, gone bool) {
	p.mu.Lock()
	old := p.peers[b]
	switch {
	case old != nil && (gone || old.address != address):
		delete(p.peers, b)
	case old != nil:
		old = nil
	}
	if !gone && p.peers[b] == nil {
		p.peers[b] = &peer{address: address}
	}
	var idle []*conn
	if old != nil {
		idle, old.warm = old.warm, nil
	}
	p.mu.Unlock()
	for _, c := range idle {
		c.close()
	}
}

// take gives a warm connection, or room for a new one.
func (p *Pool) take(b policy.BackendID) (c *conn, to *peer, err error) {
	var stale []*conn
	p.mu.Lock()
	defer func() {
		p.mu.Unlock()
		for _, c := range stale {
			c.close()
		}
	}()
	to = p.peers[b]
	if to == nil {
		return nil, nil, errors.New("no address known")
	}
	now := time.Now()
	for len(to.warm) > 0 && now.Sub(to.warm[0].used) > p.idle {
		stale, to.warm = append(stale, to.warm[0]), to.warm[1:]
	}
	if n := len(to.warm); n > 0 {
		c, to.warm = to.warm[n-1], to.warm[:n-1]
		return c, to, nil
	}
	if p.conns >= p.most {
		oldest := (*peer)(nil)
		for _, other := range p.peers { // any of the oldest will do
			if len(other.warm) > 0 && (oldest == nil || other.warm[0].used.Before(oldest.warm[0].used)) {
				oldest = other
			}
		}
		if oldest == nil {
			return nil, to, errCrowded
		}
		stale, oldest.warm = append(stale, oldest.warm[0]), oldest.warm[1:]
	}
	p.conns++
	return nil, to, nil
}

// Send sends a shot: the parts of a command, which must stay as they are until the shot is over. The shot is
// told how it ended.
func (p *Pool) Send(s *facade.Shot, command [][]byte) {
	c, to, err := p.take(s.Backend)
	switch {
	case err != nil:
		s.Report(nil, 0, &facade.Fault{Came: facade.Dialling, Err: err})
	case c != nil:
		c.write(s, command)
	default:
		go func() {
			defer stopPanic()
			c, err := p.dial(to)
			if err != nil {
				s.Report(nil, 0, &facade.Fault{Came: facade.Dialling, Err: err})
				return
			}
			c.write(s, command)
		}()
	}
}

func stopPanic() {
	if x := recover(); x != nil {
		logrus.Errorf("panic on a connection to a backend: %v", x)
	}
}

// dial opens a connection and starts its reader. Its place was counted by take.
func (p *Pool) dial(to *peer) (*conn, error) {
	nc, err := sock.Dial(to.address, p.patient)
	if err != nil {
		p.mu.Lock()
		p.conns--
		p.mu.Unlock()
		return nil, err
	}
	c := &conn{pool: p, peer: to, nc: nc}
	go c.read()
	return c, nil
}

// write writes a shot, unless it was called off. What ends first, the writing or the connection, is sorted out
// here: before the last byte was written nothing ran.
func (c *conn) write(s *facade.Shot, command [][]byte) {
	c.mu.Lock()
	if c.down {
		c.mu.Unlock()
		s.Report(nil, 0, &facade.Fault{Came: facade.Dialling, Err: net.ErrClosed})
		return
	}
	if !s.Begin(c) {
		c.mu.Unlock()
		c.rest()
		return
	}
	c.shot, c.came = s, facade.Writing
	c.mu.Unlock()
	whole := 0
	for _, part := range command {
		whole += len(part)
	}
	n, err := c.nc.WriteParts(command...)
	c.mu.Lock()
	if c.shot != s { // answered or called off meanwhile
		c.mu.Unlock()
		return
	}
	c.came = facade.Written
	if n < int64(whole) {
		c.came = facade.Writing
	}
	if err == nil && !c.down {
		c.mu.Unlock()
		return
	}
	if err == nil {
		err = net.ErrClosed
	}
	fault := &facade.Fault{Came: c.came, Err: err}
	c.shot = nil
	c.mu.Unlock()
	c.close()
	s.Report(nil, 0, fault)
}

// Drop gives up the shot, if it is still out here, by closing the connection.
func (c *conn) Drop(s *facade.Shot) {
	c.mu.Lock()
	out := c.shot == s
	if out {
		c.shot = nil
	}
	c.mu.Unlock()
	if out {
		c.close()
	}
}

// rest puts a connection with nothing out on it among the warm ones.
func (c *conn) rest() {
	p := c.pool
	p.mu.Lock()
	known := false
	if !c.down {
		for _, to := range p.peers {
			known = known || to == c.peer
		}
	}
	if known {
		c.used = time.Now()
		c.peer.warm = append(c.peer.warm, c)
	}
	p.mu.Unlock()
	if !known {
		c.close()
	}
}

// close ends the connection and takes it from the warm ones.
func (c *conn) close() {
	p := c.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.down {
		return
	}
	c.down = true
	p.conns--
	for n, w := range c.peer.warm {
		if w == c {
			c.peer.warm = append(c.peer.warm[:n], c.peer.warm[n+1:]...)
			break
		}
	}
	c.nc.Close()
}

// read reads answers until the connection ends.
func (c *conn) read() {
	defer stopPanic()
	defer c.close()
	buf, held := make([]byte, 4096), 0
	for {
		n, err := c.nc.Read(buf[held:])
		held += n
		if err != nil {
			c.over(held, err)
			return
		}
		size, answer := redcon.ReadNextRESP(buf[:held])
		switch {
		case size == 0 && bytes.IndexByte([]byte("*-+:$"), buf[0]) < 0, size > 0 && size < held:
			c.answered(nil, facade.Answered, false)
			return
		case size == 0 && held == len(buf) && held >= mostAnswer:
			c.answered(nil, facade.Answered, false)
			return
		case size == 0 && held == len(buf):
			buf = append(buf, make([]byte, min(len(buf), mostAnswer-held))...)
		case size > 0:
			value, err := meaning(answer)
			if !c.answered(bytes.Clone(value), err, true) {
				return
			}
			held = 0
			if len(buf) > 4096 {
				buf = make([]byte, 4096)
			}
		}
	}
}

// meaning is the value of an answer as it came, or the error that the answer stands for.
func meaning(answer redcon.RESP) ([]byte, error) {
	switch answer.Type {
	case redcon.Array:
		_, value := redcon.ReadNextRESP(answer.Data)
		if answer.Count > 0 && value.Type == redcon.Bulk && value.Data != nil {
			return value.Raw, nil
		}
	case redcon.Error:
		if word, _, _ := bytes.Cut(answer.Data, []byte(" ")); string(word) == "BUSY" {
			return nil, facade.TurnedAway
		}
	}
	return nil, facade.Answered
}

// answered passes an answer on; false says that there was no shot for it.
func (c *conn) answered(value []byte, err error, rest bool) bool {
	c.mu.Lock()
	s := c.shot
	c.shot = nil
	c.mu.Unlock()
	if s == nil {
		return false
	}
	if rest {
		c.rest()
	}
	s.Report(value, 0, err)
	return true
}

// over tells that the connection has ended. A shot that is just being written is left to its writer.
func (c *conn) over(held int, err error) {
	c.mu.Lock()
	s, came := c.shot, c.came
	if s == nil || came == facade.Writing {
		c.mu.Unlock()
		return
	}
	c.shot = nil
	c.mu.Unlock()
	if held > 0 {
		came = facade.Answering
	}
	s.Report(nil, 0, &facade.Fault{Came: came, Err: err})
}

// Probe asks a backend whether it answers, and tells the outcome. It waits as long as for a connection.
func (p *Pool) Probe(b policy.BackendID) {
	go func() {
		defer stopPanic()
		p.probed(b, p.probe(b))
	}()
}

func (p *Pool) probe(b policy.BackendID) error {
	p.mu.Lock()
	to := p.peers[b]
	p.mu.Unlock()
	if to == nil {
		return &facade.Fault{Came: facade.Dialling, Err: errors.New("no address known")}
	}
	until := time.Now().Add(p.patient)
	nc, err := net.DialTimeout("tcp", to.address, p.patient)
	if err != nil {
		return &facade.Fault{Came: facade.Dialling, Err: err}
	}
	defer nc.Close()
	nc.SetDeadline(until)
	if _, err := nc.Write([]byte("*1\r\n$4\r\nPING\r\n")); err != nil {
		return &facade.Fault{Came: facade.Writing, Err: err}
	}
	var buf [64]byte
	n, err := nc.Read(buf[:])
	if err != nil {
		return &facade.Fault{Came: facade.Written, Err: err}
	}
	if !bytes.HasPrefix(buf[:n], []byte("+")) {
		return facade.Answered
	}
	return nil
}
