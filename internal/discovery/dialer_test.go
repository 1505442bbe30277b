package discovery

import (
	"cmp"
	"fmt"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"fawnplank/internal/config"
	"fawnplank/policy"
)

// hangingPort returns a loopback port at which dials neither succeed nor fail: that of a listener whose accept queue
// is full.
func hangingPort(t *testing.T) int {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = syscall.Close(fd) // nothing was accepted
	})
	loopback := &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}
	if err := cmp.Or(syscall.Bind(fd, loopback), syscall.Listen(fd, 0)); err != nil {
		t.Fatal(err)
	}
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	port := bound.(*syscall.SockaddrInet4).Port
	dialer := net.Dialer{Timeout: 200 * time.Millisecond}
	for {
		conn, err := dialer.DialContext(t.Context(), "tcp4", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			return port
		}
		t.Cleanup(func() {
			_ = conn.Close() // was opened only to fill the queue
		})
	}
}

// TestDialIPv4_LeavesNoPendingDials guards against unbounded growth of file descriptors: during an outage in which
// connections to the service were never established, each call left a pending dial for minutes, since the transport
// continues dials for future calls. Idle client connections need file descriptors at the same time.
func TestDialIPv4_LeavesNoPendingDials(t *testing.T) {
	port := hangingPort(t)
	r := newRecorder()
	configuration := &config.Config{
		Discovery: fmt.Sprintf("127.0.0.1:%d", port),
		Settings:  policy.Settings{DrainGrace: 2e8}, // gives each call a timeout of 0.1 s
	}
	client := New(Options{Subscriber: r, AddressBook: r, Config: configuration})
	for range 12 {
		client.WatchEndpoints()
		if got := r.next(t); got.kind != policy.UpdateFailed {
			t.Fatalf("%+v", got)
		}
	}
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		t.Skip("table of connections not readable: ", err)
	}
	connecting := fmt.Sprintf(" 0100007F:%04X 02 ", port) // the remote address and the state SYN_SENT
	if count := strings.Count(string(table), connecting); count > 2 {
		t.Errorf("after 12 calls, %d dials are pending", count)
	}
}
