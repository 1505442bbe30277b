package main

import (
	"bytes"
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
)

// Tests of the bytes on every wire, against the whole program as a process of its own: what it is sent and what it says
// is compared, byte for byte, with the transcripts under testdata/golden. They know the program by its settings, its
// command line and its wires alone. The transcripts are never written by a test; a change of one is a change of a wire.

// golden compares named transcripts with those of a file, in which "== name" stands above each.
type golden struct {
	t    *testing.T
	file string
	want map[string]string
	seen map[string]bool
}

func openGolden(t *testing.T, name string) *golden {
	t.Helper()
	g := &golden{t: t, file: filepath.Join("testdata", "golden", name+".txt"), want: map[string]string{}, seen: map[string]bool{}}
	text, err := os.ReadFile(g.file)
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
				t.Errorf("%s: %q is compared with nothing", g.file, title)
			}
		}
	})
	return g
}

func (g *golden) compare(name string, lines ...string) {
	g.t.Helper()
	got := strings.Join(lines, "\n")
	g.seen[name] = true
	g.t.Run(name, func(t *testing.T) {
		if want, ok := g.want[name]; !ok || got != want {
			t.Errorf("%s\ngot:\n%s\nwant:\n%s", g.file, got, want)
		}
	})
}

// mark writes bytes as one line of a transcript; long runs of one byte are counted.
func mark(sign string, b string) string {
	return sign + " " + longRun.ReplaceAllStringFunc(strconv.Quote(b), func(run string) string {
		return fmt.Sprintf("%s{%d}", run[:1], len(run))
	})
}

var longRun = regexp.MustCompile(`x{64,}|-{64,}`)

const (
	wireTimeout  = 10 * time.Second
	wireCustomer = "0000000000000005"
)

// wireStandIn listens, and hands on each connection.
func wireStandIn(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l.Addr().String()
}

// wireBackend answers each request by what answer says of it, and keeps the requests. "close" ends the connection, "" says
// nothing.
type wireBackend struct {
	address string
	mu      sync.Mutex
	heard   []string
	probes  chan string
	asked   chan string
}

func newWireBackend(t *testing.T, answer func(id string) string) *wireBackend {
	t.Helper()
	b := &wireBackend{probes: make(chan string, 1000), asked: make(chan string, 1000)}
	b.address = wireStandIn(t, func(c net.Conn) {
		defer c.Close()
		for r := redcon.NewReader(c); ; {
			cmd, err := r.ReadCommand()
			if err != nil {
				return
			}
			if len(cmd.Args) < 4 {
				b.probes <- string(cmd.Raw)
				io.WriteString(c, "+PONG\r\n")
				continue
			}
			b.mu.Lock()
			b.heard = append(b.heard, string(cmd.Raw))
			b.mu.Unlock()
			b.asked <- string(cmd.Args[2])
			switch text := answer(string(cmd.Args[2])); text {
			case "close":
				return
			case "":
			default:
				io.WriteString(c, text)
			}
		}
	})
	return b
}

var remainingTime = regexp.MustCompile(`\$\d+\r\n((?:[^\r]*?,)?d=)\d+`)

// wait waits until a request has come.
func (b *wireBackend) wait(t *testing.T) {
	t.Helper()
	select {
	case <-b.asked:
	case <-time.After(wireTimeout):
		t.Fatal("no request comes to the backend")
	}
}

// take gives what was heard since, as lines; the remaining time, and with it the length of its word, is replaced.
func (b *wireBackend) take() (lines []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, raw := range b.heard {
		lines = append(lines, mark("backend <", remainingTime.ReplaceAllString(raw, "$$<length>\r\n${1}<ms>")))
	}
	b.heard = nil
	return lines
}

// wireGateway is the program, serving.
type wireGateway struct {
	t                    *testing.T
	clients, mgmt, limit string
	process              *exec.Cmd
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

func wireEndpoint(name, address string) string {
	return fmt.Sprintf(`{"name":%q,"address":%q,"zone":"a","type":"m2","group":1,"status":"up","weight":1.0,"since_ms":0}`, name, address)
}

// serveWire starts the program on wireSettings, with pairs of text replaced in them, and waits until it listens.
func serveWire(t *testing.T, discovery, counter, endpoints, operator string, replace ...string) *wireGateway {
	t.Helper()
	g := &wireGateway{t: t, clients: freeAddress(t), mgmt: freeAddress(t), limit: freeAddress(t)}
	folder := t.TempDir()
	file, second := filepath.Join(folder, "config.json"), filepath.Join(folder, "op.toml")
	text := fmt.Sprintf(wireSettings, g.clients, g.mgmt, discovery, counter, endpoints)
	for n := 0; n < len(replace); n += 2 {
		if !strings.Contains(text, replace[n]) {
			t.Fatalf("the settings hold no %s", replace[n])
		}
		text = strings.Replace(text, replace[n], replace[n+1], 1)
	}
	os.WriteFile(file, []byte(text), 0o600)
	os.WriteFile(second, []byte(strings.ReplaceAll(fmt.Sprintf("[limits]\nlisten = %q\n", g.limit)+operator, "FOLDER", folder)), 0o600)
	os.WriteFile(filepath.Join(folder, "secret"), []byte("0123456789abcdef-secret\n"), 0o600)
	g.process = program("serve", "-c", file, "--operator", second)
	log := &bytes.Buffer{}
	g.process.Stderr = log
	if err := g.process.Start(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() { g.process.Wait(); close(ended) }()
	t.Cleanup(func() { g.process.Process.Kill(); <-ended })
	for until := time.Now().Add(wireTimeout); ; time.Sleep(5 * time.Millisecond) {
		if c, err := net.Dial("tcp4", g.clients); err == nil {
			c.Close()
			if c, err = net.Dial("tcp4", g.mgmt); err == nil {
				c.Close()
				return g
			}
		}
		select {
		case <-ended:
			t.Fatalf("the program ended: %s", log)
		default:
		}
		if time.Now().After(until) {
			t.Fatal("the program does not listen")
		}
	}
}

func dialWire(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(wireTimeout))
	return c
}

// readUntil reads until what came ends with the text, or the other side closes the connection; the line says which.
func readUntil(t *testing.T, c net.Conn, end string) (got, state string) {
	t.Helper()
	buf := make([]byte, 64<<10)
	for {
		n, err := c.Read(buf)
		got += string(buf[:n])
		if end != "" && strings.HasSuffix(got, end) {
			return got, "stays open"
		}
		if err == io.EOF {
			return got, "closed"
		}
		if err != nil {
			t.Fatalf("%.200q, %v", got, err)
		}
	}
}

func respWords(all ...string) string {
	text := fmt.Sprintf("*%d\r\n", len(all))
	for _, w := range all {
		text += fmt.Sprintf("$%d\r\n%s\r\n", len(w), w)
	}
	return text
}

func wireQuery(id, fields string) string {
	return respWords("SVC.QUERY", wireCustomer, id, fields)
}
