package dialer

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"fawnplank/internal/testutil"
)

// maxQueuedConnections is more than the number of connections that fit into an accept queue of the minimum length.
const maxQueuedConnections = 8

// hangingAddress returns an address at which dials neither succeed nor fail: that of a listener whose accept queue is
// full.
func hangingAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	listener := testutil.Listen(t).(*net.TCPListener)
	raw, err := listener.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = unix.Listen(int(fd), 0) }); err != nil {
		t.Fatal(err)
	}
	if listenErr != nil {
		t.Fatal(listenErr)
	}
	address := listener.Addr().(*net.TCPAddr).AddrPort()
	dialer := net.Dialer{Timeout: 100 * time.Millisecond}
	for range maxQueuedConnections {
		conn, err := dialer.DialContext(t.Context(), "tcp4", address.String())
		if err != nil {
			return address
		}
		t.Cleanup(func() {
			_ = conn.Close() // was opened only to fill the queue
		})
	}
	t.Fatal("the accept queue is not full")
	return address
}
