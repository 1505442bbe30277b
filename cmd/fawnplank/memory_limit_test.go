package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"fawnplank/internal/testutil"
)

const (
	leastMemoryMB     = 32
	hundredsOfClients = 330
	longValueBytes    = 4 << 20
)

// buildProgram builds the program, whose own pages count as its memory: the test's binary is larger.
func buildProgram(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "fawnplank")
	build := exec.CommandContext(t.Context(), "go", "build", "-buildvcs=false", "-o", path, ".")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return path
}

// startWithMemory starts a gateway with leastMemoryMB and 1,024 sockets for a backend.
func startWithMemory(t *testing.T, program, address, backend string) *exec.Cmd {
	t.Helper()
	file := filepath.Join(t.TempDir(), "config.json")
	text := fmt.Sprintf(configuration, address, "127.0.0.1:2", backend)
	limits := fmt.Sprintf(`"memory_mb":%d,"sockets":1024`, leastMemoryMB)
	writeFile(t, file, strings.Replace(text, `"memory_mb":64,"sockets":128`, limits, 1))
	command := exec.CommandContext(t.Context(), program, "serve", "-c", file)
	log := startWithLog(t, command)
	lines := bufio.NewScanner(log)
	for lines.Scan() && !strings.Contains(lines.Text(), "listening") {
		continue
	}
	go discard(log)
	return command
}

// peakKB returns the most memory that a process has used, in kB.
func peakKB(t *testing.T, pid int) (kb int) {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	_, rest, ok := strings.Cut(string(text), "VmHWM:")
	if _, scanErr := fmt.Sscan(rest, &kb); err != nil || !ok || scanErr != nil {
		t.Fatalf("cannot read the peak memory of the process: %v", err)
	}
	return kb
}

// longRequest returns a request with a value of longValueBytes.
func longRequest(id string) string {
	withoutBody := request(id, requestFields)
	body := strings.Repeat("b", longValueBytes)
	return "*5" + withoutBody[len("*4"):] + fmt.Sprintf("$%d\r\n%s\r\n", longValueBytes, body)
}

// serveValues answers each request with a value of the given size.
func serveValues(t *testing.T, size int) string {
	t.Helper()
	answer := fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", size, strings.Repeat("v", size))
	return testutil.ServeConnections(t, func(conn net.Conn) { go answerRequests(conn, answer) })
}

// answerRequests answers each request on a connection until it ends.
func answerRequests(conn net.Conn, answer string) {
	reader := bufio.NewReader(conn)
	for {
		if err := skipCommand(reader); err != nil {
			return
		}
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
	}
}

// skipCommand reads a command.
func skipCommand(reader *bufio.Reader) error {
	words, err := readLength(reader)
	if err != nil {
		return err
	}
	for range words {
		size, err := readLength(reader)
		if err != nil {
			return err
		}
		if _, err := reader.Discard(size + len("\r\n")); err != nil {
			return err
		}
	}
	return nil
}

// readLength reads a line that holds a type and a length.
func readLength(reader *bufio.Reader) (int, error) {
	line, err := reader.ReadString('\n')
	if err != nil {
		return 0, err
	}
	return strconv.Atoi(strings.TrimRight(line[1:], "\r\n"))
}

// Guards against a process that is killed for its memory: hundreds of clients that stopped in the middle of a request,
// sent heads of very many short fields or many requests at once, or read long answers slowly held more than the whole
// limit. Sound clients are served afterwards at full size.
func TestServe_StaysWithinMemoryLimit(t *testing.T) {
	program := buildProgram(t)
	long := longRequest("1")
	fields := strings.Repeat(",a=1", 15_000)
	for name, input := range map[string]string{
		"stops within 64 KB":     long[:60_000],
		"stops within 4 MB":      long[:len(long)-1],
		"many fields":            request("1", requestFields+fields)[:60_000],
		"many requests":          strings.Repeat(request("1", requestFields+fields[:3500]), 40),
		"reads long answer late": request("1", requestFields),
	} {
		t.Run(name, func(t *testing.T) {
			address := freeAddress(t)
			process := startWithMemory(t, program, address, serveValues(t, longValueBytes))
			var clients sync.WaitGroup
			for n := range hundredsOfClients {
				clients.Go(func() {
					holdConnection(address, strings.ReplaceAll(input, "$1\r\n1\r\n", fmt.Sprintf("$3\r\n%03d\r\n", n)))
				})
			}
			clients.Wait()
			peak := peakKB(t, process.Process.Pid)
			t.Logf("peak memory %d kB", peak)
			if peak > leastMemoryMB<<10 {
				t.Errorf("the process used %d kB, its limit is %d MB", peak, leastMemoryMB)
			}
			conn := dial(t, address)
			send(conn, longRequest("sound"))
			if line, err := bufio.NewReader(conn).ReadString('\n'); line != fmt.Sprintf("$%d\r\n", longValueBytes) {
				t.Errorf("a sound client got %q, error %v", line, err)
			}
		})
	}
}

// Guards against memory that grows without end: one client sends small requests on one connection at full speed, under
// ever new names of tenants.
func TestServe_FloodOfNewTenantsStaysWithinMemoryLimit(t *testing.T) {
	const floodTime = 4 * time.Second
	address := freeAddress(t)
	process := startWithMemory(t, buildProgram(t), address, serveValues(t, 2))
	conn := dial(t, address)
	if err := conn.SetDeadline(time.Now().Add(floodTime)); err != nil {
		t.Fatal(err)
	}
	answers := make(chan int)
	go func() {
		count := 0
		for lines := bufio.NewScanner(conn); lines.Scan(); count++ { // ends at the deadline
			continue
		}
		answers <- count
	}()
	sent := 0
	for ; ; sent++ {
		text := strings.Replace(request(fmt.Sprint(sent), requestFields), "0000000000000005", fmt.Sprintf("%016x", sent), 1)
		if _, err := io.WriteString(conn, text); err != nil {
			break
		}
	}
	peak := peakKB(t, process.Process.Pid)
	t.Logf("%d requests, %d lines of answers, peak memory %d kB", sent, <-answers, peak)
	if peak > leastMemoryMB<<10 {
		t.Errorf("the process used %d kB, its limit is %d MB", peak, leastMemoryMB)
	}
}

// holdConnection sends input on a new connection, reads a little, and holds the connection for some seconds.
func holdConnection(address, input string) {
	const holdTime = 3 * time.Second
	conn, err := (&net.Dialer{Timeout: holdTime}).DialContext(context.Background(), "tcp", address)
	if err != nil {
		return
	}
	defer closeIgnoringError(conn)
	end := time.Now().Add(holdTime)
	// The gateway may refuse the input at any time, which ends the connection.
	_ = conn.SetDeadline(end)
	_, _ = io.WriteString(conn, input)
	for time.Now().Before(end) {
		if _, err := conn.Read(make([]byte, 1<<10)); err != nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}
