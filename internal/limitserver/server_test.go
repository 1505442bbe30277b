package limitserver

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"fawnplank/internal/counter"
	"fawnplank/internal/dispatch"
	"fawnplank/internal/lab/emulator"
	"fawnplank/internal/lab/results"
	"fawnplank/internal/lab/scenario"
	"fawnplank/internal/testutil"
	"fawnplank/policy"
)

// scenarioTOML is the scenario of the tests: a fleet of two instances, and the plans that commands name.
const scenarioTOML = `name = "limits"
[backends]
count = 1
[gateways]
count = 2
[[class]]
name = "calc"
idempotency = "idempotent"
latency_objective = "750ms"
[[plan]]
name = "despacho"
rate = 5
burst = 50
over_quota_cost = 1.0
[[plan]]
name = "open"
[[plan]]
name = "capped"
hard_quota_rate = 1
hard_quota_burst = 10
`

// checkClass is the class of checks. Its ID is that after the class of scenarioTOML.
const checkClass policy.ClassID = 1

// tenant is the tenant in the commands of most tests.
const tenant = "0000000000000005"

// gateway is a Server with its dispatcher and an emulated counter.
type gateway struct {
	emulator   *emulator.Emulator
	dispatcher *dispatch.Dispatcher
	counter    *counter.Client
	server     *Server
	address    string
}

// startGateway starts a gateway whose counter uses the given format.
func startGateway(tb testing.TB, format counter.Format) *gateway {
	tb.Helper()
	g := &gateway{dispatcher: dispatch.New()}
	settings := g.startEmulator(tb)
	g.counter = counter.New(counter.Options{
		Address:        g.emulator.CounterAddress(0),
		ConnectTimeout: time.Second,
		Format:         format,
	}, g.dispatcher)
	listener := testutil.Listen(tb)
	g.address = listener.Addr().String()
	g.serve(tb, settings, g.counter, listener)
	return g
}

// startEmulator starts the emulated counter, and returns the dispatcher's settings.
func (g *gateway) startEmulator(tb testing.TB) policy.Settings {
	tb.Helper()
	parsed, err := scenario.Parse("scene", []byte(scenarioTOML))
	if err != nil {
		tb.Fatal(err)
	}
	settings, err := parsed.EngineSettings(0)
	if err != nil {
		tb.Fatal(err)
	}
	settings.Classes = append(settings.Classes,
		policy.ClassSettings{LatencyObjective: 750e6, Deadline: 750e6, CheckOnly: true})
	log := results.NewEventLog(results.New(parsed, settings, 0))
	if g.emulator, err = emulator.Start(parsed, log); err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(g.emulator.Close)
	log.Begin()
	return settings
}

// serve starts the dispatcher and the Server, which accepts connections from l.
func (g *gateway) serve(tb testing.TB, settings policy.Settings, c dispatch.Counter, l net.Listener) {
	tb.Helper()
	g.dispatcher.Start(dispatch.Config{Seed: 7, Settings: settings, Counter: c})
	tb.Cleanup(g.dispatcher.Stop)
	g.dispatcher.UpdateEndpoints(policy.FullSnapshot,
		[]policy.Endpoint{{Backend: 1, State: policy.EndpointReady}})
	g.server = New(Options{
		Dispatcher: g.dispatcher,
		Settings: Settings{
			Class:     checkClass,
			Timeout:   750 * time.Millisecond,
			Instances: 2,
			MaxUnits:  100,
			Plans:     map[string]policy.PlanID{"despacho": 0, "open": 1, "capped": 2},
		},
		MaxConnections: 4,
	})
	served := make(chan error, 1)
	go func() { served <- g.server.Serve(l) }()
	tb.Cleanup(func() {
		_ = g.server.Close() // the listener may be closed already
		if err := <-served; err != nil {
			tb.Errorf("serve: %v", err)
		}
	})
}

// client is a client's connection to a Server.
type client struct {
	net.Conn
	reader *bufio.Reader
}

// dial opens a connection with a deadline of 20 seconds for the whole test.
func (g *gateway) dial(tb testing.TB) *client {
	tb.Helper()
	var dialer net.Dialer
	c, err := dialer.DialContext(tb.Context(), "tcp", g.address)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() {
		_ = c.Close() // the test may have closed it already
	})
	setDeadline(tb, c, time.Now().Add(20*time.Second))
	return &client{c, bufio.NewReader(c)}
}

func setDeadline(tb testing.TB, c net.Conn, deadline time.Time) {
	tb.Helper()
	if err := c.SetDeadline(deadline); err != nil {
		tb.Fatal(err)
	}
}

// encodeCommand encodes a command, whose name is the first word, in RESP.
func encodeCommand(args ...string) []byte {
	b := redcon.AppendArray(nil, len(args))
	for _, arg := range args {
		b = redcon.AppendBulkString(b, arg)
	}
	return b
}

// send writes encoded commands.
func (c *client) send(tb testing.TB, commands []byte) {
	tb.Helper()
	if _, err := c.Write(commands); err != nil {
		tb.Fatal(err)
	}
}

// receive reads an answer and returns it as text: the line of an error or a status, or the five integers of an array
// separated by spaces.
func (c *client) receive(tb testing.TB) string {
	tb.Helper()
	line := c.readLine(tb)
	if line != "*5" {
		return line
	}
	var integers []string
	for range 5 {
		integers = append(integers, strings.TrimPrefix(c.readLine(tb), ":"))
	}
	return strings.Join(integers, " ")
}

func (c *client) readLine(tb testing.TB) string {
	tb.Helper()
	line, err := c.reader.ReadString('\n')
	if err != nil {
		tb.Fatal(err)
	}
	return strings.TrimSpace(line)
}

// call sends a command and reads its answer.
func (c *client) call(tb testing.TB, args ...string) string {
	tb.Helper()
	c.send(tb, encodeCommand(args...))
	return c.receive(tb)
}

func TestServer_AnswersEachCommand(t *testing.T) {
	g := startGateway(t, counter.Text)
	c := g.dial(t)
	for _, step := range []struct{ command, want string }{
		{"PING", "+PONG"},
		{"command docs", "*0"},
		{"LIMIT.PEEK " + tenant + " despacho", "0 50 50 -1 0"},
		{"limit.check " + tenant + " despacho 10", "0 50 40 -1 "},
		{"LIMIT.CHECK " + tenant + " despacho 0.5 2 1", "0 50 39 -1 "},
		{"LIMIT.PEEK " + tenant + " despacho", "0 50 39 -1 "},
		{"LIMIT.CHECK " + tenant + " despacho 39", "0 50 0 -1 "},
		{"LIMIT.CHECK " + tenant + " despacho 39", "1 50 "},
		{"CL.THROTTLE " + tenant + " despacho 39", "1 50 "},
		{"LIMIT.CHECK " + tenant + " open", "0 0 0 -1 0"},
		{"LIMIT.CHECK", "-ERR wrong number of arguments for 'limit.check'"},
		{"LIMIT.CHECK " + tenant, "-ERR wrong number of arguments for 'limit.check'"},
		{"LIMIT.PEEK", "-ERR wrong number of arguments for 'limit.peek'"},
		{"LIMIT.CHECK " + tenant + " despacho 1 1", "-ERR wrong number of arguments for 'limit.check'"},
		{"LIMIT.CHECK 5 despacho", "-ERR customer '5' is no number of 16 hexadecimal digits"},
		{"LIMIT.CHECK 0000000200000000 despacho", "-ERR customer"},
		{"LIMIT.CHECK " + tenant + " gold", "-ERR no plan 'gold'"},
		{"LIMIT.CHECK " + tenant + " despacho many", "-ERR units 'many'"},
		{"LIMIT.CHECK " + tenant + " despacho NaN", "-ERR units"},
		{"LIMIT.CHECK " + tenant + " despacho -1", "-ERR units"},
		{"LIMIT.CHECK " + tenant + " despacho 0", "-ERR units"},
		{"LIMIT.CHECK " + tenant + " despacho 1e9", "-ERR units"},
		{"LIMIT.CHECK " + tenant + " despacho 1 3 0", "-ERR spread '3'"},
		{"LIMIT.CHECK " + tenant + " despacho 1 2 2", "-ERR first '2'"},
		{"LIMIT.PEEK " + tenant + " despacho x", "-ERR spread 'x'"},
		{"FLUSHALL", "-ERR unknown command 'FLUSHALL'"},
		{"\x01\xff", "-ERR unknown command"},
		{"QUIT", "+OK"},
	} {
		if got := c.call(t, strings.Split(step.command, " ")...); !strings.HasPrefix(got, step.want) {
			t.Errorf("%s: %q, want %q", step.command, got, step.want)
		}
	}
	if _, err := c.reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("read after QUIT: error %v, want EOF", err)
	}
	if g.dispatcher.RequestsInFlight() != 0 {
		t.Errorf("%d checks are still in flight", g.dispatcher.RequestsInFlight())
	}
}

// TestServer_AnswersPipelineInOrder mixes checks, which wait for the counter, with commands that do not wait. The
// answers must arrive in the order of the commands.
func TestServer_AnswersPipelineInOrder(t *testing.T) {
	g := startGateway(t, counter.Text)
	c := g.dial(t)
	var pipeline []byte
	var answers []string
	for n := range 300 {
		switch n % 4 {
		case 0, 1:
			pipeline = append(pipeline, encodeCommand("LIMIT.CHECK", fmt.Sprintf("%016x", 100+n%7), "despacho")...)
			answers = append(answers, "")
		case 2:
			pipeline = append(pipeline, encodeCommand("LIMIT.CHECK", tenant, fmt.Sprintf("none%d", n))...)
			answers = append(answers, fmt.Sprintf("-ERR no plan 'none%d'", n))
		default:
			pipeline = append(pipeline, encodeCommand("PING")...)
			answers = append(answers, "+PONG")
		}
	}
	go func() { // writes the pipeline in pieces that end in the middle of commands
		for len(pipeline) > 0 {
			n := min(len(pipeline), 777)
			_, _ = c.Write(pipeline[:n]) // a failed write leads to a missing answer below
			pipeline = pipeline[n:]
		}
	}()
	for n, want := range answers {
		got := c.receive(t)
		if want != "" && got != want || want == "" && strings.ContainsAny(got[:1], "-+") {
			t.Fatalf("answer %d: %q, want %q", n, got, want)
		}
	}
}

func TestServer_SendsErrorBeforeClosingConnection(t *testing.T) {
	g := startGateway(t, counter.Text)
	for _, text := range []string{"*1\r\n$x\r\n", "*-5\r\n$1\r\n", "*2000000000\r\n", "*1\r\n:5\r\n"} {
		c := g.dial(t)
		c.send(t, []byte(text))
		setDeadline(t, c, time.Now().Add(300*time.Millisecond))
		// The server may leave the connection open, which ends the read with an error.
		if got, _ := io.ReadAll(c.reader); len(got) > 0 && got[0] != '-' {
			t.Errorf("%q: %q", text, got)
		}
		_ = c.Close()
	}
	time.Sleep(50 * time.Millisecond)
	huge := g.dial(t)
	go func() {
		_, _ = huge.Write(bytes.Repeat([]byte("x"), 4<<20)) // fails when the server closes the connection
	}()
	if got, err := huge.reader.ReadString('\n'); got != "-ERR command too large\r\n" {
		t.Errorf("answer to a command that is too large: %q, error %v", got, err)
	}
	_ = huge.Close()
	time.Sleep(50 * time.Millisecond)
	for range 4 {
		g.dial(t).call(t, "PING")
	}
	if got := g.dial(t).receive(t); got != "-ERR too many connections" {
		t.Errorf("fifth connection, with a maximum of four: %q", got)
	}
}
