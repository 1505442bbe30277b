package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"fawnplank/internal/config"
	"fawnplank/internal/testutil"
)

// TestShutdown_AnswersAndExits checks that the program keeps accepting connections for a while after SIGTERM, answers
// the requests in flight, and exits.
func TestShutdown_AnswersAndExits(t *testing.T) {
	attempts := make(chan net.Conn, 10)
	backend := testutil.ServeCommands(t, func(conn net.Conn) { attempts <- conn })
	address := freeAddress(t)
	file := filepath.Join(t.TempDir(), "config.json")
	writeFile(t, file, fmt.Sprintf(configuration, address, unresponsiveDiscovery(t), backend))
	process := startServing(t, file)

	before := dial(t, address)
	send(before, request("1", requestFields))
	beforeAttempt := <-attempts
	sendSignal(t, process, syscall.SIGTERM)
	time.Sleep(250 * time.Millisecond)
	during := dial(t, address)
	send(during, request("2", requestFields))
	duringAttempt := <-attempts
	time.Sleep(400 * time.Millisecond) // by now the program accepts no new connections
	if conn, err := tryDial(t, address); err == nil {
		closeIgnoringError(conn)
		t.Error("a connection was accepted after the accept window")
	}
	checkAnswered(t, before, beforeAttempt)
	checkAnswered(t, during, duringAttempt)
	start := time.Now()
	if err := process.Wait(); err != nil || time.Since(start) > 3*time.Second {
		t.Errorf("exit: %v after %v", err, time.Since(start))
	}
}

// checkAnswered answers an attempt, and checks that its client receives the answer and then the end of the connection.
func checkAnswered(t *testing.T, client, attempt net.Conn) {
	t.Helper()
	send(attempt, successResponse)
	got, err := io.ReadAll(client) // returns when the program closes the connection
	if string(got) != "$2\r\nok\r\n" || err != nil {
		t.Errorf("%q, %v", got, err)
	}
}

// TestGateway_CloseEndsNetworkClients checks that Close aborts a discovery watch, a counter call and a health check
// that are never answered, instead of waiting for them.
func TestGateway_CloseEndsNetworkClients(t *testing.T) {
	listener := testutil.Listen(t)
	address := listener.Addr().String()
	file := filepath.Join(t.TempDir(), "config.json")
	writeFile(t, file, fmt.Sprintf(configuration, address, address, address))
	g := &gateway{options: gatewayOptions{ConfigFile: file}}
	var err error
	if g.configuration, g.operator, err = g.loadConfiguration(config.Overlay{}); err != nil {
		t.Fatal(err)
	}
	g.resourceLimits = newResourceLimits(g.configuration)
	g.newObservers()
	g.configuration.Counter = address
	g.configuration.ConnectTimeout = time.Minute           // so that no health check times out during the test
	g.configuration.Settings.DrainGrace = 10 * time.Minute // so that no discovery call times out either
	if err := errors.Join(g.startDispatcher(t.Context()), g.loadEndpoints(t.Context())); err != nil {
		t.Fatal(err)
	}
	g.counter.Add(1, 1, time.Second)
	g.pool.SetAddress(1, address)
	g.pool.CheckHealth(1)
	var peers []net.Conn
	for range 3 {
		peer, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { closeIgnoringError(peer) })
		peers = append(peers, peer)
	}
	start := time.Now()
	g.Close()
	if elapsed := time.Since(start); elapsed > time.Second {
		t.Errorf("Close took %v", elapsed)
	}
	t.Logf("Close took %v", time.Since(start))
	for _, peer := range peers {
		if err := peer.SetReadDeadline(time.Now().Add(connectionTimeout)); err != nil {
			t.Error(err)
		}
		if _, err := io.Copy(io.Discard, peer); errors.Is(err, os.ErrDeadlineExceeded) {
			t.Error("a connection was not closed")
		}
	}
}
