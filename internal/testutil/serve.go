package testutil

import (
	"net"
	"testing"
)

// Serve listens on a free loopback port and calls handle for each connection that it accepts, one after another,
// until the test ends. A handler that goes on for as long as its connection starts a goroutine of its own. Serve
// returns the address.
func Serve(tb testing.TB, handle func(net.Conn)) (address string) {
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
