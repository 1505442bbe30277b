package testutil

import (
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/tidwall/redcon"
)

// eventuallyTimeout is how long Eventually polls before it fails the test. A passing test does not reach it.
const eventuallyTimeout = 20 * time.Second

// Eventually polls the condition until it is true. If it is still false after eventuallyTimeout, Eventually fails
// the test with the description.
func Eventually(tb testing.TB, description string, condition func() bool) {
	tb.Helper()
	for deadline := time.Now().Add(eventuallyTimeout); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			tb.Fatalf("condition not met within %v: %s", eventuallyTimeout, description)
		}
	}
}

// Listen opens a TCP listener on a free loopback port and closes it when the test ends.
func Listen(tb testing.TB) net.Listener {
	tb.Helper()
	return listenWith(tb, net.ListenConfig{})
}

func listenWith(tb testing.TB, config net.ListenConfig) net.Listener {
	tb.Helper()
	listener, err := config.Listen(tb.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() {
		_ = listener.Close() // the test may have closed it already
	})
	return listener
}

// ListenWithReceiveBuffer is Listen for connections whose receive buffers have about the given size, so that what the
// other side writes arrives as slowly as it is read.
func ListenWithReceiveBuffer(tb testing.TB, bytes int) net.Listener {
	tb.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(fd uintptr) {
			optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bytes)
		})
		return errors.Join(err, optionErr)
	}}
	return listenWith(tb, config)
}

// FreeAddress returns a loopback address with a free port. In rare cases another process takes the port before
// the program under test listens on it.
func FreeAddress(tb testing.TB) string {
	tb.Helper()
	listener := Listen(tb)
	address := listener.Addr().String()
	if err := listener.Close(); err != nil {
		tb.Fatal(err)
	}
	return address
}

// ServeCommands starts a stub backend that calls handle with the connection for each complete RESP command that
// it receives. It returns the address on which the backend listens. The listener is closed when the test ends.
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
