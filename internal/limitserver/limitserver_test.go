package limitserver

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/tidwall/redcon"

	"fawnplank/internal/authz"
	"fawnplank/internal/counter"
	"fawnplank/internal/dispatch"
	"fawnplank/internal/lab/emulator"
	"fawnplank/internal/lab/results"
	"fawnplank/internal/lab/scenario"
	"fawnplank/policy"
)

// house is a facade with a counter stand-in, and the limit commands before it.
type house struct {
	emu     *emulator.Emu
	facade  *dispatch.Dispatcher
	counter *counter.Client
	server  *Server
	address string
}

// backends is a facade's line to backends that fulfil everything at once.
const scene = `name = "limits"
[backends]
count = 1
[doors]
count = 2
[[profile]]
name = "calc"
effect = "reissuable"
promised = "750ms"
[[plan]]
name = "despacho"
rate = 5
burst = 50
beyond_costs = 1.0
[[plan]]
name = "open"
[[plan]]
name = "roof"
ceiling_rate = 1
ceiling_burst = 10
`

const checks policy.ClassID = 1

func open(t testing.TB, format counter.Format) *house {
	t.Helper()
	h := &house{facade: dispatch.New()}
	terms := h.emulate(t)
	h.counter = counter.New(counter.Options{Address: h.emu.CounterAddress(0), ConnectTimeout: time.Second, Format: format}, h.facade)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h.address = l.Addr().String()
	h.run(t, terms, h.counter, l)
	return h
}

// emulate starts the counter's stand-in, and gives the terms for a facade beside it.
func (h *house) emulate(t testing.TB) policy.Settings {
	t.Helper()
	s, err := scenario.Parse("scene", []byte(scene))
	if err != nil {
		t.Fatal(err)
	}
	terms, err := s.EngineSettings(0)
	if err != nil {
		t.Fatal(err)
	}
	terms.Classes = append(terms.Classes, policy.ClassSettings{LatencyObjective: 750e6, Deadline: 750e6, CheckOnly: true})
	log := results.NewLog(results.New(s, terms, 0))
	if h.emu, err = emulator.Start(s, log); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.emu.Close)
	log.Begin()
	return terms
}

// run starts the decisions and the limit commands.
func (h *house) run(t testing.TB, terms policy.Settings, c dispatch.Counter, l net.Listener) {
	h.facade.Start(dispatch.Config{Seed: 7, Settings: terms, Counter: c})
	t.Cleanup(h.facade.Stop)
	h.facade.UpdateEndpoints(policy.FullSnapshot, []policy.Endpoint{{Backend: 1, State: policy.EndpointReady}})
	h.server = New(h.facade, Settings{Class: checks, Timeout: 750 * time.Millisecond, Instances: 2, MaxUnits: 100,
		Plans: map[string]policy.PlanID{"despacho": 0, "open": 1, "roof": 2}}, 4)
	go h.server.Serve(l)
	t.Cleanup(func() { h.server.Close() })
}

type talk struct {
	net.Conn
	r *bufio.Reader
}

func (h *house) dial(t testing.TB) *talk {
	t.Helper()
	c, err := net.Dial("tcp", h.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second))
	return &talk{c, bufio.NewReader(c)}
}

func command(words ...string) []byte {
	b := redcon.AppendArray(nil, len(words))
	for _, w := range words {
		b = redcon.AppendBulkString(b, w)
	}
	return b
}

// read reads one answer: an error or status line, or the five integers of an array, as text.
func (c *talk) read(t testing.TB) string {
	t.Helper()
	line, err := c.r.ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	line = strings.TrimSpace(line)
	if line != "*5" {
		return line
	}
	var all []string
	for range 5 {
		n, err := c.r.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, strings.TrimPrefix(strings.TrimSpace(n), ":"))
	}
	return strings.Join(all, " ")
}

func (c *talk) ask(t testing.TB, words ...string) string {
	t.Helper()
	if _, err := c.Write(command(words...)); err != nil {
		t.Fatal(err)
	}
	return c.read(t)
}

const anna = "0000000000000005"

func TestCommands(t *testing.T) {
	h := open(t, counter.Text)
	c := h.dial(t)
	for _, x := range []struct{ ask, want string }{
		{"PING", "+PONG"}, {"command docs", "*0"},
		{"LIMIT.PEEK " + anna + " despacho", "0 50 50 -1 0"},
		{"limit.check " + anna + " despacho 10", "0 50 40 -1 "},
		{"LIMIT.CHECK " + anna + " despacho 0.5 2 1", "0 50 39 -1 "},
		{"LIMIT.PEEK " + anna + " despacho", "0 50 39 -1 "},
		{"LIMIT.CHECK " + anna + " despacho 39", "0 50 0 -1 "},
		{"LIMIT.CHECK " + anna + " despacho 39", "1 50 "},
		{"CL.THROTTLE " + anna + " despacho 39", "1 50 "},
		{"LIMIT.CHECK " + anna + " open", "0 0 0 -1 0"},
		{"LIMIT.CHECK", "-ERR wrong number of arguments for 'limit.check'"},
		{"LIMIT.CHECK " + anna, "-ERR wrong number of arguments for 'limit.check'"},
		{"LIMIT.PEEK", "-ERR wrong number of arguments for 'limit.peek'"},
		{"LIMIT.CHECK " + anna + " despacho 1 1", "-ERR wrong number of arguments for 'limit.check'"},
		{"LIMIT.CHECK 5 despacho", "-ERR customer '5' is no number of 16 hexadecimal digits"},
		{"LIMIT.CHECK 0000000200000000 despacho", "-ERR customer"},
		{"LIMIT.CHECK " + anna + " gold", "-ERR no plan 'gold'"},
		{"LIMIT.CHECK " + anna + " despacho many", "-ERR units 'many'"},
		{"LIMIT.CHECK " + anna + " despacho NaN", "-ERR units"}, {"LIMIT.CHECK " + anna + " despacho -1", "-ERR units"},
		{"LIMIT.CHECK " + anna + " despacho 0", "-ERR units"}, {"LIMIT.CHECK " + anna + " despacho 1e9", "-ERR units"},
		{"LIMIT.CHECK " + anna + " despacho 1 3 0", "-ERR spread '3'"}, {"LIMIT.CHECK " + anna + " despacho 1 2 2", "-ERR first '2'"},
		{"LIMIT.PEEK " + anna + " despacho x", "-ERR spread 'x'"},
		{"FLUSHALL", "-ERR unknown command 'FLUSHALL'"}, {"\x01\xff", "-ERR unknown command"},
		{"QUIT", "+OK"},
	} {
		if got := c.ask(t, strings.Split(x.ask, " ")...); !strings.HasPrefix(got, x.want) {
			t.Errorf("%s: %q, want %q", x.ask, got, x.want)
		}
	}
	if _, err := c.r.ReadByte(); err != io.EOF {
		t.Errorf("after QUIT: %v", err)
	}
	if h.facade.OpenRequests() != 0 {
		t.Errorf("%d checks are still open", h.facade.OpenRequests())
	}
}

// A check draws from the customer's ceiling too, as what is sent on does (rule 5).
func TestChecksKeepTheCeiling(t *testing.T) {
	h := open(t, counter.Text)
	c, granted := h.dial(t), 0
	for range 200 {
		if strings.HasPrefix(c.ask(t, "LIMIT.CHECK", anna, "roof"), "0") {
			granted++
		}
		time.Sleep(5 * time.Millisecond)
	}
	if granted > 2 { // half of one a second: this door's part, from its start on
		t.Errorf("%d granted in a second, of a ceiling of 1 a second over two doors", granted)
	}
}

// outside is the counter's client and stand-in for a house in a bubble of synctest. They stay outside, since who waits for
// the network never counts as blocked there and its clock would stand for good; so it does just while a call's answer is
// waited for: to the decisions each is answered at the moment of the call, however busy the machine is.
type outside struct {
	house
	terms   policy.Settings
	calls   chan bump
	answers chan told
	turn    sync.Mutex // answers are told in their order
	bumps   []bump     // by the facade's lock
	told    []told     // by turn
}

type bump struct {
	name     policy.CounterKey
	units    float64
	lifetime time.Duration
}

type told struct {
	name  policy.CounterKey
	total float64
	err   error
}

func newOutside(t *testing.T, format counter.Format) *outside {
	o := &outside{calls: make(chan bump, 100), answers: make(chan told, 100)}
	o.terms = o.emulate(t)
	o.counter = counter.New(counter.Options{Address: o.emu.CounterAddress(0), ConnectTimeout: time.Minute, Format: format}, o)
	go func() {
		for b := range o.calls {
			o.counter.Add(b.name, b.units, b.lifetime)
			o.counter.Flush()
		}
	}()
	t.Cleanup(func() { close(o.calls) })
	return o
}

// HandleCounterResult is told the client's answers, outside.
func (o *outside) HandleCounterResult(name policy.CounterKey, total float64, err error) {
	o.answers <- told{name, total, err}
}

// Add and Flush are the facade's counter, in the bubble.
func (o *outside) Add(name policy.CounterKey, units float64, lifetime time.Duration) {
	b := bump{name, units, lifetime}
	o.bumps = append(o.bumps, b)
	o.calls <- b
	go func() {
		o.turn.Lock()
		defer o.turn.Unlock()
		a := <-o.answers
		o.told = append(o.told, a)
		o.facade.HandleCounterResult(a.name, a.total, a.err)
	}()
}

func (o *outside) Flush() {}

// enter starts the rest in a bubble, and gives a connection to the limit commands.
func (o *outside) enter(t *testing.T) *talk {
	o.facade = dispatch.New()
	l := &pipes{make(chan net.Conn, 1), make(chan struct{})}
	o.run(t, o.terms, o, l)
	c, far := net.Pipe()
	t.Cleanup(func() { c.Close() })
	l.conns <- far
	return &talk{c, bufio.NewReader(c)}
}

// pipes is a listener for connections within a bubble.
type pipes struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error {
	select {
	case <-p.closed:
	default:
		close(p.closed)
	}
	return nil
}

func (p *pipes) Addr() net.Addr { return &net.UnixAddr{Name: "pipe", Net: "pipe"} }

// The same thousand tries by way of the front door and of limit commands count the same, to the last call of the counter.
// Two houses, each with a counter of its own, are given each try at the same moment of one clock, which stands meanwhile:
// on the machine's clock they were given it a little apart, and what refilled between parted some.
func TestBothPathsCountTheSame(t *testing.T) {
	for _, x := range []struct {
		format    counter.Format
		customers int
		pace      time.Duration // from one try to the next
	}{
		{counter.Text, 17, 2 * time.Millisecond}, {counter.RESP, 17, 2 * time.Millisecond},
		{counter.Text, 5, 20 * time.Millisecond}, {counter.RESP, 5, 20 * time.Millisecond}, // through two windows
	} {
		t.Run(fmt.Sprintf("format %d, %d customers", x.format, x.customers), func(t *testing.T) {
			a, b := newOutside(t, x.format), newOutside(t, x.format)
			synctest.Test(t, func(t *testing.T) {
				a.enter(t)
				c := b.enter(t)
				let := 0
				for n := range 1000 {
					id, units := n%x.customers, 1+n%3
					tx := a.facade.Submit(dispatch.RequestSpec{Tenant: policy.TenantID(id), Timeout: 750 * time.Millisecond, Units: float64(units), EntryPoints: 2})
					answer := c.ask(t, "LIMIT.CHECK", fmt.Sprintf("%016x", id), "despacho", fmt.Sprint(units))
					step := tx.NextStep()
					sent, granted := step.Action == dispatch.Send, strings.HasPrefix(answer, "0")
					if sent != granted {
						t.Errorf("try %d: sent on: %t, granted: %t (%s)", n, sent, granted, answer)
					}
					if sent {
						let++
						step.Attempt.Begin(nil)
						time.Sleep(2 * time.Millisecond)
						step.Attempt.Report([]byte("ok"), 0, nil)
						if last := tx.NextStep(); last.Action != dispatch.Respond {
							t.Errorf("try %d ended as %+v", n, last)
						}
					}
					time.Sleep(x.pace)
				}
				time.Sleep(100 * time.Millisecond) // what was counted and turned away is put right
				synctest.Wait()
				if !slices.Equal(a.bumps, b.bumps) || !slices.Equal(a.told, b.told) {
					t.Errorf("the counter was called otherwise: %d calls by the front door, %d by limit commands", len(a.bumps), len(b.bumps))
				}
				for _, o := range []*outside{a, b} {
					if stats := o.counter.Stats(); stats.Failed > 0 || int(stats.Answered) != len(o.bumps) {
						t.Errorf("of %d calls the counter answered %d and failed %d", len(o.bumps), stats.Answered, stats.Failed)
					}
				}
				// A millionth: the sum over the numbers is taken in any order.
				if sums := [2]float64{a.emu.Sum(), b.emu.Sum()}; let < 300 || let > 700 || math.Abs(sums[0]-sums[1]) > 1e-6 {
					t.Errorf("%d let in; counted %v", let, sums)
				}
				t.Logf("%d let in, %d calls, %.1f counted", let, len(a.bumps), a.emu.Sum())
			})
		})
	}
}

// Answers to a pipeline come in its order, whatever waits for the counter in between.
func TestPipelineKeepsItsOrder(t *testing.T) {
	h := open(t, counter.Text)
	c := h.dial(t)
	var all []byte
	var want []string
	for n := range 300 {
		switch n % 4 {
		case 0, 1:
			all = append(all, command("LIMIT.CHECK", fmt.Sprintf("%016x", 100+n%7), "despacho")...)
			want = append(want, "")
		case 2:
			all = append(all, command("LIMIT.CHECK", anna, fmt.Sprintf("none%d", n))...)
			want = append(want, fmt.Sprintf("-ERR no plan 'none%d'", n))
		default:
			all = append(all, command("PING")...)
			want = append(want, "+PONG")
		}
	}
	go func() { // in pieces that fall anywhere
		for len(all) > 0 {
			n := min(len(all), 777)
			c.Write(all[:n])
			all = all[n:]
		}
	}()
	for n, w := range want {
		if got := c.read(t); w != "" && got != w || w == "" && strings.ContainsAny(got[:1], "-+") {
			t.Fatalf("answer %d: %q, want %q", n, got, w)
		}
	}
}

// A pipeline sees its own checks: the tenth of one unit each leaves ten less.
func TestPeekSeesTheChecksBeforeIt(t *testing.T) {
	h := open(t, counter.Text)
	c := h.dial(t)
	var all []byte
	for range 10 {
		all = append(all, command("LIMIT.CHECK", anna, "despacho")...)
	}
	c.Write(append(all, command("LIMIT.PEEK", anna, "despacho")...))
	last := ""
	for range 11 {
		last = c.read(t)
	}
	if !strings.HasPrefix(last, "0 50 40 ") {
		t.Errorf("%q", last)
	}
}

func TestBadClientsGetAnErrorBeforeTheClose(t *testing.T) {
	h := open(t, counter.Text)
	for _, text := range []string{"*1\r\n$x\r\n", "*-5\r\n$1\r\n", "*2000000000\r\n", "*1\r\n:5\r\n"} {
		c := h.dial(t)
		io.WriteString(c, text)
		c.SetDeadline(time.Now().Add(300 * time.Millisecond))
		if got, _ := io.ReadAll(c.r); len(got) > 0 && got[0] != '-' {
			t.Errorf("%q: %q", text, got)
		}
		c.Close()
	}
	time.Sleep(50 * time.Millisecond)
	huge := h.dial(t)
	go huge.Write(bytes.Repeat([]byte("x"), 4<<20))
	if got, _ := huge.r.ReadString('\n'); got != "-ERR command too large\r\n" {
		t.Errorf("%q", got)
	}
	huge.Close()
	time.Sleep(50 * time.Millisecond)
	for range 4 {
		h.dial(t).ask(t, "PING")
	}
	if got := h.dial(t).read(t); got != "-ERR too many connections" {
		t.Errorf("the fifth of four: %q", got)
	}
}

// The counter that refuses, hangs or is slow does not hold a check up, and the door's share decides.
func TestChecksWithoutTheCounter(t *testing.T) {
	h := open(t, counter.RESP)
	c := h.dial(t)
	if got := c.ask(t, "LIMIT.CHECK", anna, "despacho"); !strings.HasPrefix(got, "0 50 49") {
		t.Error(got)
	}
	h.emu.Close()
	granted := 0
	for n := range 60 {
		start := time.Now()
		if strings.HasPrefix(c.ask(t, "LIMIT.CHECK", anna, "despacho", "1", "2", "0"), "0") {
			granted++
		}
		if took := time.Since(start); took > 500*time.Millisecond {
			t.Errorf("check %d took %v", n, took)
		}
	}
	if granted < 20 || granted > 30 { // half of 50, and a little that refills
		t.Errorf("%d granted of a share of 25", granted)
	}
}

// FuzzCommands: whatever the words are, each command gets one whole answer, in RESP.
func FuzzCommands(f *testing.F) {
	h := open(f, counter.Text)
	f.Add([]byte("*1\r\n$4\r\nPING\r\n"))
	f.Add(command("LIMIT.CHECK", anna, "despacho", "1"))
	f.Add(append(command("LIMIT.PEEK", anna, "despacho"), command("CL.THROTTLE", anna, "open")...))
	f.Add([]byte("PING\r\nLIMIT.CHECK a b c\r\n"))
	f.Add([]byte("*0\r\n*-1\r\n$5\r\n"))
	f.Add(command("LIMIT.CHECK", anna, "despacho", "0x1p-3"))
	f.Fuzz(func(t *testing.T, text []byte) {
		var batch []redcon.Command
		for r := redcon.NewReader(bytes.NewReader(text)); len(batch) < 20; {
			cmd, err := r.ReadCommand()
			if err != nil {
				break
			}
			batch = append(batch, cmd)
		}
		quits := slices.IndexFunc(batch, func(c redcon.Command) bool {
			return len(c.Args) > 0 && strings.EqualFold(string(c.Args[0]), "QUIT")
		})
		want := len(batch)
		if quits >= 0 {
			want = quits + 1
		}
		may := authz.Check
		out, last := h.server.run(batch, &may)
		count := 0
		for len(out) > 0 {
			n, _ := redcon.ReadNextRESP(out)
			if n == 0 {
				t.Fatalf("%q: no answer in %q", text, out)
			}
			out = out[n:]
			count++
		}
		if count != want || last != (quits >= 0) {
			t.Fatalf("%q: %d answers to %d commands", text, count, want)
		}
	})
}

// BenchmarkCheck is a check over loopback with a counter stand-in that answers in half a millisecond, one at a time
// and a hundred in a pipeline; latencies of single ones are told as p50 and p99.
func BenchmarkCheck(b *testing.B) {
	for _, many := range []int{1, 100} {
		b.Run(fmt.Sprint("pipeline-", many), func(b *testing.B) {
			h := open(b, counter.Text)
			c := h.dial(b)
			c.SetDeadline(time.Time{})
			var all []byte
			for n := range many {
				all = append(all, command("LIMIT.CHECK", fmt.Sprintf("%016x", 1000+n), "despacho", "0.001")...)
			}
			var took []time.Duration
			b.ReportAllocs()
			for b.Loop() {
				start := time.Now()
				c.Write(all)
				for range many {
					c.read(b)
				}
				took = append(took, time.Since(start))
			}
			slices.Sort(took)
			b.ReportMetric(float64(many)*float64(len(took))/b.Elapsed().Seconds(), "commands/s")
			b.ReportMetric(float64(took[len(took)/2].Microseconds()), "p50-us")
			b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-us")
		})
	}
}

// BenchmarkPeek counts nothing and waits for nobody: the cost of the protocol and the lock.
func BenchmarkPeek(b *testing.B) {
	h := open(b, counter.Text)
	cmd := redcon.Command{Args: [][]byte{[]byte("LIMIT.PEEK"), []byte(anna), []byte("despacho")}}
	batch := []redcon.Command{cmd}
	b.ReportAllocs()
	for b.Loop() {
		may := authz.Check
		h.server.run(batch, &may)
	}
}
