package frontend

import (
	"bufio"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"fawnplank/internal/testutil"
	"fawnplank/policy"
)

// BenchmarkFrontend_Request measures one request from a client's connection through the dispatcher to a backend on
// loopback in the same process, and its response back to the client. The allocations are those of the whole process, to
// which the backend adds none.
func BenchmarkFrontend_Request(b *testing.B) {
	client := newBenchmarkClient(b, startBenchmarkServer(b))
	b.ReportAllocs()
	rejectedCount := 0
	for b.Loop() {
		for client.send() {
			rejectedCount++
		}
		client.expectOK()
	}
	b.ReportMetric(float64(rejectedCount), "rejected")
}

// startBenchmarkServer starts a server with one backend, and returns its address.
func startBenchmarkServer(b *testing.B) string {
	b.Helper()
	dispatcher, pool := startDispatcher(b)
	server := New(Options{
		Dispatcher:     dispatcher,
		Pool:           pool,
		Config:         testConfig(),
		MaxConnections: 10,
	})
	listener := testutil.Listen(b)
	go func() {
		_ = server.Serve(listener) // returns nil once the listener is closed
	}()
	pool.SetAddress(1, startBenchmarkBackend(b))
	readyEndpoint := policy.Endpoint{Backend: 1, State: policy.EndpointReady}
	dispatcher.UpdateEndpoints(policy.FullSnapshot, []policy.Endpoint{readyEndpoint})
	return listener.Addr().String()
}

// startBenchmarkBackend returns the address of a backend that responds to each read. Since the only client has one open
// request at a time, each read returns one complete command.
func startBenchmarkBackend(b *testing.B) string {
	b.Helper()
	return testutil.ServeConnections(b, func(conn net.Conn) { go answerReads(conn) })
}

func answerReads(conn net.Conn) {
	defer func() {
		_ = conn.Close() // the gateway may have closed it
	}()
	buffer, response := make([]byte, 4096), []byte(okBackendResponse)
	for {
		if _, err := conn.Read(buffer); err != nil {
			return
		}
		if _, err := conn.Write(response); err != nil {
			return
		}
	}
}

// benchmarkClient sends requests that were encoded in advance. Consecutive requests have different ids.
type benchmarkClient struct {
	b        *testing.B
	conn     net.Conn
	reader   *bufio.Reader
	requests [64][]byte
	sent     int
	response []byte
}

func newBenchmarkClient(b *testing.B, address string) *benchmarkClient {
	b.Helper()
	var dialer net.Dialer
	conn, err := dialer.DialContext(b.Context(), "tcp4", address)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		_ = conn.Close() // the server may have closed it
	})
	client := &benchmarkClient{
		b: b, conn: conn, reader: bufio.NewReader(conn), response: make([]byte, len(okClientResponse)),
	}
	for n := range client.requests {
		client.requests[n] = []byte(queryCommand(strconv.Itoa(n), lookupFields))
	}
	return client
}

// send sends a request and reports whether it was rejected, which happens on a busy machine because it looks like an
// overload. The wait until Retry-After has passed is not timed.
func (c *benchmarkClient) send() (rejected bool) {
	if _, err := c.conn.Write(c.requests[c.sent%len(c.requests)]); err != nil {
		c.b.Fatal(err)
	}
	c.sent++
	first, err := c.reader.Peek(1)
	if err != nil || first[0] != '-' {
		return false
	}
	c.b.StopTimer()
	defer c.b.StartTimer()
	line, _ := c.reader.ReadString('\n') // an incomplete line fails to parse below
	retryAfter, err := strconv.Atoi(strings.TrimSpace(strings.TrimPrefix(line, "-BUSY")))
	if err != nil {
		c.b.Fatalf("%q", line)
	}
	time.Sleep(time.Duration(retryAfter) * time.Millisecond)
	return true
}

func (c *benchmarkClient) expectOK() {
	if _, err := io.ReadFull(c.reader, c.response); err != nil || string(c.response) != okClientResponse {
		c.b.Fatalf("unexpected response %q, %v", c.response, err)
	}
}
