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
	// minKillDelay is the shortest time from SIGTERM to SIGKILL: the longest deadline plus 0.7 s.
	minKillDelay = drainDeadlineMs*time.Millisecond + 700*time.Millisecond
	// acceptWindow is how long after SIGTERM new connections may still arrive.
	acceptWindow = 400 * time.Millisecond
)

// TestShutdown_AnswersEveryRequestRead checks that an instance answers every request that it has read, and that it
// exits within minKillDelay, whatever its clients send meanwhile. Its backend never answers.
func TestShutdown_AnswersEveryRequestRead(t *testing.T) {
	for name, test := range map[string]func(t *testing.T, g *drainGateway){
		"late connection":         testShutdownWithLateConnection,
		"busy connection":         testShutdownWithBusyConnection,
		"invalid commands":        testShutdownWithInvalidCommands,
		"client that never reads": testShutdownWithClientThatNeverReads,
		"full pipeline":           testShutdownWithFullPipeline,
		"reloads in succession":   testShutdownDuringReloads,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			test(t, startDrainGateway(t))
		})
	}
}

// terminate sends SIGTERM and returns the time of the signal.
func (g *drainGateway) terminate(t *testing.T) time.Time {
	t.Helper()
	sendSignal(t, g.Cmd, syscall.SIGTERM)
	return time.Now()
}

// checkExited waits for the end of the process, and fails the test if it lasts longer than minKillDelay.
func (g *drainGateway) checkExited(t *testing.T, terminated time.Time) {
	t.Helper()
	select {
	case err := <-g.ended:
		if err != nil {
			t.Errorf("the process exited with %v", err)
		}
		t.Logf("the process exited after %v", time.Since(terminated))
	case <-time.After(time.Until(terminated.Add(minKillDelay))):
		t.Errorf("the process is still running %v after SIGTERM", minKillDelay)
	}
}

// checkRejected checks that the next answer is an error or a rejection.
func checkRejected(t *testing.T, reader *bufio.Reader) {
	t.Helper()
	if line, err := reader.ReadString('\n'); !strings.HasPrefix(line, "-") {
		t.Errorf("%q, %v", line, err)
	}
}

// testShutdownWithLateConnection opens a connection at the end of acceptWindow and sends a request a little later. The
// request must be answered, although its deadline ends after those of all other requests.
func testShutdownWithLateConnection(t *testing.T, g *drainGateway) {
	t.Helper()
	terminated := g.terminate(t)
	time.Sleep(acceptWindow)
	client := dial(t, g.address)
	time.Sleep(170 * time.Millisecond)
	send(client, request("1", drainFields))
	checkRejected(t, bufio.NewReader(client))
	g.checkExited(t, terminated)
}

// testShutdownWithBusyConnection sends a further request on a connection with an open request. The gateway must not
// read it, because its listener has closed by then.
func testShutdownWithBusyConnection(t *testing.T, g *drainGateway) {
	t.Helper()
	client := dial(t, g.address)
	setDeadline(client, 2*minKillDelay)
	send(client, request("1", drainFields))
	testutil.Eventually(t, "an attempt at the backend", func() bool { return g.attempts.Load() == 1 })
	terminated := g.terminate(t)
	time.Sleep(900 * time.Millisecond)
	send(client, request("2", drainFields))
	reader := bufio.NewReader(client)
	checkRejected(t, reader)
	if line, _ := reader.ReadString('\n'); line != "" {
		t.Errorf("the following request was read: %q", line)
	}
	if sent := g.attempts.Load(); sent > 1 {
		t.Errorf("%d attempts, want 1", sent)
	}
	g.checkExited(t, terminated)
}

// testShutdownWithInvalidCommands checks that a request that was read together with many invalid commands is answered.
func testShutdownWithInvalidCommands(t *testing.T, g *drainGateway) {
	t.Helper()
	const invalidCommands = 200
	client := dial(t, g.address)
	setDeadline(client, 2*minKillDelay)
	send(client, strings.Repeat(respWords("NONE"), invalidCommands)+request("1", drainFields))
	reader := bufio.NewReader(client)
	checkRejected(t, reader) // the answer to the first command: by now all commands have been read
	terminated := g.terminate(t)
	for range invalidCommands {
		checkRejected(t, reader)
	}
	if line, err := reader.ReadString('\n'); !errors.Is(err, io.EOF) {
		t.Errorf("after the last answer: %q, %v, want EOF", line, err)
	}
	g.checkExited(t, terminated)
}

// testShutdownWithFullPipeline checks that requests that were read, but wait until earlier requests on the connection
// are answered, are also answered before the process exits.
func testShutdownWithFullPipeline(t *testing.T, g *drainGateway) {
	t.Helper()
	const requests = 40 // more than may be pending on a connection, but read together
	client := dial(t, g.address)
	setDeadline(client, 2*minKillDelay)
	text := ""
	for n := range requests {
		text += request(strconv.Itoa(n), drainFields)
	}
	send(client, text)
	testutil.Eventually(t, "attempts at the backend", func() bool { return g.attempts.Load() > 0 })
	terminated := g.terminate(t)
	reader := bufio.NewReader(client)
	for range requests {
		checkRejected(t, reader)
	}
	g.checkExited(t, terminated)
}

// testShutdownWithClientThatNeverReads checks that the exit does not wait for a client that does not read.
func testShutdownWithClientThatNeverReads(t *testing.T, g *drainGateway) {
	t.Helper()
	client := dial(t, g.address)
	setDeadline(client, 2*minKillDelay)
	go func() {
		_, _ = io.WriteString(client, strings.Repeat(respWords("PING"), 2_000_000)) // fails once the gateway exits
	}()
	time.Sleep(time.Second)
	g.checkExited(t, g.terminate(t))
}

// testShutdownDuringReloads checks that a SIGTERM is not lost when reloads are requested faster than they complete.
func testShutdownDuringReloads(t *testing.T, g *drainGateway) {
	t.Helper()
	replaceWithPipe(t, g.file)
	for range 3 * signalBufferSize { // the first reload blocks on the pipe, the others wait for the first
		sendSignal(t, g.Cmd, syscall.SIGHUP)
		time.Sleep(5 * time.Millisecond)
	}
	terminated := g.terminate(t)
	time.Sleep(50 * time.Millisecond)
	pipe, err := os.OpenFile(g.file, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	closeIgnoringError(pipe) // the reload reads an empty file and refuses it
	if err := os.Remove(g.file); err != nil && !errors.Is(err, os.ErrNotExist) {
		t.Error(err)
	}
	g.checkExited(t, terminated)
}

// replaceWithPipe replaces a file with a named pipe, on which a reader blocks as on a stalled disk.
func replaceWithPipe(t *testing.T, file string) {
	t.Helper()
	if err := os.Remove(file); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Mkfifo(file, 0o600); err != nil {
		t.Fatal(err)
	}
}
