// Package limitd answers limit commands in RESP2, for tools that ask the front door whether a customer has room.
// It owns the listener and the clients' connections. It decides nothing: a check is a transaction of a profile
// that only counts, taken by the same decisions, on the same counts, as those that are sent on.
//
//	LIMIT.CHECK customer plan [units [spread first]]   counts, and says whether there was room
//	LIMIT.PEEK customer plan [spread]                  says what is known, and counts nothing
//	CL.THROTTLE customer plan [units]                  as LIMIT.CHECK, with times in seconds
//	PING, QUIT, COMMAND
//
// customer is 16 hexadecimal digits below 2^33, as in the platform's protocol. The answer is an array of five
// integers in the form that redis-cell made common: 0 where there was room and 1 where not; the units that the
// store holds; the units left; how long until there is room again (-1: there is), and how long until the store is
// full, both in milliseconds.
package limitserver

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tidwall/redcon"

	"fawnplank/internal/authz"
	"fawnplank/internal/dispatch"
	"fawnplank/policy"
)

// Dispatcher is where checks are decided: the facade.
type Dispatcher interface {
	Submit(spec dispatch.RequestSpec) *dispatch.Request
	QuotaStatus(c policy.TenantID, pl policy.PlanID, entries int) (policy.QuotaStatus, bool)
}

// Settings are the words that commands may use; a reload brings new ones.
type Settings struct {
	Class     policy.ClassID // the one that only counts
	Timeout   time.Duration  // for an answer
	Plans     map[string]policy.PlanID
	Instances int
	MaxUnits  float64
}

const (
	// mostBytes is how much a connection may send without a whole command in it: a pipeline of thousands.
	mostBytes = 1 << 20
	// idle is after how long a silent connection is closed.
	idle = 5 * time.Minute
)

// Server answers limit commands.
type Server struct {
	desk   Dispatcher
	names  atomic.Pointer[Settings]
	server *redcon.Server
	most   int
	open   atomic.Int64
	counts [3]atomic.Uint64 // checks granted, checks refused, commands in error
	once   sync.Once

	Accounts Accounts             // nil: no commands on accounts. To be set before Serve, as the keys are
	Keys     map[string]authz.Key // by name; empty: no AUTH
}

// New makes a server for at most so many connections.
func New(desk Dispatcher, names Settings, most int) *Server {
	s := &Server{desk: desk, most: most}
	s.names.Store(&names)
	s.server = redcon.NewServer("", s.handle, s.accept, func(redcon.Conn, error) { s.open.Add(-1) })
	s.server.SetIdleClose(idle)
	return s
}

// UpdateSettings takes new names.
func (s *Server) UpdateSettings(names Settings) { s.names.Store(&names) }

// Serve takes connections until Close.
func (s *Server) Serve(l net.Listener) error {
	err := s.server.Serve(&listener{l})
	if errors.Is(err, net.ErrClosed) {
		err = nil
	}
	return err
}

// Close ends the listener and all connections.
func (s *Server) Close() error {
	var err error
	s.once.Do(func() { err = s.server.Close() })
	return err
}

// Stats tells how many checks were granted and refused, and how many commands were in error.
func (s *Server) Stats() (granted, refused, faulty uint64) {
	return s.counts[0].Load(), s.counts[1].Load(), s.counts[2].Load()
}

// accept turns connections away beyond the most, with an error, since a close without one looks like a crash.
func (s *Server) accept(c redcon.Conn) bool {
	if s.open.Add(1) <= int64(s.most) {
		return true
	}
	s.open.Add(-1)
	c.NetConn().SetWriteDeadline(time.Now().Add(time.Second))
	c.NetConn().Write([]byte("-ERR too many connections\r\n"))
	return false
}

// handle answers a command and all that came along with it, in their order.
func (s *Server) handle(c redcon.Conn, first redcon.Command) {
	if b, ok := c.NetConn().(*bounded); ok {
		b.read = 0
	}
	batch := append([]redcon.Command{first}, c.ReadPipeline()...)
	may, known := c.Context().(authz.Right)
	if !known && len(s.Keys) == 0 {
		may = authz.Check
	}
	answers, last := s.run(batch, &may)
	c.SetContext(may)
	c.WriteRaw(answers)
	if last {
		c.Close()
	}
}

// check is one LIMIT.CHECK under way.
type check struct {
	t       *dispatch.Request
	c       policy.TenantID
	pl      policy.PlanID
	spread  int
	seconds bool // times in seconds
}

// run gives the answers to a batch of commands, in their order; last says that the connection is to end. Checks that
// stand one behind another wait for the counter together; any other command sees what those before it did.
func (s *Server) run(batch []redcon.Command, may *authz.Right) (out []byte, last bool) {
	names := s.names.Load()
	var waiting []check
	settle := func() {
		for _, k := range waiting {
			out = s.settle(out, k)
		}
		waiting = waiting[:0]
	}
	for _, cmd := range batch {
		word := ""
		if len(cmd.Args) > 0 {
			word = strings.ToUpper(string(cmd.Args[0][:min(len(cmd.Args[0]), 32)]))
		}
		if needs(word)&^*may != 0 && (arity[word] == 0 || s.Accounts != nil) {
			settle()
			s.counts[2].Add(1)
			out = redcon.AppendError(out, "NOPERM this connection has no key (AUTH name secret) that may "+strings.ToLower(word))
			continue
		}
		if word == "LIMIT.CHECK" || word == "CL.THROTTLE" {
			k, err := s.begin(names, cmd.Args[1:])
			k.seconds = word[0] == 'C'
			if err == nil {
				waiting = append(waiting, k)
				continue
			}
			settle()
			out = s.fault(out, word, err)
			continue
		}
		settle()
		switch word {
		case "PING":
			out = redcon.AppendString(out, "PONG")
		case "QUIT":
			return redcon.AppendOK(out), true
		case "COMMAND": // common clients ask at once what there is, and take an empty list
			out = redcon.AppendArray(out, 0)
		case "LIMIT.PEEK":
			out = s.peek(out, names, cmd.Args[1:])
		case "AUTH":
			granted, err := s.auth(cmd.Args[1:])
			if *may = granted; err != nil {
				out = s.fault(out, word, err)
			} else {
				out = redcon.AppendOK(out)
			}
		default:
			var known bool
			if out, known = s.account(out, word, cmd.Args[1:]); known {
				continue
			}
			out = s.fault(out, "", fmt.Errorf("unknown command '%.32s'", printable(word)))
		}
	}
	settle()
	return out, false
}

func printable(text string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r > '~' {
			return '?'
		}
		return r
	}, text)
}

var errArity = errors.New("wrong number of arguments")

func (s *Server) fault(out []byte, word string, err error) []byte {
	s.counts[2].Add(1)
	if errors.Is(err, errArity) {
		err = fmt.Errorf("%w for '%s'", err, strings.ToLower(word))
	}
	return redcon.AppendError(out, "ERR "+err.Error())
}

// who reads a customer and a plan.
func (s *Server) who(names *Settings, args [][]byte) (c policy.TenantID, pl policy.PlanID, err error) {
	id, err := strconv.ParseUint(string(args[0]), 16, 64)
	if err != nil || len(args[0]) != 16 || id >= 1<<33 {
		return 0, 0, fmt.Errorf("customer '%.20s' is no number of 16 hexadecimal digits below 2^33", printable(string(args[0])))
	}
	pl, ok := names.Plans[string(args[1])]
	if !ok {
		return 0, 0, fmt.Errorf("no plan '%.40s'", printable(string(args[1])))
	}
	return policy.TenantID(id), pl, nil
}

// whole reads a whole number from least to most.
func whole(name string, text []byte, least, most int) (int, error) {
	n, err := strconv.Atoi(string(text))
	if err != nil || n < least || n > most {
		return 0, fmt.Errorf("%s '%.20s' is no whole number from %d to %d", name, printable(string(text)), least, most)
	}
	return n, nil
}

// begin reads a check, and lets it be counted.
func (s *Server) begin(names *Settings, args [][]byte) (check, error) {
	if len(args) != 2 && len(args) != 3 && len(args) != 5 {
		return check{}, errArity
	}
	c, pl, err := s.who(names, args)
	if err != nil {
		return check{}, err
	}
	units, spread, first := 1.0, max(names.Instances, 1), 0
	if len(args) > 2 {
		units, err = strconv.ParseFloat(string(args[2]), 64)
		if err != nil || !(units > 0 && units <= names.MaxUnits) || bytes.ContainsAny(args[2], "xXpP_") {
			return check{}, fmt.Errorf("units '%.20s' are not above 0 and at most %g", printable(string(args[2])), names.MaxUnits)
		}
	}
	if len(args) > 3 {
		if spread, err = whole("spread", args[3], 1, max(names.Instances, 1)); err != nil {
			return check{}, err
		}
		if first, err = whole("first", args[4], 0, max(names.Instances, 1)-1); err != nil {
			return check{}, err
		}
	}
	spec := dispatch.RequestSpec{Class: names.Class, Plan: pl, Tenant: c, Timeout: names.Timeout, Units: units, EntryPoints: spread, FirstInstance: first}
	return check{t: s.desk.Submit(spec), c: c, pl: pl, spread: spread}, nil
}

// settle waits for a check's answer: the module's own wait for the counter bounds it.
func (s *Server) settle(out []byte, k check) []byte {
	step := k.t.NextStep()
	q, _ := s.desk.QuotaStatus(k.c, k.pl, k.spread)
	switch step.Action {
	case dispatch.Admit:
		s.counts[0].Add(1)
		return reply(out, q, -1, k.seconds)
	case dispatch.Reject:
		s.counts[1].Add(1)
		wait := int64(step.RetryAfter)
		if wait <= 0 && q.Rate > 0 { // the settings allow no advice to clients; to those who ask, the refill is told
			wait = int64(max(q.Used+1-q.Limit, 1) / q.Rate * 1e9)
		}
		return reply(out, q, max(wait, 0), k.seconds)
	}
	s.counts[2].Add(1)
	return redcon.AppendError(out, "ERR failed")
}

// reply is the array of five.
func reply(out []byte, q policy.QuotaStatus, wait int64, seconds bool) []byte {
	unit := 1e6
	if seconds {
		unit = 1e9
	}
	limited, back, full := int64(0), int64(-1), int64(0)
	if wait >= 0 {
		limited, back = 1, int64(math.Ceil(float64(wait)/unit))
	}
	left := max(q.Limit-q.Used, 0)
	if q.HardQuotaLeft >= 0 {
		left = min(left, max(q.HardQuotaLeft, 0))
	}
	if q.Rate > 0 {
		full = int64(math.Ceil(min(q.Used/q.Rate, 1e8) * 1e9 / unit))
	}
	out = redcon.AppendArray(out, 5)
	for _, n := range []int64{limited, int64(q.Limit), int64(left), back, full} {
		out = redcon.AppendInt(out, n)
	}
	return out
}

// peek tells what is known.
func (s *Server) peek(out []byte, names *Settings, args [][]byte) []byte {
	if len(args) != 2 && len(args) != 3 {
		return s.fault(out, "LIMIT.PEEK", errArity)
	}
	c, pl, err := s.who(names, args)
	spread := max(names.Instances, 1)
	if err == nil && len(args) == 3 {
		spread, err = whole("spread", args[2], 1, spread)
	}
	if err != nil {
		return s.fault(out, "", err)
	}
	q, _ := s.desk.QuotaStatus(c, pl, spread)
	wait := int64(-1)
	if q.Rate > 0 && q.Limit-q.Used < 1 {
		wait = int64((q.Used + 1 - q.Limit) / q.Rate * 1e9)
	}
	return reply(out, q, wait, false)
}

// listener bounds what its connections may send without a whole command in it: redcon's reader keeps growing.
type listener struct{ net.Listener }

func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &bounded{Conn: c}, nil
}

type bounded struct {
	net.Conn
	read int
}

func (b *bounded) Read(p []byte) (int, error) {
	if b.read > mostBytes {
		b.SetWriteDeadline(time.Now().Add(time.Second))
		b.Conn.Write([]byte("-ERR command too large\r\n"))
		return 0, errors.New("command too large")
	}
	n, err := b.Conn.Read(p)
	b.read += n
	return n, err
}
