package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// TestMain lets the test's own binary be the program.
func TestMain(m *testing.M) {
	if os.Getenv("FAWNPLANK_AS_MAIN") != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// program is the program with arguments, not started yet. It is killed at the end of the test.
func program(t *testing.T, args ...string) *exec.Cmd {
	t.Helper()
	command := exec.CommandContext(t.Context(), os.Args[0], args...)
	command.Env = append(os.Environ(), "FAWNPLANK_AS_MAIN=1")
	return command
}

// startWithLog starts a process, which is killed at the end of the test, and returns its log.
func startWithLog(t *testing.T, process *exec.Cmd) io.Reader {
	t.Helper()
	log, err := process.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := process.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { kill(process) })
	return log
}

// startServing starts a gateway on a configuration and waits until it listens.
func startServing(t *testing.T, file string) *exec.Cmd {
	t.Helper()
	command := program(t, "serve", "-c", file)
	log := startWithLog(t, command)
	lines := bufio.NewScanner(log)
	for lines.Scan() && !strings.Contains(lines.Text(), "listening") {
		continue
	}
	go discard(log)
	return command
}

// configuration is the settings of a gateway with one backend: the addresses of clients, discovery and the
// backend stand to be filled in.
const configuration = `{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
	"limits":{"memory_mb":64,"sockets":128},
	"known":{"index":1,"snapshot":true,"endpoints":[{"name":"s-1","address":%q,"zone":"a","type":"m2","group":1,
	"status":"up","weight":1.0,"since_ms":0}]},
	"settings":{"me":0,"replicas-of-me":1,"zones":["a"],"shapes":["m2"],
	"permissions":{"send-cap":3,"second-copies":true},
	"invariants":{"cold-share":0.2,"warm-up-ms":9000,"tip-multiple":2,"fall-ms":1000},
	"lanes":[{"name":"lookup","goal-time-ms":750,"deadline-ms":1500,"effect":"read_like"}],
	"tariffs":[{"name":"team","quota-rate":0,"peak-units":0}]}}`

const (
	successResponse   = "*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n" // of a backend
	requestFields     = "c=lookup,t=team,d=1400"
	connectionTimeout = 5 * time.Second // bounds a test that fails
)

// request is a command in the clients' protocol.
func request(id, fields string) string {
	return fmt.Sprintf("*4\r\n$9\r\nSVC.QUERY\r\n$16\r\n0000000000000005\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n",
		len(id), id, len(fields), fields)
}

// gatewayProcess is a gateway's process with its log.
type gatewayProcess struct {
	*exec.Cmd
	address, file string
	ended         chan error
	mu            sync.Mutex
	log           strings.Builder
}

func (g *gatewayProcess) Write(text []byte) (int, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.log.Write(text)
}

func (g *gatewayProcess) logged(text string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return strings.Contains(g.log.String(), text)
}

// startGateway starts a gateway before a backend and a discovery service, with as many descriptors as its
// configuration says.
func startGateway(t *testing.T, discovery string, backend net.Addr) *gatewayProcess {
	t.Helper()
	g := &gatewayProcess{
		address: freeAddress(t),
		file:    filepath.Join(t.TempDir(), "config.json"),
		ended:   make(chan error, 1),
	}
	writeFile(t, g.file, fmt.Sprintf(configuration, g.address, discovery, backend))
	const script = `ulimit -n 128; exec "$0" serve -c "$1"`
	g.Cmd = exec.CommandContext(t.Context(), "/bin/sh", "-c", script, os.Args[0], g.file)
	// The race detector stays a second at the end otherwise.
	g.Env = append(os.Environ(), "FAWNPLANK_AS_MAIN=1", "GORACE=atexit_sleep_ms=0")
	g.Stderr = g
	if err := g.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { g.ended <- g.Wait() }()
	t.Cleanup(func() {
		kill(g.Cmd)
		if g.logged("DATA RACE") {
			t.Error(g.log.String())
		}
	})
	return g
}

// ready reports whether the gateway answers a PING.
func (g *gatewayProcess) ready(t *testing.T) bool {
	t.Helper()
	conn, err := tryDial(t, g.address)
	if err != nil {
		return false
	}
	defer hangUp(conn)
	setDeadline(conn, time.Second)
	send(conn, wirePing)
	line, _ := bufio.NewReader(conn).ReadString('\n') // an error shows in the line
	return line == "+PONG\r\n"
}

// requestCount makes the ids of requests unique.
var requestCount atomic.Int64

func nextRequest() string {
	return request(fmt.Sprintf("%08d", requestCount.Add(1)), requestFields)
}

// request sends a request on a connection of its own.
func (g *gatewayProcess) request(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn := dial(t, g.address)
	setDeadline(conn, 8*time.Second)
	send(conn, nextRequest())
	return conn, bufio.NewReader(conn)
}

// freeAddress returns an address that nothing listens at, on a loopback address of its own: the ports of
// 127.0.0.1 are used by connections at any moment, so that a program that listens a moment later finds some
// of them taken.
func freeAddress(t *testing.T) string {
	t.Helper()
	var config net.ListenConfig
	host := fmt.Sprintf("127.%d.%d.%d:0", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250))
	listener, err := config.Listen(t.Context(), "tcp4", host)
	if err != nil {
		t.Fatal(err)
	}
	defer hangUp(listener)
	return listener.Addr().String()
}

func tryDial(t *testing.T, address string) (net.Conn, error) {
	t.Helper()
	var dialer net.Dialer
	return dialer.DialContext(t.Context(), "tcp", address)
}

// dial connects, with a deadline that bounds a test that fails.
func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := tryDial(t, address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { hangUp(conn) })
	setDeadline(conn, connectionTimeout)
	return conn
}

func setDeadline(conn net.Conn, after time.Duration) {
	_ = conn.SetDeadline(time.Now().Add(after)) // fails on a closed connection, as what follows does
}

// send writes text. A peer that has closed the connection shows in what the test reads, or counts, next.
func send(conn io.Writer, text string) { _, _ = io.WriteString(conn, text) }

// sendf is send of a formatted text.
func sendf(conn io.Writer, format string, args ...any) { send(conn, fmt.Sprintf(format, args...)) }

// hangUp closes what the test is done with. It may be closed already.
func hangUp(closer io.Closer) { _ = closer.Close() }

// discard reads to the end.
func discard(reader io.Reader) {
	_, _ = io.Copy(io.Discard, reader) // ends with the process or the connection
}

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

func readFile(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func sendSignal(t *testing.T, command *exec.Cmd, signal os.Signal) {
	t.Helper()
	if err := command.Process.Signal(signal); err != nil {
		t.Errorf("%v: %v", signal, err)
	}
}

// kill ends a process outright. It may have ended already.
func kill(command *exec.Cmd) { _ = command.Process.Kill() }

// runProgram runs the program to its end and returns what it printed on both outputs.
func runProgram(t *testing.T, args ...string) (string, error) {
	t.Helper()
	output, err := program(t, args...).CombinedOutput()
	return string(output), err
}

// serveDiscovery starts a discovery service and returns its address. Calls that are still open when the test
// ends are cut off.
func serveDiscovery(t *testing.T, handle http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(handle)
	t.Cleanup(server.CloseClientConnections)
	return strings.TrimPrefix(server.URL, "http://")
}

// silentDiscovery is the address of a discovery service that accepts every call and answers none.
func silentDiscovery(t *testing.T) string {
	t.Helper()
	return serveDiscovery(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
}
