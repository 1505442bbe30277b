package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"fawnplank/internal/testutil"
)

// The tests in this file cover race conditions in whole processes: signals that arrive between two steps, a file
// descriptor limit that is reached, and an unresponsive discovery service.

// TestGateway_IdleClientsLeaveDescriptorsFree connects more idle clients than there are file descriptors while
// discovery is unresponsive. The gateway must keep the descriptors that it needs itself, stay within the limit, and
// still serve a client with a request.
func TestGateway_IdleClientsLeaveDescriptorsFree(t *testing.T) {
	backend := testutil.ServeCommands(t, func(conn net.Conn) { send(conn, successResponse) })
	g := startGateway(t, unresponsiveDiscovery(t), backend)
	testutil.Eventually(t, "ready", func() bool { return g.isReady(t) })
	for n := range 400 {
		conn, err := tryDial(t, g.address)
		if err != nil {
			t.Fatal(err)
		}
		defer closeIgnoringError(conn)
		if n%2 == 0 { // the other clients send nothing
			send(conn, wirePing)
		}
		if n%20 > 0 {
			continue
		}
		_, reader := g.request(t)
		if line, err := reader.ReadString('\n'); line != "$2\r\n" {
			t.Fatalf("with %d idle clients: %q, %v", n, line, err)
		}
		if open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", g.Process.Pid)); err == nil && len(open) > 128 {
			t.Fatalf("%d descriptors are open", len(open))
		}
	}
	if g.hasLogged("too many open files") || g.hasLogged("no descriptor") ||
		g.hasLogged("connection limit of this gateway") {
		t.Error("the gateway ran out of descriptors")
	}
}

// TestGateway_IsReadyWithUnresponsiveDiscovery checks that a restarted process does not wait for discovery, but is
// ready within five seconds.
func TestGateway_IsReadyWithUnresponsiveDiscovery(t *testing.T) {
	start := time.Now()
	g := startGateway(t, unresponsiveDiscovery(t), testutil.ServeCommands(t, func(net.Conn) {}))
	testutil.Eventually(t, "ready", func() bool { return g.isReady(t) })
	if elapsed := time.Since(start); elapsed > 5*time.Second {
		t.Errorf("ready after %v", elapsed)
	}
}

// TestShutdown_RacingSignalsEndItOnce sends SIGTERM several times and between two SIGHUPs. The gateway must answer the
// requests in flight on all its connections, and exit once, in time. The test guards against a data race that the race
// detector reported in one of ten to forty runs: the shutdown read the settings while a reload after the SIGTERM
// replaced them.
func TestShutdown_RacingSignalsEndItOnce(t *testing.T) {
	attempts := make(chan net.Conn, 10)
	g := startGateway(t, unresponsiveDiscovery(t), testutil.ServeCommands(t, func(conn net.Conn) { attempts <- conn }))
	testutil.Eventually(t, "ready", func() bool { return g.isReady(t) })
	_, reader := g.request(t)
	attempt := <-attempts
	for _, signal := range []os.Signal{
		syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGTERM, syscall.SIGHUP,
	} {
		sendSignal(t, g.Cmd, signal)
	}
	testutil.Eventually(t, "the log entry of the shutdown", func() bool { return g.hasLogged("stopping") })
	_, lateReader := g.request(t) // new connections are still accepted for a while
	lateAttempt := <-attempts
	send(lateAttempt, successResponse)
	send(attempt, successResponse)
	for _, reader := range []*bufio.Reader{reader, lateReader} {
		if line, err := reader.ReadString('\n'); line != "$2\r\n" {
			t.Errorf("%q, %v", line, err)
		}
	}
	select {
	case err := <-g.ended:
		if err != nil {
			t.Errorf("the gateway exited with %v", err)
		}
	case <-time.After(4 * time.Second):
		t.Error("the gateway did not exit")
	}
}

// TestShutdown_HungBackendDoesNotDelayIt shuts the gateway down while a backend hangs in the middle of an answer. The
// request must get its final answer before its deadline, and the gateway must exit soon after that, although a client
// keeps sending requests on its connection.
func TestShutdown_HungBackendDoesNotDelayIt(t *testing.T) {
	const deadline = 1500 * time.Millisecond
	hung := make(chan struct{}, 100)
	g := startGateway(t, unresponsiveDiscovery(t), testutil.ServeCommands(t, func(conn net.Conn) {
		send(conn, "*3\r\n$2\r\no") // the answer stays incomplete
		hung <- struct{}{}
	}))
	testutil.Eventually(t, "ready", func() bool { return g.isReady(t) })
	conn, reader := g.request(t)
	<-hung
	start := time.Now()
	sendSignal(t, g.Cmd, syscall.SIGTERM)
	go sendRequests(conn)
	if line, err := reader.ReadString('\n'); !strings.HasPrefix(line, "-") {
		t.Errorf("%q, %v", line, err)
	} else if elapsed := time.Since(start); elapsed > deadline {
		t.Errorf("the request was answered only after %v", elapsed)
	}
	for { // every further request that the gateway has read is answered before the connection ends
		line, err := reader.ReadString('\n')
		if err != nil {
			break
		}
		if !strings.HasPrefix(line, "-") {
			t.Errorf("%q", line)
		}
	}
	select {
	case err := <-g.ended:
		if elapsed := time.Since(start); err != nil || elapsed > deadline+700*time.Millisecond {
			t.Errorf("the gateway exited after %v: %v", elapsed, err)
		}
	case <-time.After(5 * time.Second):
		t.Error("the gateway did not exit")
	}
}

// sendRequests sends a request every ten milliseconds until the connection ends.
func sendRequests(conn net.Conn) {
	for {
		if _, err := conn.Write([]byte(nextRequest())); err != nil {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}
