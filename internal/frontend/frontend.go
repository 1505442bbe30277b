// Package front serves clients. It owns the listener, the clients' connections and the order of answers on
// each; it parses commands in place, takes transactions at the facade and carries out the steps picked there.
// It must never decide what becomes of a transaction, never leave a taken one without its one answer, and take
// none whose head is not in order.
package frontend

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
	"unicode"

	"fawnplank/internal/backend"
	"fawnplank/internal/config"
	"fawnplank/internal/dispatch"
	"fawnplank/internal/logging"
	"fawnplank/internal/membudget"
	"fawnplank/internal/metrics"
	"fawnplank/internal/resp"
	"fawnplank/internal/sock"
	"fawnplank/policy"
)

const (
	mostCommand = resp.MaxValue + 64<<10 // a value with its head, and room for the rest of its fields
	// plainCommand is what a connection's buffer may hold without room of the process's own for large values:
	// a value of the protocol's 64 KiB with its head.
	plainCommand = 68 << 10
	// mostHeld is how much of one connection's unanswered commands is held; beyond it the reader waits.
	mostHeld = 2 * mostCommand
	// mostUnanswered is how many commands of one connection are open at once; beyond it the reader waits. Usual
	// clients keep one open on each, so that one who sends hundreds at once waits for itself.
	mostUnanswered = 32
	// patience is how long a connection may say nothing at first, and how long one command may take to come
	// whole: by the protocol's 3 s such a client must have been turned away.
	patience = 2 * time.Second
	// sweep is how often that is looked at: fine enough against patience.
	sweep = 250 * time.Millisecond
	// fresh is how long a new connection's first command may be under way without the connection being one of
	// those that say nothing; many times what the way takes.
	fresh = 200 * time.Millisecond
	// longestPause is the longest time for which a connection that sends faults is not read on.
	longestPause = 500 * time.Millisecond
	// lingers is how long, and mostDropped how much, is read and dropped after an error that ends a connection,
	// so that the error is not lost to a reset. More is not worth the work.
	lingers     = 300 * time.Millisecond
	mostDropped = 256 << 10
)

// Server serves clients.
type Server struct {
	facade  *dispatch.Dispatcher
	pool    *backend.Pool
	start   atomic.Pointer[config.Config] // its names of profiles and plans change at a reload
	most    int                           // connections at once
	roomy   int                           // connections of usual clients from which on quiet ones make room
	slowest time.Duration                 // that a client may take to take in an answer: longer than it may wait for one
	mu      sync.Mutex
	clients map[*client]struct{}
	freed   *sync.Cond  // a connection has ended, or may have come to rest
	wanted  atomic.Bool // somebody waits for that
	serving atomic.Bool
	ids     map[string]struct{} // of the open transactions
	metrics *metrics.Registry   // counted here: requests received, open and answered; nil counts nothing
	budget  *membudget.Budget   // for large commands, beside the backends' large answers; nil bounds nothing
	usage   UsageRecorder       // nil: usage is not recorded
	// drained is when the drain began, in Unix ns; 0: there is none. closing: Close was called.
	drained atomic.Int64
	closing atomic.Bool
}

// UsageRecorder knows the plans that customers have gone over to, and is told what is used.
type UsageRecorder interface {
	// TenantPlan is the plan that the customer's transactions are taken under now; false: the one that they name.
	TenantPlan(customer string) (plan string, ok bool)
	// RecordUsage is told of a transaction that was taken at a moment under a plan, and fulfilled.
	RecordUsage(customer, plan string, taken time.Time, units float64)
}

// bill is what a transaction is billed by: as it was when it was taken, whatever changes until it is answered.
type bill struct {
	customer, plan string
	taken          time.Time
	units          float64
}

// settle is how long a drained door goes on serving its connections before it closes them as they fall idle: the
// front asks ten times a second and stops new connections 0.2 s after a no, which it has heard by then. All are
// closed before 4 s, when the front takes one still open for a lost one.
const settle = time.Second

// Drain drains the door: PING says no, and after settle its connections are closed between transactions.
func (s *Server) Drain() { s.drained.CompareAndSwap(0, time.Now().UnixNano()) }

// Resume ends a drain: PING says yes, and connections that have not been closed yet stay.
func (s *Server) Resume() {
	if s.drained.Swap(0) == 0 || s.closing.Load() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.clients {
		c.last.Store(false)
	}
}

// Draining tells whether the door is drained.
func (s *Server) Draining() bool { return s.drained.Load() != 0 }

// Options configures a Server. Dispatcher, Pool, Config and MaxConnections are required.
type Options struct {
	Dispatcher *dispatch.Dispatcher
	Pool       *backend.Pool
	Config     *config.Config
	// MaxConnections bounds the client connections that are open at once.
	MaxConnections int
	// Metrics counts requests received, open and answered. Nil counts nothing.
	Metrics *metrics.Registry
	// Budget bounds the memory of large commands, beside the budget for large responses. Nil bounds nothing.
	Budget *membudget.Budget
	// Usage supplies plans of tenants and records usage. Nil: the plan is the one that the request names, and
	// no usage is recorded.
	Usage UsageRecorder
}

// New returns a server that is not serving yet. It starts nothing and holds nothing that would have to be freed.
func New(options Options) *Server {
	start, most := options.Config, options.MaxConnections
	s := &Server{facade: options.Dispatcher, pool: options.Pool, most: most, slowest: time.Second,
		clients: map[*client]struct{}{}, ids: map[string]struct{}{},
		metrics: options.Metrics, budget: options.Budget, usage: options.Usage}
	// Usual clients hold at most a third of the descriptors. Where they leave their connections open and open a
	// new one for each request, none can come once they are that many: half of the third stays free for those.
	// Hurts where more are kept that would each have been used again: they are opened anew.
	s.roomy = min(max(start.MaxSockets/6, 1), most)
	for _, p := range start.Settings.Classes {
		s.slowest = max(s.slowest, time.Duration(p.Deadline)+time.Second)
	}
	s.freed = sync.NewCond(&s.mu)
	s.start.Store(start)
	return s
}

// UpdateSettings takes the names of profiles and plans of a configuration read anew: transactions from now on are
// taken under them, open ones keep what they were taken under.
func (s *Server) UpdateSettings(start *config.Config) { s.start.Store(start) }

// Serve takes in connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	ended := make(chan struct{})
	defer close(ended)
	go s.sweep(ended)
	s.serving.Store(true)
	defer s.serving.Store(false)
	for {
		nc, err := l.Accept()
		if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			return nil
		}
		if err != nil {
			logging.For("front").WithError(err).Warn("accept failed")
			time.Sleep(10 * time.Millisecond) // out of descriptors: some are freed soon
			continue
		}
		s.add(nc)
	}
}

// sweep turns clients away that say nothing, or not enough, until no more are taken in and all have ended.
func (s *Server) sweep(ended chan struct{}) {
	ticks := time.NewTicker(sweep)
	defer ticks.Stop()
	for last := false; !last || s.Connections() > 0; {
		select {
		case <-ended:
			ended, last = nil, true
		case now := <-ticks.C:
			if at := s.drained.Load(); at != 0 && now.UnixNano()-at > int64(settle) {
				s.closeAll()
			}
			s.mu.Lock()
			for c := range s.clients {
				if since := c.since.Load(); since != 0 && now.Sub(c.born) > time.Duration(since)+patience {
					c.nc.SetReadDeadline(now) // its reader says why
				}
			}
			s.mu.Unlock()
		}
	}
}

// add takes a connection in; where there are too many, the one that is missed the least goes.
func (s *Server) add(raw net.Conn) {
	nc, err := sock.New(raw.(*net.TCPConn))
	if err != nil { // it has ended already
		raw.Close()
		return
	}
	now := time.Now()
	c := &client{server: s, nc: nc, born: now, quiet: now}
	nc.Reading = c
	c.since.Store(1)
	c.room = sync.NewCond(&c.mu)
	s.mu.Lock()
	for s.spoken() >= s.roomy && s.closeQuiet(true) {
	}
	for len(s.clients) >= s.most {
		s.wanted.Store(true) // before looking: what comes to rest from here on says so
		if !s.closeQuiet(false) {
			s.freed.Wait()
		}
	}
	s.wanted.Store(false)
	s.clients[c] = struct{}{}
	s.mu.Unlock()
	go c.read()
}

// spare says that a connection may have come to rest, where another waits for its room. Guards against connections
// that all were busy when one more came, and then rested for good: nobody looked at them again.
func (s *Server) spare() {
	if s.wanted.Load() {
		s.mu.Lock()
		s.freed.Signal()
		s.mu.Unlock()
	}
}

// spoken tells how many connections have sent a command that is in order.
func (s *Server) spoken() (n int) {
	for c := range s.clients {
		if c.spoke.Load() {
			n++
		}
	}
	return n
}

// closeQuiet closes a connection that has nothing open, the longest quiet of the least missed, of all or of
// those that have spoken; false says that there is none. One with bytes that wait to be read is passed over
// while another will do.
func (s *Server) closeQuiet(spoken bool) bool {
	type spare struct {
		c     *client
		rank  int
		since time.Time
	}
	var best spare
	passed := map[*client]bool{}
	for {
		found := spare{}
		now := time.Now()
		for c := range s.clients {
			rank, since, ok := c.resting(now)
			if ok && !passed[c] && (c.spoke.Load() || !spoken) && (found.c == nil || rank < found.rank ||
				rank == found.rank && since.Before(found.since)) {
				found = spare{c, rank, since}
			}
		}
		if best.c == nil {
			best = found
		}
		if found.c == nil || len(passed) == 8 { // all looked at have bytes waiting: the first, then
			break
		}
		if found.c.nc.Waiting() <= 0 {
			best = found
			break
		}
		passed[found.c] = true
	}
	if best.c != nil && best.c.closeResting() {
		delete(s.clients, best.c)
	}
	return best.c != nil // where it has become busy meanwhile, another is looked for
}

// Close ends the connections that have nothing open; the others end after their answers. It may be called
// again for what has come in meanwhile.
func (s *Server) Close() {
	s.closing.Store(true)
	s.closeAll()
}

func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for c := range s.clients {
		c.last.Store(true)
		// What has come, or is about to on a new connection, is taken in and answered first.
		if c.young(now) {
			c.nc.SetReadDeadline(c.born.Add(fresh))
		} else if c.nc.Waiting() <= 0 {
			c.endResting()
		}
	}
}

// Serving tells whether connections are taken in; one may have been accepted that is not counted yet.
func (s *Server) Serving() bool { return s.serving.Load() }

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
	born   time.Time
	quiet  time.Time
	bounds time.Time // of writing
	gone   bool      // the client is
	ending bool      // turned away: nothing is taken any more
	// reading is held round each try to read, and never while anything waits. shut, closed by us between transactions,
	// and busy, bytes were read and not taken yet, change under it alone: what was read is taken and answered, and
	// once the connection is shut nothing is read.
	reading    sync.Mutex
	shut, busy bool
	spoke      atomic.Bool  // has sent a command that is in order
	last       atomic.Bool  // ends after the answers owed
	since      atomic.Int64 // the age at which what has come of a command, or the silence, began; 0: neither
	faults     int          // of the reader: errors answered
	large      int64        // of the room, held by the reader's buffer
	given      bool         // the reader's buffer went with a large command
}

// command is one command, with its answer once there is one.
type command struct {
	client  *client
	t       *dispatch.Request // nil: answered at once
	profile policy.ClassID
	id      string
	raw     []byte
	list    [2]int // where in raw the list of names and values stands, its length line too
	wait    [2]int // where the figure of d stands
	answer  []byte
	large   int64 // of the room, held by raw
	bill    *bill // nil: nobody asks
}

// resting tells since when nothing has been open on the connection, and how much it would be missed. One that is
// just being written to is not asked.
func (c *client) resting(now time.Time) (rank int, since time.Time, ok bool) {
	if !c.mu.TryLock() {
		return 0, since, false
	}
	defer c.mu.Unlock()
	switch quiet := now.Sub(c.quiet); {
	case c.ending:
		rank = 0
	case !c.spoke.Load() && quiet > fresh:
		rank = 1
	case quiet >= patience:
		rank = 2
	case !c.spoke.Load():
		rank = 3
	default:
		rank = 4
	}
	c.reading.Lock()
	defer c.reading.Unlock()
	return rank, c.quiet, len(c.line) == 0 && !c.busy
}

// Before and After stand round the reader's tries to read.
func (c *client) Before() bool {
	c.reading.Lock()
	if c.shut {
		c.reading.Unlock()
		return false
	}
	return true
}

func (c *client) After(n int) {
	c.busy = c.busy || n > 0
	c.reading.Unlock()
}

// young says that the connection's first command is likely on its way.
func (c *client) young(now time.Time) bool { return !c.spoke.Load() && now.Sub(c.born) < fresh }

// rests says that all that was read has been taken.
func (c *client) rests() {
	c.reading.Lock()
	c.busy = false
	c.reading.Unlock()
	c.server.spare()
}

// shutResting lets nothing be read any more, if nothing is open on the connection. The caller holds mu.
func (c *client) shutResting() bool {
	if len(c.line) > 0 {
		return false
	}
	c.reading.Lock()
	defer c.reading.Unlock()
	c.shut = c.shut || !c.busy
	return c.shut
}

// closeResting closes the connection at once if nothing is open on it: its descriptor is wanted.
func (c *client) closeResting() bool {
	if !c.mu.TryLock() {
		return false
	}
	defer c.mu.Unlock()
	if !c.shutResting() {
		return false
	}
	c.nc.Close()
	return true
}

// endResting ends the connection if nothing is open on it: sending ends, and the reader closes it.
func (c *client) endResting() {
	if !c.mu.TryLock() {
		return
	}
	defer c.mu.Unlock()
	c.end()
}

// end is endResting with mu held. Guards against a close over unread bytes, which resets the connection, and takes
// with it an answer that is still on its way: after one, the client is given fresh to have taken it.
func (c *client) end() {
	if !c.shutResting() {
		return
	}
	c.nc.CloseWrite()
	c.nc.SetReadDeadline(time.Now()) // wakes the reader
}

// linger waits until the client has closed the connection that end has ended, for fresh after the last answer at most.
func (c *client) linger() {
	c.mu.Lock()
	until := c.quiet.Add(fresh)
	c.mu.Unlock()
	if !c.spoke.Load() {
		return // nothing was answered
	}
	for time.Now().Before(until) {
		c.nc.SetReadDeadline(until)
		if c.nc.AwaitHangUp() {
			return
		}
	}
}

// add puts a command at the end of the line, once that has room; false says that the client has gone, or that the
// connection is closed.
func (c *client) add(k *command) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.line) >= mostUnanswered || c.held > mostHeld {
		c.mu.Unlock()
		c.watched(func() {
			c.mu.Lock()
			for !c.gone && (len(c.line) >= mostUnanswered || c.held > mostHeld) {
				c.room.Wait()
			}
			c.mu.Unlock()
		})
		c.mu.Lock()
	}
	if c.gone || c.isShut() {
		return false
	}
	c.line = append(c.line, k)
	c.held += len(k.raw)
	return true
}

// watched has something done that waits, in the reader's place, while another looks out for the client's end: behind
// bytes that nobody reads it would go unseen, and what is open here would be sent on for nobody. Guards against
// attempts begun for clients who had sent more than is taken at once, and left.
func (c *client) watched(wait func()) {
	var over atomic.Bool
	done := make(chan struct{})
	go func() {
		defer close(done)
		for !over.Load() {
			if c.nc.AwaitHangUp() {
				c.left()
				return
			}
			c.nc.SetReadDeadline(time.Time{}) // the sweep's; over is looked at after it, and set before its own
		}
	}()
	wait()
	over.Store(true)
	c.nc.SetReadDeadline(time.Now())
	<-done
	c.nc.SetReadDeadline(time.Time{})
}

// answered waits until nothing is open on the connection, or the client has gone; mu is not held.
func (c *client) answered() {
	c.mu.Lock()
	open := len(c.line) > 0
	c.mu.Unlock()
	if open {
		c.watched(func() {
			c.mu.Lock()
			for !c.gone && len(c.line) > 0 {
				c.room.Wait()
			}
			c.mu.Unlock()
		})
	}
}

// departed tells whether the client is known to have gone.
func (c *client) departed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gone
}

// read reads commands until the connection ends.
func (c *client) read() {
	defer c.leave()
	defer func() {
		if x := recover(); x != nil {
			logging.Panicked("front", x, debug.Stack())
		}
	}()
	buf, held := make([]byte, 4096), 0
	var args [][]byte
	for {
		c.rests()
		if c.last.Load() && !c.young(time.Now()) { // nothing more is read before all that was taken is answered, and nothing after
			c.answered()
			c.mu.Lock()
			if c.last.Load() {
				c.end()
			}
			c.mu.Unlock()
		}
		n, err := c.nc.Read(buf[held:])
		if c.isShut() {
			c.linger()
			return
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			if c.since.Load() == 0 || c.last.Load() { // it came whole in that moment, or the connection is to end
				c.nc.SetReadDeadline(time.Time{})
				continue
			}
			c.turnAway("Protocol error: no whole command in time")
			return
		}
		if err != nil || !c.nc.Waited() && c.nc.HungUp() {
			return // what waited to be read may be of a client who went long ago
		}
		held += n
		rest := buf[:held]
		for len(rest) > 0 {
			var size int
			size, args, err = resp.Command(rest, args)
			if err != nil {
				c.turnAway(err.Error())
				return
			}
			if size == 0 {
				break
			}
			before := c.faults
			c.command(rest[:size], args)
			if c.departed() {
				return
			}
			if rest = rest[size:]; c.faults > before { // the same again at once gains nothing
				c.watched(func() { c.pause(min(time.Duration(c.faults)*10*time.Millisecond, longestPause)) })
			} else if c.since.Load() != 0 {
				c.since.Store(0)
				c.spoke.Store(true)
			}
		}
		if c.since.Load() == 0 && len(rest) > 0 {
			c.since.Store(int64(time.Since(c.born)))
		}
		if len(rest) > 4096 { // beyond any head: timed from its last progress
			c.since.Store(int64(time.Since(c.born)))
		}
		if c.given { // the buffer went with a large command
			c.given = false
			buf = make([]byte, max(4096, len(rest)))
			if len(rest) > plainCommand && !c.roomFor(len(buf)-plainCommand) {
				return
			}
		}
		held = copy(buf, rest)
		if held == len(buf) {
			if held >= mostCommand {
				c.turnAway("Protocol error: command too long")
				return
			}
			grown := min(2*len(buf), mostCommand)
			if grown > plainCommand && !c.roomFor(grown-max(len(buf), plainCommand)) {
				return
			}
			buf = append(buf, make([]byte, grown-len(buf))...)
		} else if held == 0 && len(buf) > 4096 {
			buf = make([]byte, 4096)
			c.server.budget.Release(c.large)
			c.large = 0
		}
	}
}

func (c *client) isShut() bool {
	c.reading.Lock()
	defer c.reading.Unlock()
	return c.shut
}

// pause waits for so long, or until the client has gone.
func (c *client) pause(long time.Duration) {
	over := false
	timer := time.AfterFunc(long, func() {
		c.mu.Lock()
		over = true
		c.mu.Unlock()
		c.room.Broadcast()
	})
	defer timer.Stop()
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.gone && !over {
		c.room.Wait()
	}
}

// roomFor waits for room for a larger buffer, as long as a command may take to come whole; false: the client
// has been turned away.
func (c *client) roomFor(bytes int) bool {
	var got int64
	var ok bool
	c.watched(func() { got, ok = c.server.budget.Acquire(int64(bytes), time.Now().Add(patience)) })
	if !ok {
		c.turnAway("busy: no room for a large value")
		return false
	}
	c.large += got
	return true
}

// turnAway ends the connection with an error, behind all that is owed on it.
func (c *client) turnAway(text string) {
	c.answerNow("-ERR " + text)
	c.answered()
	c.mu.Lock()
	c.ending = true
	c.mu.Unlock()
	c.nc.CloseWrite()
	c.nc.SetReadDeadline(time.Now().Add(lingers))
	buf := make([]byte, 4096)
	for dropped := 0; dropped < mostDropped; {
		n, err := c.nc.Read(buf)
		if err != nil {
			return
		}
		dropped += n
	}
}

// command starts a command.
func (c *client) command(raw []byte, args [][]byte) {
	if bytes.ContainsFunc(args[0], unicode.IsLower) { // rare, and it allocates
		args[0] = bytes.ToUpper(args[0])
	}
	switch string(args[0]) {
	case "SVC.QUERY", "SVC.SUBMIT":
		if profile, err := c.transaction(raw, args); err != nil {
			if profile >= 0 {
				c.server.metrics.RequestEnded(policy.ClassID(profile), metrics.Error)
			}
			c.fault(err.Error())
		}
	case "PING":
		if c.server.Draining() {
			c.answerNow("-ERR draining")
		} else {
			c.answerNow("+PONG")
		}
	case "CLIENT", "SELECT":
		c.answerNow("+OK")
	default:
		c.fault(fmt.Sprintf("unknown command %.40q", args[0]))
	}
}

// fault answers a command that is not in order.
func (c *client) fault(text string) {
	c.faults++
	c.answerNow("-ERR " + text)
}

// transaction parses the head of a transaction and takes it. The profile is -1 where it could not be read.
func (c *client) transaction(raw []byte, args [][]byte) (profile int, err error) {
	profile = -1
	if len(args) < 4 || len(args) > 5 {
		return profile, errors.New("wrong number of arguments")
	}
	customer, err := strconv.ParseUint(string(args[1]), 16, 64)
	if err != nil || len(args[1]) != 16 || customer >= 1<<33 {
		return profile, errors.New("customer is no number of 16 hexadecimal digits below 2^33")
	}
	strange := func(r rune) bool { return r <= ' ' || r > '~' }
	if len(args[2]) == 0 || len(args[2]) > 64 || bytes.ContainsFunc(args[2], strange) {
		return profile, errors.New("id is missing or cannot be read")
	}
	s := c.server.start.Load()
	class, plan, doors := -1, -1, max(s.Settings.Instances, 1)
	left, units, entries, first := int64(-1), 1.0, 1, 0
	var wait, named []byte
	for seen, rest, more := "", args[3], true; more; {
		var pair []byte
		pair, rest, more = bytes.Cut(rest, []byte(","))
		name, value, ok := bytes.Cut(pair, []byte("="))
		if !ok {
			return profile, fmt.Errorf("%.40q has no value", pair)
		}
		bad := false
		switch string(name) {
		case "c":
			id, ok := s.Classes[string(value)]
			ok = ok && !s.Settings.Classes[id].CheckOnly // that one is for the limit commands: nothing would be sent
			class, bad = int(id), !ok
			if ok {
				profile = int(id)
			}
		case "t":
			id, ok := s.Plans[string(value)]
			plan, named, bad = int(id), value, !ok
		case "d":
			ms, ok := number(value)
			left, wait, bad = config.Nanoseconds(ms), value, !ok
		case "units":
			units, ok = number(value)
			bad = !ok || units <= 0 || units > s.MaxUnits
		case "spread":
			x, ok := number(value)
			entries, bad = int(x), !ok || x < 1 || x > float64(doors) || x != math.Trunc(x)
		case "first":
			x, ok := number(value)
			first, bad = int(x), !ok || x >= float64(doors) || x != math.Trunc(x)
		default: // passes on with the rest
			continue
		}
		if bad || strings.Contains(seen, string(name)+",") {
			return profile, fmt.Errorf("%s has no meaning as %.40q", name, value)
		}
		seen += string(name) + ","
	}
	switch {
	case class < 0:
		return profile, errors.New("class is missing")
	case plan < 0:
		return profile, errors.New("plan is missing")
	case left < 0:
		return profile, errors.New("d is missing")
	}
	pr := policy.ClassID(class)
	// Held on its own: the buffer goes on to the next command.
	k := &command{client: c, id: string(args[2]), raw: raw}
	at := func(part []byte) int { return cap(raw) - cap(part) }
	k.list[0], k.list[1] = at(args[3]), at(args[3])+len(args[3])
	k.wait[0], k.wait[1] = at(wait), at(wait)+len(wait)
	if !c.server.claim(k.id) {
		return profile, errors.New("id is that of an open transaction")
	}
	if !c.add(k) {
		c.server.free(k.id)
		return profile, nil
	}
	if len(raw) > plainCommand { // large: the buffer goes with it, and the reader starts a new one
		k.large, c.large, c.given = c.large, 0, true
	} else {
		k.raw = bytes.Clone(raw)
	}
	k.profile = pr
	if l := c.server.usage; l != nil {
		k.bill = &bill{strings.ToLower(string(args[1])), string(named), time.Now(), units}
		if now, ok := l.TenantPlan(k.bill.customer); ok {
			if id, known := s.Plans[now]; known { // one that this door's settings lack: it goes by the one named
				plan, k.bill.plan = int(id), now
			}
		}
	}
	c.server.metrics.RequestReceived()
	k.t = c.server.facade.Submit(dispatch.RequestSpec{Class: pr, Plan: policy.PlanID(plan), Tenant: policy.TenantID(customer),
		Timeout: time.Duration(left), Units: units, EntryPoints: entries, FirstInstance: first})
	go k.serve()
	return profile, nil
}

// claim notes the id of a transaction that is to be taken; false says that one with it is open.
func (s *Server) claim(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, taken := s.ids[id]
	s.ids[id] = struct{}{}
	return !taken
}

func (s *Server) free(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.ids, id)
}

// number reads digits with a point or none: no sign, exponent, or word for what is no number.
func number(text []byte) (float64, bool) {
	if len(text) == 0 || len(text) > 20 || len(bytes.Trim(text, "0123456789.")) > 0 {
		return 0, false
	}
	x, err := strconv.ParseFloat(string(text), 64)
	return x, err == nil
}

// serve carries out the steps of a transaction up to its answer.
func (k *command) serve() {
	defer func() {
		if x := recover(); x != nil {
			logging.Panicked("front", fmt.Sprintf("transaction %s: %v", k.id, x), debug.Stack())
			k.t.HandleClientGone()
			k.client.server.metrics.RequestEnded(k.profile, metrics.Error)
			k.client.finish(k, []byte("-ERR internal fault\r\n"))
		}
	}()
	for {
		switch step := k.t.NextStep(); step.Action {
		case dispatch.Send:
			k.client.server.pool.Send(step.Attempt, k.parts(step.Attempt.Remaining()))
		case dispatch.Respond:
			k.client.server.metrics.RequestEnded(k.profile, metrics.Success)
			if k.bill != nil {
				k.client.server.usage.RecordUsage(k.bill.customer, k.bill.plan, k.bill.taken, k.bill.units)
			}
			k.client.finish(k, step.Response)
			return
		case dispatch.Reject:
			k.client.server.metrics.RequestEnded(k.profile, metrics.Overload)
			answer := []byte("-BUSY")
			if step.RetryAfter > 0 {
				answer = strconv.AppendInt(append(answer, ' '), int64((step.RetryAfter+999_999)/1_000_000), 10)
			}
			k.client.finish(k, append(answer, "\r\n"...))
			return
		case dispatch.Abort:
			k.client.server.metrics.RequestEnded(k.profile, metrics.Error)
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
	if k.t != nil {
		c.server.free(k.id)
		c.server.metrics.RequestClosed()
		c.server.budget.Release(k.large)
	}
	defer c.server.spare()
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
			c.end()
		}
	}
	c.room.Broadcast()
}

func (c *client) write(answer []byte) {
	// A large answer goes in pieces, each with the deadline renewed: a client that takes a 4 MiB answer slowly
	// but steadily is not cut off, one that takes nothing is, after slowest. The deadline is renewed now and
	// then: one a write is dear.
	const piece = 256 << 10
	for len(answer) > 0 {
		if now := time.Now(); now.Sub(c.bounds) > c.server.slowest/5 {
			c.bounds = now
			c.nc.SetWriteDeadline(now.Add(c.server.slowest))
		}
		part := answer[:min(len(answer), piece)]
		if _, err := c.nc.Write(part); err != nil {
			c.nc.Close()
			return
		}
		answer = answer[len(part):]
	}
}

// left tells all that is open on the connection that the client has gone.
func (c *client) left() {
	c.mu.Lock()
	c.gone = true
	open := append([]*command(nil), c.line...)
	c.room.Broadcast()
	c.mu.Unlock()
	for _, k := range open {
		if k.t != nil {
			k.t.HandleClientGone()
		}
	}
}

// leave ends the connection: what is open on it is told that the client is gone.
func (c *client) leave() {
	c.nc.Close()
	c.server.budget.Release(c.large)
	c.large = 0
	c.left()
	s := c.server
	s.mu.Lock()
	delete(s.clients, c)
	s.freed.Signal()
	s.mu.Unlock()
}
