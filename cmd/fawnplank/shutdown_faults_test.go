package main

import (
	"bufio"
	"errors"
	"io"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"fawnplank/internal/testutil"
)

const (
	// killDelay is the earliest SIGKILL after SIGTERM: the longest deadline and 0.7 s.
	killDelay = drainDeadlineMs*time.Millisecond + 700*time.Millisecond
	// acceptWindow is how long after SIGTERM new connections may still come.
	acceptWindow = 400 * time.Millisecond
)

// TestShutdown_LeavesNothingUnanswered: what an instance has read by its end is answered, and it ends before
// the earliest SIGKILL, whatever its clients do meanwhile. Its backend never answers.
func TestShutdown_LeavesNothingUnanswered(t *testing.T) {
	for name, test := range map[string]func(t *testing.T, g *drainGateway){
		"connection accepted last":        testShutdownWithLateConnection,
		"busy connection goes on":         testShutdownWithBusyConnection,
		"request behind invalid commands": testShutdownWithInvalidCommands,
		"nothing is read":                 testShutdownWithClientThatNeverReads,
		"more requests than are pending":  testShutdownWithFullPipeline,
		"reloads without pause":           testShutdownBetweenReloads,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			test(t, startDrainGateway(t))
		})
	}
}

// terminate sends SIGTERM and returns when.
func (g *drainGateway) terminate(t *testing.T) time.Time {
	t.Helper()
	sendSignal(t, g.Cmd, syscall.SIGTERM)
	return time.Now()
}

// checkEnded waits for the end of the process, which comes before the earliest SIGKILL.
func (g *drainGateway) checkEnded(t *testing.T, terminated time.Time) {
	t.Helper()
	select {
	case err := <-g.ended:
		if err != nil {
			t.Errorf("it ended with %v", err)
		}
		t.Logf("it ended after %v", time.Since(terminated))
	case <-time.After(time.Until(terminated.Add(killDelay))):
		t.Errorf("it has not ended %v after SIGTERM", killDelay)
	}
}

// checkRejected checks that the next response is an error or a rejection.
func checkRejected(t *testing.T, reader *bufio.Reader) {
	t.Helper()
	if line, err := reader.ReadString('\n'); !strings.HasPrefix(line, "-") {
		t.Errorf("%q, %v", line, err)
	}
}

// testShutdownWithLateConnection: a connection that comes in the last moment in which one may, and sends its
// request a little later, gets its answer, though its deadline ends after that of all others.
func testShutdownWithLateConnection(t *testing.T, g *drainGateway) {
	t.Helper()
	terminated := g.terminate(t)
	time.Sleep(acceptWindow)
	client := dial(t, g.address)
	time.Sleep(170 * time.Millisecond)
	send(client, request("1", drainFields))
	checkRejected(t, bufio.NewReader(client))
	g.checkEnded(t, terminated)
}

// testShutdownWithBusyConnection: a client goes on sending, up to the end, on a connection with an open
// request. Nothing of that is read later than the listener closes.
func testShutdownWithBusyConnection(t *testing.T, g *drainGateway) {
	t.Helper()
	client := dial(t, g.address)
	setDeadline(client, 2*killDelay)
	send(client, request("1", drainFields))
	testutil.Eventually(t, "the attempt is out", func() bool { return g.attempts.Load() == 1 })
	terminated := g.terminate(t)
	time.Sleep(900 * time.Millisecond)
	send(client, request("2", drainFields))
	reader := bufio.NewReader(client)
	checkRejected(t, reader)
	if line, _ := reader.ReadString('\n'); line != "" {
		t.Errorf("the request behind it was read: %q", line)
	}
	if sent := g.attempts.Load(); sent > 1 {
		t.Errorf("%d attempts", sent)
	}
	g.checkEnded(t, terminated)
}

// testShutdownWithInvalidCommands: a request that was read together with many invalid commands is answered.
func testShutdownWithInvalidCommands(t *testing.T, g *drainGateway) {
	t.Helper()
	const invalidCommands = 200
	client := dial(t, g.address)
	setDeadline(client, 2*killDelay)
	send(client, strings.Repeat(respWords("NONE"), invalidCommands)+request("1", drainFields))
	reader := bufio.NewReader(client)
	checkRejected(t, reader) // the first command: all were read
	terminated := g.terminate(t)
	for range invalidCommands {
		checkRejected(t, reader)
	}
	if line, err := reader.ReadString('\n'); !errors.Is(err, io.EOF) {
		t.Errorf("behind the response: %q, %v", line, err)
	}
	g.checkEnded(t, terminated)
}

// testShutdownWithFullPipeline: requests that were read, and wait until others before them are answered, get
// their answers before the end, too.
func testShutdownWithFullPipeline(t *testing.T, g *drainGateway) {
	t.Helper()
	const requests = 40 // more than are pending at once, and read at once
	client := dial(t, g.address)
	setDeadline(client, 2*killDelay)
	text := ""
	for n := range requests {
		text += request(strconv.Itoa(n), drainFields)
	}
	send(client, text)
	testutil.Eventually(t, "attempts are out", func() bool { return g.attempts.Load() > 0 })
	terminated := g.terminate(t)
	reader := bufio.NewReader(client)
	for range requests {
		checkRejected(t, reader)
	}
	g.checkEnded(t, terminated)
}

// testShutdownWithClientThatNeverReads: the end does not wait for a client that reads nothing.
func testShutdownWithClientThatNeverReads(t *testing.T, g *drainGateway) {
	t.Helper()
	client := dial(t, g.address)
	setDeadline(client, 2*killDelay)
	go func() {
		_, _ = io.WriteString(client, strings.Repeat(respWords("PING"), 2_000_000)) // it is cut off in the end
	}()
	time.Sleep(time.Second)
	g.checkEnded(t, g.terminate(t))
}

// testShutdownBetweenReloads: a SIGTERM among reloads that come faster than they are done is not lost.
func testShutdownBetweenReloads(t *testing.T, g *drainGateway) {
	t.Helper()
	replaceByPipe(t, g.file)
	for range 3 * signalBufferSize { // the first reload waits for the pipe, the others for the first
		sendSignal(t, g.Cmd, syscall.SIGHUP)
		time.Sleep(5 * time.Millisecond)
	}
	terminated := g.terminate(t)
	time.Sleep(50 * time.Millisecond)
	pipe, err := os.OpenFile(g.file, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	hangUp(pipe) // the reload reads an empty file, and refuses it
	if err := os.Remove(g.file); err != nil && !errors.Is(err, os.ErrNotExist) {
		t.Error(err)
	}
	g.checkEnded(t, terminated)
}

// replaceByPipe replaces a file by a named pipe, whose reader waits for a writer: a stalled disk.
func replaceByPipe(t *testing.T, file string) {
	t.Helper()
	if err := os.Remove(file); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Mkfifo(file, 0o600); err != nil {
		t.Fatal(err)
	}
}
