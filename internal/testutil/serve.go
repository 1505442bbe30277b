package testutil

import (
	"net"
	"testing"
)

// ServeConnections listens on a free loopback port and calls handle for each connection that it accepts, one
// after another, until the test ends. A handler that serves a connection for as long as it is open has to start
// a goroutine, since the next connection waits until handle returns. ServeConnections returns the address.
func ServeConnections(tb testing.TB, handle func(net.Conn)) (address string) {
	tb.Helper()
	listener := Listen(tb)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			handle(conn)
		}
	}()
	return listener.Addr().String()
}
