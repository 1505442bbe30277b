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

// Races in whole processes: signals between two steps, a limit of descriptors that is reached, discovery that
// is silent.

// While discovery is silent, more idle clients connect than there are descriptors: the gateway keeps those
// that it needs itself, no more are open than the limit says, and a client with a request is still served.
func TestGateway_IdleClientsLeaveDescriptorsFree(t *testing.T) {
	backend := testutil.ServeCommands(t, func(conn net.Conn) { send(conn, successResponse) })
	g := startGateway(t, silentDiscovery(t), backend)
	testutil.Eventually(t, "ready", func() bool { return g.ready(t) })
	for n := range 400 {
		conn, err := tryDial(t, g.address)
		if err != nil {
			t.Fatal(err)
		}
		defer hangUp(conn)
		if n%2 == 0 { // the others send nothing at all
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
			t.Fatalf("%d descriptors", len(open))
		}
	}
	if g.logged("too many open files") || g.logged("no descriptor") || g.logged("connection limit of this gateway") {
		t.Error("the gateway ran out of descriptors")
	}
}

// A restarted process does not wait for discovery: it is ready within five seconds.
func TestGateway_IsReadyWithSilentDiscovery(t *testing.T) {
	start := time.Now()
	g := startGateway(t, silentDiscovery(t), testutil.ServeCommands(t, func(net.Conn) {}))
	testutil.Eventually(t, "ready", func() bool { return g.ready(t) })
	if elapsed := time.Since(start); elapsed > 5*time.Second {
		t.Errorf("ready after %v", elapsed)
	}
}

// SIGTERM between two SIGHUPs, and twice: the gateway answers the requests in flight, on all its connections,
// and ends once, in time. It guards against a fault that the race detector showed in one run of ten to forty:
// the shutdown read the settings while a reload after the SIGTERM replaced them.
func TestShutdown_RacingSignalsEndItOnce(t *testing.T) {
	attempts := make(chan net.Conn, 10)
	g := startGateway(t, silentDiscovery(t), testutil.ServeCommands(t, func(conn net.Conn) { attempts <- conn }))
	testutil.Eventually(t, "ready", func() bool { return g.ready(t) })
	_, reader := g.request(t)
	attempt := <-attempts
	for _, signal := range []os.Signal{
		syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGTERM, syscall.SIGHUP,
	} {
		sendSignal(t, g.Cmd, signal)
	}
	testutil.Eventually(t, "it is stopping", func() bool { return g.logged("stopping") })
	_, late := g.request(t) // new connections still come for a while
	other := <-attempts
	send(other, successResponse)
	send(attempt, successResponse)
	for _, reader := range []*bufio.Reader{reader, late} {
		if line, err := reader.ReadString('\n'); line != "$2\r\n" {
			t.Errorf("%q, %v", line, err)
		}
	}
	select {
	case err := <-g.ended:
		if err != nil {
			t.Errorf("it ended with %v", err)
		}
	case <-time.After(4 * time.Second):
		t.Error("it has not ended")
	}
}

// A backend hangs in an answer while the gateway shuts down: its request gets its final answer before its
// deadline, and the gateway ends soon after that, though a client goes on sending on a connection that it
// never leaves idle.
func TestShutdown_HungBackendDoesNotDelayIt(t *testing.T) {
	const deadline = 1500 * time.Millisecond
	hung := make(chan struct{}, 100)
	g := startGateway(t, silentDiscovery(t), testutil.ServeCommands(t, func(conn net.Conn) {
		send(conn, "*3\r\n$2\r\no") // and no more
		hung <- struct{}{}
	}))
	testutil.Eventually(t, "ready", func() bool { return g.ready(t) })
	conn, reader := g.request(t)
	<-hung
	start := time.Now()
	sendSignal(t, g.Cmd, syscall.SIGTERM)
	go sendRequests(conn)
	if line, err := reader.ReadString('\n'); !strings.HasPrefix(line, "-") {
		t.Errorf("%q, %v", line, err)
	} else if elapsed := time.Since(start); elapsed > deadline {
		t.Errorf("answered after %v", elapsed)
	}
	for { // every further request that it received is answered, before the connection ends
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
			t.Errorf("it ended after %v: %v", elapsed, err)
		}
	case <-time.After(5 * time.Second):
		t.Error("it has not ended")
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
