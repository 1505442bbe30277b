package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// Crossings in whole processes: signals between two steps, a limit of descriptors that holds, discovery that says nothing.

// doorProcess is a front door's process with its log.
type doorProcess struct {
	*exec.Cmd
	address, file string
	ended         chan error
	mu            sync.Mutex
	log           strings.Builder
}

func (d *doorProcess) Write(b []byte) (int, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.log.Write(b)
}

func (d *doorProcess) logged(text string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return strings.Contains(d.log.String(), text)
}

// startDoor starts a front door before a backend and a discovery, with as many descriptors as its configuration says.
func startDoor(t *testing.T, discovery string, backend net.Addr) *doorProcess {
	t.Helper()
	d := &doorProcess{address: freeAddress(t), file: filepath.Join(t.TempDir(), "config.json"), ended: make(chan error, 1)}
	os.WriteFile(d.file, []byte(fmt.Sprintf(configuration, d.address, discovery, backend)), 0o600)
	d.Cmd = exec.Command("/bin/sh", "-c", `ulimit -n 128; exec "$0" serve -c "$1"`, os.Args[0], d.file)
	d.Env = append(os.Environ(), "FAWNPLANK_AS_MAIN=1", "GORACE=atexit_sleep_ms=0") // the race detector stays a second
	d.Stderr = d
	if err := d.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { d.ended <- d.Wait() }()
	t.Cleanup(func() {
		d.Process.Kill()
		if d.logged("DATA RACE") {
			t.Error(d.log.String())
		}
	})
	return d
}

// ready tells whether the door says PONG.
func (d *doorProcess) ready() bool {
	c, err := net.Dial("tcp", d.address)
	if err != nil {
		return false
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Second))
	io.WriteString(c, "*1\r\n$4\r\nPING\r\n")
	line, _ := bufio.NewReader(c).ReadString('\n')
	return line == "+PONG\r\n"
}

var asked atomic.Int64

// ask sends a request on a connection of its own.
func (d *doorProcess) ask(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", d.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(8 * time.Second))
	fmt.Fprintf(c, "*4\r\n$9\r\nSVC.QUERY\r\n$16\r\n0000000000000005\r\n$8\r\n%08d\r\n$22\r\nc=lookup,t=team,d=1400\r\n", asked.Add(1))
	return c, bufio.NewReader(c)
}

const servedOK = "*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n"

// silence is a discovery that takes every call and answers none.
func silence(t *testing.T) string {
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	t.Cleanup(s.CloseClientConnections)
	return strings.TrimPrefix(s.URL, "http://")
}

// Held already: idle clients fill the descriptors while discovery says nothing: the door keeps its own, no more are open than the limit
// says, and a client with work is served meanwhile.
func TestIdleClientsFillTheDescriptorsWhileDiscoveryIsDown(t *testing.T) {
	d := startDoor(t, silence(t), standIn(t, func(c net.Conn) { io.WriteString(c, servedOK) }))
	until(t, "ready", d.ready)
	for n := range 400 {
		c, err := net.Dial("tcp", d.address)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if n%2 == 0 { // the others say nothing at all
			io.WriteString(c, "*1\r\n$4\r\nPING\r\n")
		}
		if n%20 > 0 {
			continue
		}
		_, r := d.ask(t)
		if line, err := r.ReadString('\n'); line != "$2\r\n" {
			t.Fatalf("with %d idle clients: %q, %v", n, line, err)
		}
		if open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.Process.Pid)); err == nil && len(open) > 128 {
			t.Fatalf("%d descriptors", len(open))
		}
	}
	if d.logged("too many open files") || d.logged("no descriptor") {
		t.Error("the door ran out of descriptors")
	}
}

// Held already: a restarted process is ready within ten seconds, whatever discovery does.
func TestReadyWithDiscoverySilent(t *testing.T) {
	begun := time.Now()
	d := startDoor(t, silence(t), standIn(t, func(net.Conn) {}))
	until(t, "ready", d.ready)
	if took := time.Since(begun); took > 5*time.Second {
		t.Errorf("ready after %v", took)
	}
}

// SIGTERM between two SIGHUPs, and twice: the door answers what it has, on all its connections, and ends once, in time.
// Failure, shown by the race detector (one play in ten to forty): the end read the settings' terms while a reload behind
// the SIGTERM replaced them.
func TestSignalsThatCross(t *testing.T) {
	shots := make(chan net.Conn, 10)
	d := startDoor(t, silence(t), standIn(t, func(c net.Conn) { shots <- c }))
	until(t, "ready", d.ready)
	_, r := d.ask(t)
	shot := <-shots
	for _, s := range []os.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGTERM, syscall.SIGHUP} {
		d.Process.Signal(s)
	}
	until(t, "it is stopping", func() bool { return d.logged("stopping") })
	_, late := d.ask(t) // new connections still come for a while
	other := <-shots
	io.WriteString(other, servedOK)
	io.WriteString(shot, servedOK)
	for _, r := range []*bufio.Reader{r, late} {
		if line, err := r.ReadString('\n'); line != "$2\r\n" {
			t.Errorf("%q, %v", line, err)
		}
	}
	select {
	case err := <-d.ended:
		if err != nil {
			t.Errorf("it ended with %v", err)
		}
	case <-time.After(4 * time.Second):
		t.Error("it has not ended")
	}
}

// Held already: a backend hangs in an answer while the door ends: its request gets its final answer before its time is up, and the
// door ends after it, though a client goes on sending on a connection that it never lets rest.
func TestABackendHangsWhileTheDoorEnds(t *testing.T) {
	hung := make(chan struct{}, 100)
	d := startDoor(t, silence(t), standIn(t, func(c net.Conn) {
		io.WriteString(c, "*3\r\n$2\r\no") // and no more
		hung <- struct{}{}
	}))
	until(t, "ready", d.ready)
	first, r := d.ask(t)
	<-hung
	taken := time.Now()
	d.Process.Signal(syscall.SIGTERM)
	go func() {
		for n := 0; ; n++ {
			if _, err := fmt.Fprintf(first, "*4\r\n$9\r\nSVC.QUERY\r\n$16\r\n0000000000000005\r\n$8\r\n%08d\r\n$22\r\nc=lookup,t=team,d=1400\r\n", asked.Add(1)); err != nil {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
	}()
	if line, err := r.ReadString('\n'); !strings.HasPrefix(line, "-") {
		t.Errorf("%q, %v", line, err)
	} else if took := time.Since(taken); took > 1500*time.Millisecond {
		t.Errorf("answered after %v", took)
	}
	for { // every further one that it took is answered, before the connection ends
		line, err := r.ReadString('\n')
		if err != nil {
			break
		}
		if !strings.HasPrefix(line, "-") {
			t.Errorf("%q", line)
		}
	}
	select {
	case err := <-d.ended:
		if took := time.Since(taken); err != nil || took > 1500*time.Millisecond+700*time.Millisecond {
			t.Errorf("it ended after %v: %v", took, err)
		}
	case <-time.After(5 * time.Second):
		t.Error("it has not ended")
	}
}
