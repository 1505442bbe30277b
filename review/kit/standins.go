package kit

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Attempt is a request that has come whole to a backend.
type Attempt struct {
	At      time.Duration // since the case began
	Backend string
	From    string // address of the front door's connection
	ID      string
	Tenant  string
	Fields  string
}

// Answer is what a backend does with an attempt after it has run it.
type Answer struct {
	After time.Duration
	Text  string // what is written
	Reset bool   // the connection is reset after that
}

// OK returns the answer of a backend that serves the request.
func OK(value string) string {
	return fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(value), value)
}

// Backend is a stand-in of a backend: it begins a command once it has come whole, and runs those of a connection in
// order.
type Backend struct {
	Name    string
	Address string
	c       *Case
	run     func(a Attempt) Answer

	mu       sync.Mutex
	attempts []Attempt
}

// NewBackend starts a backend. run says what becomes of an attempt.
func (c *Case) NewBackend(name string, run func(a Attempt) Answer) *Backend {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Must(err, "listen")
	b := &Backend{Name: name, Address: l.Addr().String(), c: c, run: run}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go b.serve(conn)
		}
	}()
	return b
}

func (b *Backend) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		args, err := ReadCommand(reader)
		if err != nil {
			return
		}
		var answer Answer
		switch strings.ToUpper(args[0]) {
		case "PING":
			answer.Text = "+PONG\r\n"
		case "CLIENT", "SELECT":
			answer.Text = "+OK\r\n"
		case "SVC.QUERY", "SVC.SUBMIT":
			a := Attempt{At: b.c.Now(), Backend: b.Name, From: conn.RemoteAddr().String(), Tenant: args[1], ID: args[2], Fields: args[3]}
			b.mu.Lock()
			b.attempts = append(b.attempts, a)
			b.mu.Unlock()
			answer = b.run(a)
			b.c.Log("backend %s ran %s (%s), answers %q after %v", b.Name, a.ID, a.Fields, answer.Text, answer.After)
		default:
			answer.Text = "-ERR unknown command\r\n"
		}
		time.Sleep(answer.After)
		if _, err := io.WriteString(conn, answer.Text); err != nil {
			return
		}
		if answer.Reset {
			_ = conn.(*net.TCPConn).SetLinger(0)
			return
		}
	}
}

// Attempts returns the attempts that have come whole so far.
func (b *Backend) Attempts() []Attempt {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Attempt(nil), b.attempts...)
}

// ReadCommand reads a command: an array of bulk strings.
func ReadCommand(reader *bufio.Reader) ([]string, error) {
	count, err := readLength(reader, '*')
	if err != nil {
		return nil, err
	}
	var args []string
	for range count {
		length, err := readLength(reader, '$')
		if err != nil {
			return nil, err
		}
		data := make([]byte, length+2)
		if _, err := io.ReadFull(reader, data); err != nil {
			return nil, err
		}
		args = append(args, string(data[:length]))
	}
	if len(args) == 0 {
		return nil, errors.New("empty command")
	}
	return args, nil
}

func readLength(reader *bufio.Reader, kind byte) (int, error) {
	line, err := reader.ReadString('\n')
	if err != nil {
		return 0, err
	}
	if line[0] != kind {
		return 0, fmt.Errorf("%q instead of %q", line, kind)
	}
	return strconv.Atoi(strings.TrimSpace(line[1:]))
}

// AppendCommand encodes a command.
func AppendCommand(args ...string) string {
	var text strings.Builder
	fmt.Fprintf(&text, "*%d\r\n", len(args))
	for _, arg := range args {
		fmt.Fprintf(&text, "$%d\r\n%s\r\n", len(arg), arg)
	}
	return text.String()
}

// Client is a client's connection to a front door. It carries one command at a time.
type Client struct {
	c      *Case
	conn   net.Conn
	reader *bufio.Reader
}

// Dial opens a connection to a front door.
func (c *Case) Dial(address string) (*Client, error) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &Client{c: c, conn: conn, reader: bufio.NewReader(conn)}, nil
}

// Close closes the connection.
func (cl *Client) Close() { cl.conn.Close() }

// Ping reports whether the front door answers PING with PONG.
func (cl *Client) Ping() bool {
	answer, err := cl.Do(time.Second, "PING")
	return err == nil && answer == "+PONG"
}

// Do sends a command and returns the answer: its line or, of a bulk string, "$" and the value.
func (cl *Client) Do(limit time.Duration, args ...string) (string, error) {
	_ = cl.conn.SetDeadline(time.Now().Add(limit))
	if _, err := io.WriteString(cl.conn, AppendCommand(args...)); err != nil {
		return "", err
	}
	return readAnswer(cl.reader)
}

func readAnswer(reader *bufio.Reader) (string, error) {
	line, err := reader.ReadString('\n')
	if err != nil {
		return "", err
	}
	line = strings.TrimSpace(line)
	if line == "" {
		return "", errors.New("empty line")
	}
	switch line[0] {
	case '*':
		count, err := strconv.Atoi(line[1:])
		if err != nil {
			return "", err
		}
		var parts []string
		for range count {
			part, err := readAnswer(reader)
			if err != nil {
				return "", err
			}
			parts = append(parts, part)
		}
		return strings.Join(parts, " "), nil
	case '$':
		length, err := strconv.Atoi(line[1:])
		if err != nil || length < 0 {
			return line, err
		}
		data := make([]byte, length+2)
		if _, err := io.ReadFull(reader, data); err != nil {
			return "", err
		}
		return "$" + string(data[:length]), nil
	}
	return line, nil
}

// Endpoint is an entry of discovery's list.
type Endpoint struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMs int64   `json:"since_ms"`
}

// Discovery is a stand-in of discovery, which holds one list.
type Discovery struct {
	Address string
	c       *Case
	mu      sync.Mutex
	index   int
	list    []Endpoint
	changes map[int][]Endpoint // by index
	changed chan struct{}
	Told    map[int]time.Duration // when a change was last written, by index
}

// NewDiscovery starts discovery with the given backends.
func (c *Case) NewDiscovery(backends ...*Backend) *Discovery {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Must(err, "listen")
	d := &Discovery{Address: l.Addr().String(), c: c, index: 1, changed: make(chan struct{}), changes: map[int][]Endpoint{}, Told: map[int]time.Duration{}}
	for _, b := range backends {
		d.list = append(d.list, Endpoint{Name: b.Name, Address: b.Address, Zone: "z0", Type: "m1", Status: "up", Weight: 1})
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/endpoints", d.serve)
	go func() { _ = http.Serve(l, mux) }()
	return d
}

// SetStatus changes the status of a backend.
func (d *Discovery) SetStatus(name, status string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.index++
	for i := range d.list {
		if d.list[i].Name == name {
			d.list[i].Status = status
			d.changes[d.index] = []Endpoint{d.list[i]}
		}
	}
	close(d.changed)
	d.changed = make(chan struct{})
	d.c.Log("discovery: %s is %s (index %d)", name, status, d.index)
}

func (d *Discovery) serve(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.Atoi(r.FormValue("index"))
	isWatch := err == nil
	wait, _ := strconv.Atoi(r.FormValue("wait"))
	timer := time.After(time.Duration(min(wait, 60000)) * time.Millisecond)
	d.mu.Lock()
	for isWatch && d.index <= after {
		changed := d.changed
		d.mu.Unlock()
		select {
		case <-changed:
		case <-timer:
			d.mu.Lock()
			d.write(w, after, false)
			d.mu.Unlock()
			return
		case <-r.Context().Done():
			return
		}
		d.mu.Lock()
	}
	d.write(w, after, !isWatch)
	d.mu.Unlock()
}

// write writes the list or the changes after an index. The caller holds the lock.
func (d *Discovery) write(w http.ResponseWriter, after int, snapshot bool) {
	endpoints := []Endpoint{}
	if snapshot {
		endpoints = d.list
	} else {
		for i := after + 1; i <= d.index; i++ {
			endpoints = append(endpoints, d.changes[i]...)
		}
	}
	body, _ := json.Marshal(map[string]any{"index": d.index, "snapshot": snapshot, "endpoints": endpoints})
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
	d.Told[d.index] = d.c.Now()
	d.c.Log("discovery wrote index %d, snapshot %v, %d entries", d.index, snapshot, len(endpoints))
}

// NewCounter starts a stand-in of the counter and returns its address.
func (c *Case) NewCounter() string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Must(err, "listen")
	type count struct {
		total float64
		until time.Time
	}
	var mu sync.Mutex
	counts := map[string]count{}
	serve := func(conn net.Conn) {
		defer conn.Close()
		reader := bufio.NewReader(conn)
		for {
			line, err := reader.ReadString('\n')
			if err != nil {
				return
			}
			words := strings.Fields(line)
			answer := "error"
			switch {
			case len(words) == 1 && words[0] == "ping":
				answer = "pong"
			case len(words) == 4 && words[0] == "bump":
				amount, errA := strconv.ParseFloat(words[2], 64)
				life, errL := strconv.Atoi(words[3])
				if errA == nil && errL == nil && life >= 1 {
					mu.Lock()
					now := time.Now()
					held := counts[words[1]]
					if now.After(held.until) {
						held = count{until: now.Add(time.Duration(min(life, 60000)) * time.Millisecond)}
					}
					held.total += amount
					counts[words[1]] = held
					mu.Unlock()
					answer = "ok " + strconv.FormatFloat(held.total, 'g', 7, 64)
				}
			}
			if _, err := io.WriteString(conn, answer+"\r\n"); err != nil {
				return
			}
		}
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return l.Addr().String()
}
