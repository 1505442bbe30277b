package dialer

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"fawnplank/internal/testutil"
)

// maxBacklog is how many connections fit at most into a queue that is as short as can be, and some more.
const maxBacklog = 8

// hangingAddress returns an address at which a connection neither comes up nor fails: that of a listener
// whose queue is full.
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
	for range maxBacklog {
		conn, err := dialer.DialContext(t.Context(), "tcp4", address.String())
		if err != nil {
			return address
		}
		t.Cleanup(func() {
			_ = conn.Close() // it only filled the queue
		})
	}
	t.Fatal("the queue does not fill")
	return address
}
