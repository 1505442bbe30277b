// Package front serves clients. It owns the listener, the clients' connections and the order of answers on
// each; it parses commands in place, takes transactions at the facade and carries out the steps picked there.
// It must never decide what becomes of a transaction, and never leave a taken one without its one answer.
package front

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
	"unicode"

	"github.com/sirupsen/logrus"
	"github.com/tidwall/redcon"

	"fawnplank/internal/backend"
	"fawnplank/internal/config"
	"fawnplank/internal/facade"
	"fawnplank/internal/sock"
	"fawnplank/policy"
)

const (
	mostCommand = 68 << 10 // a value of 64 KiB with its head
	// mostHeld is how much of one connection's unanswered commands is held; beyond it the reader waits.
	mostHeld = 2 * mostCommand
	// mostUnanswered is how many commands of one connection are open at once.
	mostUnanswered = 1024
)

// Server serves clients.
type Server struct {
	facade  *facade.Facade
	pool    *backend.Pool
	start   *config.Start
	most    int           // connections at once
	slowest time.Duration // that a client may take to take in an answer: longer than it may wait for one
	mu      sync.Mutex
	clients map[*client]struct{}
	freed   *sync.Cond // a connection has ended
}

// New makes a server of at most so many connections.
func New(f *facade.Facade, pool *backend.Pool, start *config.Start, most int) *Server {
	s := &Server{facade: f, pool: pool, start: start, most: most, slowest: time.Second,
		clients: map[*client]struct{}{}}
	for _, p := range start.Terms.Profiles {
		s.slowest = max(s.slowest, time.Duration(p.HardLimit)+time.Second)
	}
	s.freed = sync.NewCond(&s.mu)
	return s
}

// Serve takes in connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		nc, err := l.Accept()
		if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			return nil
		}
		if err != nil {
			logrus.Warnf("accept: %v", err)
			time.Sleep(10 * time.Millisecond) // out of descriptors: some are freed soon
			continue
		}
		s.add(nc)
	}
}

// add takes a connection in; where there are too many, the one that has been quiet the longest goes.
func (s *Server) add(raw net.Conn) {
	nc, err := sock.New(raw.(*net.TCPConn))
	if err != nil { // it has ended already
		raw.Close()
		return
	}
	c := &client{server: s, nc: nc, quiet: time.Now()}
	c.room = sync.NewCond(&c.mu)
	s.mu.Lock()
	for len(s.clients) >= s.most {
		if !s.closeQuiet() {
			s.freed.Wait()
		}
	}
	s.clients[c] = struct{}{}
	s.mu.Unlock()
	go c.read()
}

// closeQuiet closes the connection that has had nothing open for longest; false says that there is none.
func (s *Server) closeQuiet() bool {
	var oldest *client
	var since time.Time
	for c := range s.clients {
		if quiet, ok := c.resting(); ok && (oldest == nil || quiet.Before(since)) {
			oldest, since = c, quiet
		}
	}
	if oldest != nil && oldest.closeResting() {
		delete(s.clients, oldest)
	}
	return oldest != nil // where it has become busy meanwhile, another is looked for
}

// Close ends the connections that have nothing open; the others end after their answers. It may be called
// again for what has come in meanwhile.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.clients {
		c.last.Store(true)
		c.closeResting()
	}
}

// Connections tells how many there are.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.clients)
}

// client is a client's connection.
type client struct {
	server *Server
	nc     *sock.Conn
	mu     sync.Mutex
	line   []*command // not answered yet, in their order
	held   int        // bytes of them
	room   *sync.Cond
	quiet  time.Time
	bounds time.Time   // of writing
	gone   bool        // the client is
	shut   bool        // closed by us between transactions
	last   atomic.Bool // ends after the answers owed
}

// command is one command, with its answer once there is one.
type command struct {
	client *client
	t      *facade.Transaction // nil: answered at once
	raw    []byte
	list   [2]int // where in raw the list of names and values stands, its length line too
	wait   [2]int // where the figure of d stands
	answer []byte
}

// resting tells since when nothing has been open on the connection. One that is just being written to is not
// asked.
func (c *client) resting() (since time.Time, ok bool) {
	if !c.mu.TryLock() {
		return since, false
	}
	defer c.mu.Unlock()
	return c.quiet, len(c.line) == 0
}

// closeResting closes the connection if nothing is open on it. What its reader has read but not yet taken is not
// taken then: the client sends it again on a new connection.
func (c *client) closeResting() bool {
	if !c.mu.TryLock() {
		return false
	}
	defer c.mu.Unlock()
	if len(c.line) > 0 {
		return false
	}
	c.shut = true
	c.nc.Close()
	return true
}

// add puts a command at the end of the line, once that has room; false says that the connection is closed.
func (c *client) add(k *command) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.line) >= mostUnanswered || c.held > mostHeld {
		c.room.Wait()
	}
	if c.shut {
		return false
	}
	c.line = append(c.line, k)
	c.held += len(k.raw)
	return true
}

// read reads commands until the connection ends.
func (c *client) read() {
	defer c.leave()
	defer func() {
		if x := recover(); x != nil {
			logrus.Errorf("panic on a client's connection: %v\n%s", x, debug.Stack())
		}
	}()
	buf, held := make([]byte, 4096), 0
	var args [][]byte
	for {
		n, err := c.nc.Read(buf[held:])
		if err != nil {
			return
		}
		held += n
		rest := buf[:held]
		for len(rest) > 0 {
			var whole bool
			var left []byte
			whole, args, left, err = next(rest, args)
			if err != nil {
				c.answerNow("-ERR " + err.Error())
				c.lastAnswer()
				return
			}
			if !whole {
				break
			}
			if len(args) > 0 {
				c.command(rest[:len(rest)-len(left)], args)
			}
			rest = left
		}
		held = copy(buf, rest)
		if held == len(buf) {
			if held >= mostCommand {
				c.answerNow("-ERR Protocol error: command too long")
				c.lastAnswer()
				return
			}
			buf = append(buf, make([]byte, min(len(buf), mostCommand-len(buf)))...)
		} else if held == 0 && len(buf) > 4096 {
			buf = make([]byte, 4096)
		}
	}
}

// next parses the next command in place. The parser of redcon panics on some lengths below zero or near the
// largest number, and takes a protocol of another product along with its own.
func next(b []byte, buf [][]byte) (whole bool, args [][]byte, left []byte, err error) {
	defer func() {
		if x := recover(); x != nil {
			err = errors.New("Protocol error: impossible length")
		}
	}()
	whole, args, kind, left, err := redcon.ReadNextCommand(b, buf)
	if err == nil && kind == redcon.Tile38 {
		err = errors.New("Protocol error: expected an array")
	}
	return whole, args, left, err
}

// command starts a command.
func (c *client) command(raw []byte, args [][]byte) {
	if bytes.ContainsFunc(args[0], unicode.IsLower) { // rare, and it allocates
		args[0] = bytes.ToUpper(args[0])
	}
	switch string(args[0]) {
	case "SVC.QUERY", "SVC.SUBMIT":
		if err := c.transaction(raw, args); err != nil {
			c.answerNow("-ERR " + err.Error())
		}
	case "PING":
		c.answerNow("+PONG")
	case "CLIENT", "SELECT":
		c.answerNow("+OK")
	default:
		c.answerNow(fmt.Sprintf("-ERR unknown command %.40q", args[0]))
	}
}

// transaction parses the head of a transaction and takes it.
func (c *client) transaction(raw []byte, args [][]byte) error {
	if len(args) < 4 {
		return errors.New("wrong number of arguments")
	}
	customer, err := strconv.ParseUint(string(args[1]), 16, 64)
	if err != nil {
		return errors.New("customer is no hexadecimal number")
	}
	s := c.server.start
	profile, plan := -1, -1
	left, units, entries, first := int64(-1), 1.0, 1, 0
	var wait []byte
	for rest := args[3]; len(rest) > 0; {
		var pair []byte
		pair, rest, _ = bytes.Cut(rest, []byte(","))
		name, value, ok := bytes.Cut(pair, []byte("="))
		if !ok {
			return fmt.Errorf("%.40q has no value", pair)
		}
		var bad error
		switch string(name) {
		case "c":
			if id, ok := s.Profiles[string(value)]; ok {
				profile = int(id)
			} else {
				return fmt.Errorf("unknown class %.40q", value)
			}
		case "t":
			if id, ok := s.Plans[string(value)]; ok {
				plan = int(id)
			} else {
				return fmt.Errorf("unknown plan %.40q", value)
			}
		case "d":
			var ms float64
			ms, bad = number(value)
			left, wait = config.Nanoseconds(ms), value
		case "units":
			units, bad = number(value)
		case "spread":
			entries, bad = strconv.Atoi(string(value))
		case "first":
			first, bad = strconv.Atoi(string(value))
		}
		if bad != nil {
			return fmt.Errorf("%s is no number", name)
		}
	}
	switch {
	case profile < 0:
		return errors.New("class is missing")
	case plan < 0:
		return errors.New("plan is missing")
	case left < 0:
		return errors.New("d is missing or below 0")
	}
	// Held on its own: the buffer goes on to the next command.
	k := &command{client: c, raw: bytes.Clone(raw)}
	at := func(part []byte) int { return cap(raw) - cap(part) }
	k.list[0], k.list[1] = at(args[3]), at(args[3])+len(args[3])
	k.wait[0], k.wait[1] = at(wait), at(wait)+len(wait)
	if !c.add(k) {
		return nil
	}
	k.t = c.server.facade.Take(policy.ProfileID(profile), policy.PlanID(plan), policy.CustomerID(customer),
		time.Duration(left), units, entries, first)
	go k.serve()
	return nil
}

func number(text []byte) (float64, error) {
	x, err := strconv.ParseFloat(string(text), 64)
	if err == nil && (math.IsNaN(x) || math.IsInf(x, 0)) {
		err = strconv.ErrRange
	}
	return x, err
}

// serve carries out the steps of a transaction up to its answer.
func (k *command) serve() {
	defer func() {
		if x := recover(); x != nil {
			logrus.Errorf("panic in a transaction: %v\n%s", x, debug.Stack())
			k.t.Leave()
			k.client.finish(k, []byte("-ERR internal fault\r\n"))
		}
	}()
	for {
		switch step := k.t.Pick(); step.Do {
		case facade.Send:
			k.client.server.pool.Send(step.Shot, k.parts(step.Shot.Left()))
		case facade.Fulfil:
			k.client.finish(k, step.Answer)
			return
		case facade.Dismiss:
			answer := []byte("-BUSY")
			if step.ComeBack > 0 {
				answer = strconv.AppendInt(append(answer, ' '), (step.ComeBack+999_999)/1_000_000, 10)
			}
			k.client.finish(k, append(answer, "\r\n"...))
			return
		case facade.BreakOff:
			k.client.finish(k, []byte("-ERR failed\r\n"))
			return
		default: // the client is gone
			k.client.finish(k, nil)
			return
		}
	}
}

// parts is the command with d as long as the shot will be waited for, in gathered pieces.
func (k *command) parts(left time.Duration) [][]byte {
	ms := max(int64(left/time.Millisecond), 1)
	wait := strconv.AppendInt(make([]byte, 0, 24), ms, 10)
	listed := k.list[1] - k.list[0] + len(wait) - (k.wait[1] - k.wait[0])
	// The line with the list's length ends two bytes before the list, and begins at its dollar.
	dollar := bytes.LastIndexByte(k.raw[:k.list[0]], '$')
	size := append(strconv.AppendInt(make([]byte, 0, 24), int64(listed), 10), "\r\n"...)
	return [][]byte{k.raw[:dollar+1], size, k.raw[k.list[0]:k.wait[0]], wait, k.raw[k.wait[1]:]}
}

// answerNow answers a command that needs no more than a line.
func (c *client) answerNow(text string) {
	if k := (&command{client: c}); c.add(k) {
		c.finish(k, []byte(text+"\r\n"))
	}
}

// finish answers a command, and writes what answers may go out in their order.
func (c *client) finish(k *command, answer []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if answer == nil {
		answer = []byte{}
	}
	k.answer = answer
	for len(c.line) > 0 && c.line[0].answer != nil {
		first := c.line[0]
		c.line = c.line[1:]
		c.held -= len(first.raw)
		if !c.gone {
			c.write(first.answer)
		}
	}
	if len(c.line) == 0 {
		c.line = nil
		c.quiet = time.Now()
		if c.last.Load() {
			c.shut = true
			c.nc.Close()
		}
	}
	c.room.Signal()
}

func (c *client) write(answer []byte) {
	// The deadline is renewed now and then: one a write is dear.
	if now := time.Now(); now.Sub(c.bounds) > c.server.slowest/5 {
		c.bounds = now
		c.nc.SetWriteDeadline(now.Add(c.server.slowest))
	}
	if _, err := c.nc.Write(answer); err != nil {
		c.nc.Close()
	}
}

// lastAnswer closes the connection once all that is owed on it is answered.
func (c *client) lastAnswer() {
	c.last.Store(true)
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.line) > 0 && !c.gone {
		c.room.Wait()
	}
}

// leave ends the connection: what is open on it is told that the client is gone.
func (c *client) leave() {
	c.nc.Close()
	c.mu.Lock()
	c.gone = true
	open := append([]*command(nil), c.line...)
	c.room.Broadcast()
	c.mu.Unlock()
	for _, k := range open {
		if k.t != nil {
			k.t.Leave()
		}
	}
	s := c.server
	s.mu.Lock()
	delete(s.clients, c)
	s.freed.Signal()
	s.mu.Unlock()
}
