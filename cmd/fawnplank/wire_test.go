package main

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"fawnplank/internal/testutil"
)

// The tests with names that end in OnWire run the program as a separate process and compare everything that it receives
// and sends, byte for byte, with the transcripts under testdata/golden. They depend only on the program's settings,
// command line and network protocols. No test writes the transcripts: a different transcript means that a protocol has
// changed.

// goldenFile compares transcripts with those of a file. In the file, a line "== name" precedes each transcript.
type goldenFile struct {
	t    *testing.T
	path string
	want map[string]string
	seen map[string]bool
}

func openGolden(t *testing.T, name string) *goldenFile {
	t.Helper()
	g := &goldenFile{
		t:    t,
		path: filepath.Join("testdata", "golden", name+".txt"),
		want: map[string]string{},
		seen: map[string]bool{},
	}
	text, err := os.ReadFile(g.path)
	if err != nil {
		t.Fatal(err)
	}
	for _, part := range strings.Split("\n"+string(text), "\n== ")[1:] {
		title, body, _ := strings.Cut(part, "\n")
		g.want[title] = strings.TrimRight(body, "\n")
	}
	t.Cleanup(func() {
		t.Helper()
		for title := range g.want {
			if !g.seen[title] && !t.Failed() {
				t.Errorf("%s: no transcript was compared with %q", g.path, title)
			}
		}
	})
	return g
}

func (g *goldenFile) compare(name string, lines ...string) {
	g.t.Helper()
	got := strings.Join(lines, "\n")
	g.seen[name] = true
	g.t.Run(name, func(t *testing.T) {
		if want, ok := g.want[name]; !ok || got != want {
			t.Errorf("%s\ngot:\n%s\nwant:\n%s", g.path, got, want)
		}
	})
}

// transcriptLine returns a line of a transcript: the direction, and the quoted text, in which long runs of the bytes x
// and - are abbreviated.
func transcriptLine(direction, text string) string {
	return direction + " " + longRun.ReplaceAllStringFunc(strconv.Quote(text), func(run string) string {
		return fmt.Sprintf("%s{%d}", run[:1], len(run))
	})
}

var longRun = regexp.MustCompile(`x{64,}|-{64,}`)

const (
	wireTimeout = 10 * time.Second
	wireTenant  = "0000000000000005"
)

// serveConnections listens on a free address, calls serve for each connection, and returns the address.
func serveConnections(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	listener := testutil.Listen(t)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return listener.Addr().String()
}

// wireBackend is a backend that records its requests and answers each with the result of a function. The result "close"
// closes the connection, and an empty result sends nothing.
type wireBackend struct {
	address      string
	mu           sync.Mutex
	requests     []string
	healthChecks chan string
	arrived      chan string
}

func newWireBackend(t *testing.T, answer func(id string) string) *wireBackend {
	t.Helper()
	b := &wireBackend{healthChecks: make(chan string, 1000), arrived: make(chan string, 1000)}
	b.address = serveConnections(t, func(conn net.Conn) {
		defer closeIgnoringError(conn)
		for r := redcon.NewReader(conn); ; {
			cmd, err := r.ReadCommand()
			if err != nil {
				return
			}
			if len(cmd.Args) < 4 {
				b.healthChecks <- string(cmd.Raw)
				send(conn, "+PONG\r\n")
				continue
			}
			b.mu.Lock()
			b.requests = append(b.requests, string(cmd.Raw))
			b.mu.Unlock()
			id := string(cmd.Args[2])
			b.arrived <- id
			text := answer(id)
			if text == "close" {
				return
			}
			send(conn, text)
		}
	})
	return b
}

var remainingTime = regexp.MustCompile(`\$\d+\r\n((?:[^\r]*?,)?d=)\d+`)

// wait waits until a request has arrived.
func (b *wireBackend) wait(t *testing.T) {
	t.Helper()
	select {
	case <-b.arrived:
	case <-time.After(wireTimeout):
		t.Fatal("the backend received no request")
	}
}

// received returns the requests since the last call as lines of a transcript. The remaining time in a request, and the
// length of the word that contains it, are replaced.
func (b *wireBackend) received() (lines []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, raw := range b.requests {
		lines = append(lines, transcriptLine("backend <", remainingTime.ReplaceAllString(raw, "$$<length>\r\n${1}<ms>")))
	}
	b.requests = nil
	return lines
}

// wireGateway is a running gateway process with its addresses.
type wireGateway struct {
	clientAddress, managementAddress, limitsAddress string
	process                                         *exec.Cmd
}

const wireSettings = `{"name":"n0","listen":%q,"mgmt":%q,"discovery":%q,"counter":%q,"seed":"8c1f30d27a5be964",
"limits":{"memory_mb":64,"sockets":256},
"known":{"index":1,"snapshot":true,"endpoints":[%s]},
"settings":{"me":0,"replicas-of-me":2,"zones":["a"],"shapes":["m2"],
"family-info":{"may-count":true,"counter-timeout-ms":200,"max-units":8},
"permissions":{"send-cap":3,"second-copies":false,"probes":true,"retry-after":true,"max-retry-after-ms":900},
"invariants":{"cold-share":0.2,"warm-up-ms":9000,"tip-multiple":2,"fall-ms":1000},
"lanes":[{"name":"lookup","goal-time-ms":750,"deadline-ms":1500,"effect":"read_like"},
{"name":"pay","goal-time-ms":750,"deadline-ms":1500,"effect":"non_idempotent"},
{"name":"order","goal-time-ms":750,"deadline-ms":1500,"effect":"idempotency_key","group":"all","window-ms":60000}],
"tariffs":[{"name":"team","quota-rate":0,"peak-units":0},
{"name":"one","quota-rate":0,"peak-units":0,"parallel":1},
{"name":"metered","quota-rate":5,"peak-units":200,"beyond-earns":1},
{"name":"roof","quota-rate":0,"peak-units":0,"cap-rate":1,"ceiling-burst":2}]}}`

// wireEndpoint returns the endpoint list entry of the only backend.
func wireEndpoint(address string) string {
	const entry = `{"name":"s-1","address":%q,"zone":"a","type":"m2","group":1,"status":"up","weight":1.0,"since_ms":0}`
	return fmt.Sprintf(entry, address)
}

// wireGatewayOptions configure serveWire. Empty addresses are replaced by addresses at which nothing listens. Without
// endpoints, the gateway starts with an empty endpoint list.
type wireGatewayOptions struct {
	discovery, counter string
	endpoints          string
	operator           string   // further text of the operator file, after the key listen of the table limits
	replacements       []string // pairs of old and new texts in the settings
}

// serveWire starts a gateway with wireSettings and waits until it listens.
func serveWire(t *testing.T, options wireGatewayOptions) *wireGateway {
	t.Helper()
	g := &wireGateway{clientAddress: freeAddress(t), managementAddress: freeAddress(t), limitsAddress: freeAddress(t)}
	folder := t.TempDir()
	settings, operator := filepath.Join(folder, "config.json"), filepath.Join(folder, "op.toml")
	text := fmt.Sprintf(wireSettings, g.clientAddress, g.managementAddress, cmp.Or(options.discovery, "127.0.0.1:2"),
		cmp.Or(options.counter, "127.0.0.1:3"), options.endpoints)
	for n := 0; n < len(options.replacements); n += 2 {
		if !strings.Contains(text, options.replacements[n]) {
			t.Fatalf("the settings do not contain %s", options.replacements[n])
		}
		text = strings.Replace(text, options.replacements[n], options.replacements[n+1], 1)
	}
	writeFile(t, settings, text)
	operatorText := fmt.Sprintf("[limits]\nlisten = %q\n", g.limitsAddress) + options.operator
	writeFile(t, operator, strings.ReplaceAll(operatorText, "FOLDER", folder))
	writeFile(t, filepath.Join(folder, "secret"), "0123456789abcdef-secret\n")
	g.process = programCommand(t, "serve", "-c", settings, "--operator", operator)
	g.start(t)
	return g
}

// start starts the process and waits until it listens on the client and management addresses.
func (g *wireGateway) start(t *testing.T) {
	t.Helper()
	log := &bytes.Buffer{}
	g.process.Stderr = log
	if err := g.process.Start(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() {
		_ = g.process.Wait() // reports the kill at the end of the test
		close(ended)
	}()
	t.Cleanup(func() {
		kill(g.process)
		<-ended
	})
	for deadline := time.Now().Add(wireTimeout); !g.listens(t); time.Sleep(5 * time.Millisecond) {
		select {
		case <-ended:
			t.Fatalf("the program exited: %s", log)
		default:
		}
		if time.Now().After(deadline) {
			t.Fatal("the program does not listen")
		}
	}
}

// listens reports whether the gateway accepts connections at the client and management addresses.
func (g *wireGateway) listens(t *testing.T) bool {
	t.Helper()
	for _, address := range []string{g.clientAddress, g.managementAddress} {
		conn, err := tryDial(t, address)
		if err != nil {
			return false
		}
		closeIgnoringError(conn)
	}
	return true
}

func dialWire(t *testing.T, address string) net.Conn {
	t.Helper()
	conn := dial(t, address)
	setDeadline(conn, wireTimeout)
	return conn
}

// readUntil reads until the input ends with the text end or the peer closes the connection. The returned state
// describes which of the two happened. With an empty end it reads until the connection is closed.
func readUntil(t *testing.T, conn net.Conn, end string) (got, state string) {
	t.Helper()
	buf := make([]byte, 64<<10)
	for {
		n, err := conn.Read(buf)
		got += string(buf[:n])
		if end != "" && strings.HasSuffix(got, end) {
			return got, "stays open"
		}
		if errors.Is(err, io.EOF) {
			return got, "closed"
		}
		if err != nil {
			t.Fatalf("%.200q, %v", got, err)
		}
	}
}

// respWords encodes a command in RESP.
func respWords(words ...string) string {
	text := fmt.Sprintf("*%d\r\n", len(words))
	for _, word := range words {
		text += fmt.Sprintf("$%d\r\n%s\r\n", len(word), word)
	}
	return text
}

func wireQuery(id, fields string) string {
	return respWords("SVC.QUERY", wireTenant, id, fields)
}
