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

// TestMain runs the program itself instead of the tests when a test starts its own binary as the program. The tests
// have a folder of their own for temporary files, since processes that they kill leave some.
func TestMain(m *testing.M) {
	if os.Getenv("FAWNPLANK_AS_MAIN") != "" {
		main()
		return
	}
	os.Exit(runInTemporaryFolder(m))
}

func runInTemporaryFolder(m *testing.M) int {
	folder, err := os.MkdirTemp("", "fawnplank-test-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(folder) }() // what is left has no consequence
	if err := os.Setenv("TMPDIR", folder); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// programCommand returns the program with arguments, not yet started. It is killed at the end of the test.
func programCommand(t *testing.T, args ...string) *exec.Cmd {
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

// startServing starts a gateway with a configuration file and waits until it listens.
func startServing(t *testing.T, file string) *exec.Cmd {
	t.Helper()
	command := programCommand(t, "serve", "-c", file)
	log := startWithLog(t, command)
	lines := bufio.NewScanner(log)
	for lines.Scan() && !strings.Contains(lines.Text(), "listening") {
		continue
	}
	go discard(log)
	return command
}

// configuration is the template of a gateway configuration with one backend. Its parameters are the addresses of the
// client listener, of discovery and of the backend.
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
	successResponse   = "*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n" // the backend's answer
	requestFields     = "c=lookup,t=team,d=1400"
	connectionTimeout = 5 * time.Second // ends a test whose peer does not answer
)

// request returns a request in the client protocol.
func request(id, fields string) string {
	return fmt.Sprintf("*4\r\n$9\r\nSVC.QUERY\r\n$16\r\n0000000000000005\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n",
		len(id), id, len(fields), fields)
}

// gatewayProcess is a gateway process with its log.
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

func (g *gatewayProcess) hasLogged(text string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return strings.Contains(g.log.String(), text)
}

// startGateway starts a gateway for a backend and a discovery service, with the file descriptor limit of its
// configuration.
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
	// By default the race detector delays the exit by a second.
	g.Env = append(os.Environ(), "FAWNPLANK_AS_MAIN=1", "GORACE=atexit_sleep_ms=0")
	g.Stderr = g
	if err := g.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { g.ended <- g.Wait() }()
	t.Cleanup(func() {
		kill(g.Cmd)
		if g.hasLogged("DATA RACE") {
			t.Error(g.log.String())
		}
	})
	return g
}

// isReady reports whether the gateway answers a PING.
func (g *gatewayProcess) isReady(t *testing.T) bool {
	t.Helper()
	conn, err := tryDial(t, g.address)
	if err != nil {
		return false
	}
	defer closeIgnoringError(conn)
	setDeadline(conn, time.Second)
	send(conn, wirePing)
	line, _ := bufio.NewReader(conn).ReadString('\n') // on an error the line is incomplete
	return line == "+PONG\r\n"
}

// lastRequestID is the last id that nextRequest used.
var lastRequestID atomic.Int64

func nextRequest() string {
	return request(fmt.Sprintf("%08d", lastRequestID.Add(1)), requestFields)
}

// request sends a request on a new connection.
func (g *gatewayProcess) request(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn := dial(t, g.address)
	setDeadline(conn, 8*time.Second)
	send(conn, nextRequest())
	return conn, bufio.NewReader(conn)
}

// freeAddress returns an unused address with a random loopback IP. Ports of 127.0.0.1 are taken by outgoing
// connections all the time, so that a program that listens there a moment later can find its port in use.
func freeAddress(t *testing.T) string {
	t.Helper()
	var config net.ListenConfig
	host := fmt.Sprintf("127.%d.%d.%d:0", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250))
	listener, err := config.Listen(t.Context(), "tcp4", host)
	if err != nil {
		t.Fatal(err)
	}
	defer closeIgnoringError(listener)
	return listener.Addr().String()
}

func tryDial(t *testing.T, address string) (net.Conn, error) {
	t.Helper()
	var dialer net.Dialer
	return dialer.DialContext(t.Context(), "tcp", address)
}

// dial connects to an address, with a deadline that ends a test whose peer does not answer.
func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := tryDial(t, address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeIgnoringError(conn) })
	setDeadline(conn, connectionTimeout)
	return conn
}

func setDeadline(conn net.Conn, after time.Duration) {
	_ = conn.SetDeadline(time.Now().Add(after)) // fails on a closed connection, where the next read or write fails too
}

// send writes text. It ignores errors: if the peer has closed the connection, the test's next read or check fails.
func send(conn io.Writer, text string) { _, _ = io.WriteString(conn, text) }

// sendf formats a text and sends it.
func sendf(conn io.Writer, format string, args ...any) { send(conn, fmt.Sprintf(format, args...)) }

// closeIgnoringError closes a resource that the test no longer needs, and that may be closed already.
func closeIgnoringError(closer io.Closer) { _ = closer.Close() }

// discard reads and drops all input.
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

// kill sends SIGKILL to a process, which may have ended already.
func kill(command *exec.Cmd) { _ = command.Process.Kill() }

// runProgram runs the program to its end and returns its standard output and standard error together.
func runProgram(t *testing.T, args ...string) (string, error) {
	t.Helper()
	output, err := programCommand(t, args...).CombinedOutput()
	return string(output), err
}

// serveDiscovery starts a discovery service and returns its address. Calls that are still open when the test ends are
// aborted.
func serveDiscovery(t *testing.T, handle http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(handle)
	t.Cleanup(server.CloseClientConnections)
	return strings.TrimPrefix(server.URL, "http://")
}

// unresponsiveDiscovery starts a discovery service that accepts every call and answers none, and returns its address.
func unresponsiveDiscovery(t *testing.T) string {
	t.Helper()
	return serveDiscovery(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
}
