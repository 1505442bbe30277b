package frontend

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"fawnplank/internal/backend"
	"fawnplank/internal/config"
	"fawnplank/internal/dispatch"
	"fawnplank/internal/testutil"
	"fawnplank/policy"
)

const (
	lookupFields = "c=lookup,t=team,d=900,units=2,spread=2,first=1"
	testTenant   = "00000000b4d65521"
	// okBackendResponse is a response of a backend, and okClientResponse the response that the client receives for it.
	okBackendResponse = "*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n"
	okClientResponse  = "$2\r\nok\r\n"
)

var testSettings = policy.Settings{
	Instances: 2, MaxAttempts: 3, Hedging: true, Cancellation: true, RetryAfter: true, MaxRetryAfter: 1e9,
	SlowStartShare: 0.2, SlowStartDuration: 5e9, OverloadMultiple: 2, OverloadWindow: 1e9,
	Classes: []policy.ClassSettings{
		{LatencyObjective: 1e9, Deadline: 2e9},
		{LatencyObjective: 1e9, Deadline: 2e9, Idempotency: policy.NonIdempotent},
	},
	Plans: []policy.PlanSettings{{}, {ConcurrencyLimit: 1}},
}

// receivedAttempt is a complete command that a backend has received on the connection conn.
type receivedAttempt struct {
	raw  string
	conn net.Conn
}

// respond sends the response of the backend. It ignores errors, since the gateway may have closed the connection and
// the tests check what the client receives.
func (a receivedAttempt) respond(text string) { _, _ = io.WriteString(a.conn, text) }

// deadline returns the value of d in the command.
func (a receivedAttempt) deadline() string {
	return regexp.MustCompile(`d=(\d+)`).FindStringSubmatch(a.raw)[1]
}

// harness is a gateway on loopback with two backends whose responses the test determines.
type harness struct {
	t               *testing.T
	server          *Server
	dispatcher      *dispatch.Dispatcher
	pool            *backend.Pool
	listener        net.Listener
	attempts        chan receivedAttempt
	mu              sync.Mutex
	closedByGateway map[net.Conn]bool // connections to backends on which the gateway has closed at least its sending side
}

// harnessOptions configures a harness.
type harnessOptions struct {
	// server needs no Dispatcher, Pool and Config, which the harness sets. If MaxConnections is 0, it is set to 10.
	server Options
	// onAttempt is called for each command that a backend receives. If it is nil, the command is sent to the attempts
	// channel of the harness.
	onAttempt func(receivedAttempt)
	// writeTimeout replaces the write timeout of the server unless it is 0.
	writeTimeout time.Duration
	// evictionThreshold replaces the eviction threshold of the server. If it is 0, the threshold is MaxConnections, so
	// that idle connections are evicted only when no further connection may be open.
	evictionThreshold int
}

func newHarness(t *testing.T, options harnessOptions) *harness {
	t.Helper()
	h := &harness{
		t:               t,
		attempts:        make(chan receivedAttempt, 100),
		closedByGateway: map[net.Conn]bool{},
	}
	onAttempt := options.onAttempt
	if onAttempt == nil {
		onAttempt = func(a receivedAttempt) { h.attempts <- a }
	}
	h.dispatcher, h.pool = startDispatcher(t)
	h.server = newTestServer(h, options)
	h.listener = testutil.Listen(t)
	go func() {
		_ = h.server.Serve(h.listener) // returns nil once the listener is closed
	}()
	for b := policy.BackendID(1); b <= 2; b++ {
		h.pool.SetAddress(b, h.startBackend(onAttempt))
	}
	h.dispatcher.UpdateEndpoints(policy.FullSnapshot, []policy.Endpoint{
		{Backend: 1, State: policy.EndpointReady}, {Backend: 2, State: policy.EndpointReady},
	})
	return h
}

// startDispatcher starts a dispatcher with the pool of connections to its backends. The dispatcher stops when the test
// ends.
func startDispatcher(tb testing.TB) (*dispatch.Dispatcher, *backend.Pool) {
	tb.Helper()
	dispatcher := dispatch.New()
	pool := backend.New(backend.Options{
		MaxConnections:    50,
		ConnectTimeout:    200 * time.Millisecond,
		IdleTimeout:       10 * time.Second,
		HandleHealthCheck: dispatcher.HandleHealthCheck,
	})
	dispatcher.Start(dispatch.Config{Seed: 9, Settings: testSettings, HealthChecker: pool})
	tb.Cleanup(dispatcher.Stop)
	return dispatcher, pool
}

// testConfig is the configuration of a server under test, with two classes and two plans.
func testConfig() *config.Config {
	return &config.Config{
		Settings: testSettings,
		MaxUnits: 8,
		Classes:  map[string]policy.ClassID{"lookup": 0, "pay": 1},
		Plans:    map[string]policy.PlanID{"team": 0, "one": 1},
	}
}

func newTestServer(h *harness, options harnessOptions) *Server {
	serverOptions := options.server
	serverOptions.Dispatcher = h.dispatcher
	serverOptions.Pool = h.pool
	serverOptions.Config = testConfig()
	if serverOptions.MaxConnections == 0 {
		serverOptions.MaxConnections = 10
	}
	server := New(serverOptions)
	server.evictionThreshold = serverOptions.MaxConnections
	if options.evictionThreshold > 0 {
		server.evictionThreshold = options.evictionThreshold
	}
	if options.writeTimeout > 0 {
		server.writeTimeoutNanos.Store(int64(options.writeTimeout))
	}
	return server
}

// startBackend returns the address of a backend that calls onAttempt in a new goroutine for each command.
func (h *harness) startBackend(onAttempt func(receivedAttempt)) string {
	return testutil.ServeConnections(h.t, func(conn net.Conn) { go h.readAttempts(conn, onAttempt) })
}

func (h *harness) readAttempts(conn net.Conn, onAttempt func(receivedAttempt)) {
	var unread []byte
	buffer := make([]byte, 1<<17)
	for {
		count, err := conn.Read(buffer)
		if err != nil {
			h.mu.Lock()
			h.closedByGateway[conn] = true
			h.mu.Unlock()
			return
		}
		unread = append(unread, buffer[:count]...)
		isComplete, _, _, rest, err := redcon.ReadNextCommand(unread, nil)
		if err != nil {
			h.t.Errorf("a backend received the malformed input %q: %v", unread, err)
		}
		if isComplete {
			raw := string(unread[:len(unread)-len(rest)])
			unread = append([]byte(nil), rest...)
			go onAttempt(receivedAttempt{raw, conn})
		}
	}
}

// isClosedByGateway reports whether the gateway has closed a connection to a backend, or its sending side.
func (h *harness) isClosedByGateway(conn net.Conn) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.closedByGateway[conn]
}

// nextAttempt waits for the next command that a backend receives.
func (h *harness) nextAttempt() receivedAttempt {
	h.t.Helper()
	select {
	case attempt := <-h.attempts:
		return attempt
	case <-time.After(3 * time.Second):
		h.t.Fatal("no backend received an attempt within 3 s")
		panic("not reached")
	}
}

// openRequest returns a new client with one open request, and the attempt that a backend has received for it.
func (h *harness) openRequest(id string) (*testClient, receivedAttempt) {
	h.t.Helper()
	client := h.dial()
	client.send(queryCommand(id, lookupFields))
	return client, h.nextAttempt()
}

// onlyConnection waits until the server has exactly one connection, and returns it.
func (h *harness) onlyConnection() (only *connection) {
	h.t.Helper()
	h.waitUntil("the server has one connection", func() bool {
		h.server.mu.Lock()
		defer h.server.mu.Unlock()
		for only = range h.server.connections {
		}
		return len(h.server.connections) == 1
	})
	return only
}

// idleConnections returns the number of connections that could be evicted.
func (h *harness) idleConnections() (count int) {
	h.server.mu.Lock()
	defer h.server.mu.Unlock()
	for c := range h.server.connections {
		if _, idle := c.idleState(time.Now()); idle {
			count++
		}
	}
	return count
}

// waitUntil waits until the condition holds, and fails the test after 5 s. It polls every millisecond, since the
// condition may hold only for a short time.
func (h *harness) waitUntil(description string, condition func() bool) {
	h.t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			h.t.Fatalf("condition not met within 5 s: %s", description)
		}
	}
}

// testClient is the client side of a connection.
type testClient struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func (h *harness) dial() *testClient {
	h.t.Helper()
	var dialer net.Dialer
	conn, err := dialer.DialContext(h.t.Context(), "tcp", h.listener.Addr().String())
	if err != nil {
		h.t.Fatal(err)
	}
	client := &testClient{t: h.t, conn: conn, reader: bufio.NewReader(conn)}
	h.t.Cleanup(client.close)
	client.setDeadline(8 * time.Second)
	return client
}

func (c *testClient) close() {
	_ = c.conn.Close() // the test may have closed it already
}

func (c *testClient) setDeadline(timeout time.Duration) {
	c.t.Helper()
	if err := c.conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		c.t.Error(err)
	}
}

func (c *testClient) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c.conn, text); err != nil {
		c.t.Fatalf("sending %.40q failed: %v", text, err)
	}
}

// trySend sends text that the server may no longer accept. Unlike send, it may be called outside the test's goroutine.
func (c *testClient) trySend(text string) error {
	_, err := io.WriteString(c.conn, text)
	return err
}

// sendInBackground sends text in a new goroutine, since the server may not read all of it before the test continues.
func (c *testClient) sendInBackground(text string) {
	go func() {
		_ = c.trySend(text) // the test may close the connection first
	}()
}

func (c *testClient) expect(want string) {
	c.t.Helper()
	got := make([]byte, len(want))
	if count, err := io.ReadFull(c.reader, got); err != nil || string(got) != want {
		c.t.Fatalf("got %q (%v), want %q", got[:count], err, want)
	}
}

// expectLine reads a line, which must match the pattern, and returns it without the line end.
func (c *testClient) expectLine(pattern string) string {
	c.t.Helper()
	got, err := c.reader.ReadString('\n')
	if matches, _ := regexp.MatchString("^"+pattern+"\r\n$", got); err != nil || !matches {
		c.t.Fatalf("got %q (%v), want a line that matches %s", got, err, pattern)
	}
	return strings.TrimSpace(got)
}

func (c *testClient) ping() {
	c.t.Helper()
	c.send(respCommand("PING"))
	c.expectLine(`\+PONG`)
}

// expectClosed fails the test unless the server closes the connection without sending anything more. description is the
// connection, or the time at which it is expected to be closed.
func (c *testClient) expectClosed(description string) {
	c.t.Helper()
	if _, err := c.reader.ReadByte(); !errors.Is(err, io.EOF) {
		c.t.Errorf("%s: want the end of the connection, got %v", description, err)
	}
}

// skipResponses reads the given number of responses, each of one line or a bulk string without a line end.
func (c *testClient) skipResponses(count int) {
	c.t.Helper()
	for range count {
		line, err := c.reader.ReadString('\n')
		if err == nil && strings.HasPrefix(line, "$") {
			_, err = c.reader.ReadString('\n')
		}
		if err != nil {
			c.t.Fatal(err)
		}
	}
}

// queryCommand returns a request without a body as a client sends it.
func queryCommand(id, fields string) string { return respCommand("SVC.QUERY", testTenant, id, fields) }

func respCommand(args ...string) string {
	command := fmt.Sprintf("*%d\r\n", len(args))
	for _, arg := range args {
		command += fmt.Sprintf("$%d\r\n%s\r\n", len(arg), arg)
	}
	return command
}

// bulkBackendResponse returns the response of a backend with the given value.
func bulkBackendResponse(value string) string {
	return fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(value), value)
}

// bulkClientResponse returns the response that a client receives for bulkBackendResponse.
func bulkClientResponse(value string) string { return fmt.Sprintf("$%d\r\n%s\r\n", len(value), value) }

// fieldsWithClass and fieldsWithPlan return lookupFields with another class or plan.
func fieldsWithClass(class string) string { return strings.Replace(lookupFields, "lookup", class, 1) }
func fieldsWithPlan(plan string) string   { return strings.Replace(lookupFields, "team", plan, 1) }
