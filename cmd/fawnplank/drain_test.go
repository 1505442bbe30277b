package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"fawnplank/internal/testutil"
)

const (
	// drainLimit is the time after a drain call by which every client connection must have ended. The margin
	// allows for the test's own calls on a busy machine.
	drainLimit       = 4 * time.Second
	drainLimitMargin = 300 * time.Millisecond
	// drainDeadlineMs is the deadline of the class in these tests. No other time limit of a drain is longer.
	drainDeadlineMs = 3000
	drainFields     = "c=lookup,t=team,d=3000"
)

// drainGateway is a gateway process with a management address.
type drainGateway struct {
	*gatewayProcess
	management string
	attempts   atomic.Int64 // attempts that the backend has received completely
}

// startDrainGateway starts a gateway, with additional environment variables, for a backend that never answers.
func startDrainGateway(t *testing.T, environment ...string) *drainGateway {
	t.Helper()
	var g *drainGateway
	backend := testutil.ServeCommands(t, func(net.Conn) { g.attempts.Add(1) })
	g = newDrainGateway(t, backend, drainDeadlineMs)
	g.start(t, environment...)
	return g
}

// dialForDrain opens a client connection whose deadline is well after the end of a drain.
func (g *drainGateway) dialForDrain(t *testing.T) net.Conn {
	t.Helper()
	client := dial(t, g.address)
	setDeadline(client, 2*drainLimit)
	return client
}

// newDrainGateway writes the configuration of a gateway, and returns the gateway without starting it.
func newDrainGateway(t *testing.T, backend net.Addr, deadlineMs int) *drainGateway {
	t.Helper()
	g := &drainGateway{management: freeAddress(t)}
	g.gatewayProcess = &gatewayProcess{
		address: freeAddress(t),
		file:    filepath.Join(t.TempDir(), "config.json"),
		ended:   make(chan error, 1),
	}
	text := fmt.Sprintf(configuration, g.address, unresponsiveDiscovery(t), backend)
	text = strings.Replace(text, `"name":"n0"`, fmt.Sprintf(`"name":"n0","mgmt":%q`, g.management), 1)
	text = strings.Replace(text, `"deadline-ms":1500`, fmt.Sprintf(`"deadline-ms":%d`, deadlineMs), 1)
	writeFile(t, g.file, text)
	return g
}

// start starts the process and waits until the gateway is ready.
func (g *drainGateway) start(t *testing.T, environment ...string) {
	t.Helper()
	g.Cmd = exec.CommandContext(t.Context(), os.Args[0], "serve", "-c", g.file)
	g.Env = append(append(os.Environ(), "FAWNPLANK_AS_MAIN=1", "GORACE=atexit_sleep_ms=0"), environment...)
	g.Stderr = g.gatewayProcess
	if err := g.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { g.ended <- g.Wait() }()
	t.Cleanup(func() { kill(g.Cmd) })
	testutil.Eventually(t, "ready", func() bool { return g.isReady(t) })
}

// call calls the management address and returns the answer's body.
func (g *drainGateway) call(t *testing.T, method, path string) string {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, "http://"+g.management+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatalf("%s: %v", path, err)
	}
	defer closeIgnoringError(response.Body)
	body, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		t.Errorf("%s: %s, %v", path, response.Status, err)
	}
	return string(body)
}

var clientConnections = regexp.MustCompile(`(?m)^gw_client_connections (\d+)$`)

// connections returns the number of open client connections according to the gateway's metrics.
func (g *drainGateway) connections(t *testing.T) int {
	t.Helper()
	found := clientConnections.FindStringSubmatch(g.call(t, http.MethodGet, "/admin/stats"))
	if found == nil {
		t.Fatal("the metrics lack gw_client_connections")
	}
	count, err := strconv.Atoi(found[1])
	if err != nil {
		t.Fatal(err)
	}
	return count
}

// checkDrained waits until the gateway holds no client connection, and fails the test if one is still open shortly
// before drainLimit.
func (g *drainGateway) checkDrained(t *testing.T, began time.Time) {
	t.Helper()
	for g.connections(t) > 0 {
		if age := time.Since(began); age > drainLimit-drainLimitMargin {
			t.Fatalf("%d connections are still open %v after the drain began", g.connections(t), age)
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Logf("the last connection ended after %v", time.Since(began))
}

// drain starts a drain and returns when it began.
func (g *drainGateway) drain(t *testing.T) time.Time {
	t.Helper()
	g.call(t, http.MethodPost, "/admin/quiesce")
	return time.Now()
}

// TestDrain_EndsEveryConnection checks that an instance holds no connection 4 s after a drain began, whatever its
// clients send meanwhile, and also if the wall clock is stepped.
func TestDrain_EndsEveryConnection(t *testing.T) {
	for name, test := range map[string]func(t *testing.T){
		"wall clock an hour back":    func(t *testing.T) { t.Helper(); testDrainWithClockStep(t, -time.Hour) },
		"wall clock an hour forward": func(t *testing.T) { t.Helper(); testDrainWithClockStep(t, time.Hour) },
		"invalid commands":           testDrainWithInvalidCommands,
		"incomplete commands":        testDrainWithIncompleteCommands,
		"client that never reads":    testDrainWithClientThatNeverReads,
		"busy connection":            testDrainWithBusyConnection,
		"new clients":                testDrainWithNewClients,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			test(t)
		})
	}
}

func testDrainWithClockStep(t *testing.T, step time.Duration) {
	t.Helper()
	clock := newWallClock(t)
	g := startDrainGateway(t, clock.environment()...)
	idle := dial(t, g.address)
	send(idle, wirePing)
	began := g.drain(t)
	clock.set(t, step)
	served := time.Now()
	if _, err := io.ReadAll(idle); err != nil {
		t.Errorf("the idle connection did not end: %v", err)
	}
	if open := time.Since(served); open < time.Second/2 {
		t.Errorf("the idle connection was ended after only %v", open)
	}
	g.checkDrained(t, began)
	g.call(t, http.MethodPost, "/admin/resume")
	steppedTime := time.Now().Add(step).UTC().Format(`time="2006-01-02T15`)
	testutil.Eventually(t, "a log entry with the stepped time", func() bool {
		return g.hasLogged(steppedTime)
	})
}

// testDrainWithInvalidCommands drains while a client sends invalid commands. The reader pauses after each invalid
// command, and it reads many of them at once.
func testDrainWithInvalidCommands(t *testing.T) {
	t.Helper()
	g := startDrainGateway(t)
	client := g.dialForDrain(t)
	go discard(client)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			if _, err := io.WriteString(client, strings.Repeat(respWords("NONE"), 300)); err != nil {
				return
			}
			time.Sleep(5 * time.Millisecond)
		}
	}()
	time.Sleep(500 * time.Millisecond)
	g.checkDrained(t, g.drain(t))
	closeIgnoringError(client)
	<-ended
}

// testDrainWithIncompleteCommands drains while one client has stopped in the middle of a request, a second one sends a
// request byte by byte, and a third one sends a large value slowly.
func testDrainWithIncompleteCommands(t *testing.T) {
	t.Helper()
	g := startDrainGateway(t)
	completeRequest := request("1", drainFields)
	stoppedClient := dial(t, g.address)
	send(stoppedClient, completeRequest[:len(completeRequest)-5])
	largeRequest := "*5\r\n$9\r\nSVC.QUERY\r\n$16\r\n0000000000000005\r\n$1\r\n2\r\n$22\r\n" + drainFields +
		"\r\n$200000\r\n" + strings.Repeat("x", 8000)
	for _, text := range []string{completeRequest[:len(completeRequest)-1], largeRequest} {
		client := dial(t, g.address)
		go func() {
			for n := range len(text) {
				if _, err := io.WriteString(client, text[n:n+1]); err != nil {
					return
				}
				time.Sleep(time.Millisecond)
			}
		}()
	}
	time.Sleep(300 * time.Millisecond)
	g.checkDrained(t, g.drain(t))
}

// testDrainWithClientThatNeverReads drains while the gateway's writes block on a client that does not read.
func testDrainWithClientThatNeverReads(t *testing.T) {
	t.Helper()
	g := startDrainGateway(t)
	client := g.dialForDrain(t)
	go func() {
		// The write fails when the gateway closes the connection.
		_, _ = io.WriteString(client, strings.Repeat(respWords("PING"), 2_000_000))
	}()
	time.Sleep(time.Second)
	g.checkDrained(t, g.drain(t))
}

// testDrainWithBusyConnection drains while a client sends further requests on a connection with an open request. The
// gateway must not read them once the drain ends connections: each would keep the connection open for another deadline.
func testDrainWithBusyConnection(t *testing.T) {
	t.Helper()
	g := startDrainGateway(t)
	client := g.dialForDrain(t)
	send(client, request("1", drainFields))
	testutil.Eventually(t, "an attempt at the backend", func() bool { return g.attempts.Load() == 1 })
	began := g.drain(t)
	time.Sleep(1600 * time.Millisecond) // by now the drain has ended idle connections
	send(client, request("2", drainFields))
	reader := bufio.NewReader(client)
	if line, err := reader.ReadString('\n'); !strings.HasPrefix(line, "-") {
		t.Errorf("the open request: %q, %v", line, err)
	}
	if line, _ := reader.ReadString('\n'); line != "" {
		t.Errorf("the following request was read: %q", line)
	}
	g.checkDrained(t, began)
}

// testDrainWithNewClients drains while new clients keep connecting, each with a request that the backend does not
// answer. A request sent in the last 2 s before drainLimit must not keep its connection open.
func testDrainWithNewClients(t *testing.T) {
	t.Helper()
	g := startDrainGateway(t)
	began := g.drain(t)
	holdTimes := make(chan time.Duration)
	clients := 0
	for time.Since(began) < drainLimit-drainLimitMargin {
		client := dial(t, g.address)
		clients++
		sent := time.Now()
		send(client, request(strconv.Itoa(clients), drainFields))
		go func() {
			_, _ = io.Copy(io.Discard, client) // returns when the connection ends
			if sent.Sub(began) < drainLimit-2*time.Second {
				holdTimes <- 0
				return
			}
			holdTimes <- time.Since(sent)
		}()
		time.Sleep(30 * time.Millisecond)
	}
	for range clients {
		if duration := <-holdTimes; duration > drainLimitMargin {
			t.Errorf("a request sent in the last 2 s kept its connection open for %v", duration)
		}
	}
}
