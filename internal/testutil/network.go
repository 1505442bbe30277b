package testutil

import (
	"net"
	"testing"
	"time"

	"github.com/tidwall/redcon"
)

// eventuallyTimeout is how long Eventually waits. It bounds a test that fails; one that passes never reaches
// it.
const eventuallyTimeout = 20 * time.Second

// Eventually polls condition until it holds and fails the test, naming what was waited for, if it never does.
func Eventually(tb testing.TB, description string, condition func() bool) {
	tb.Helper()
	for deadline := time.Now().Add(eventuallyTimeout); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			tb.Fatalf("not within %v: %s", eventuallyTimeout, description)
		}
	}
}

// Listen opens a TCP listener on a free loopback port and closes it when the test ends.
func Listen(tb testing.TB) net.Listener {
	tb.Helper()
	var config net.ListenConfig
	listener, err := config.Listen(tb.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() {
		_ = listener.Close() // the test may have closed it already
	})
	return listener
}

// FreeAddress returns a loopback address that nothing listens at. It is free when the call returns; a program
// under test that listens there a moment later can, rarely, find it taken.
func FreeAddress(tb testing.TB) string {
	tb.Helper()
	listener := Listen(tb)
	address := listener.Addr().String()
	if err := listener.Close(); err != nil {
		tb.Fatal(err)
	}
	return address
}

// ServeCommands is a stand-in backend: it calls handle with the connection of each whole RESP command that
// arrives, and returns the address it listens at. It ends with the test.
func ServeCommands(tb testing.TB, handle func(conn net.Conn)) net.Addr {
	tb.Helper()
	listener := Listen(tb)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveConnection(conn, handle)
		}
	}()
	return listener.Addr()
}

func serveConnection(conn net.Conn, handle func(conn net.Conn)) {
	reader := redcon.NewReader(conn)
	for {
		if _, err := reader.ReadCommand(); err != nil {
			return
		}
		handle(conn)
	}
}
