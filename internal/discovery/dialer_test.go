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

// hangingPort returns a loopback port at which connections never come up: that of a listener whose queue is
// full.
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
			_ = conn.Close() // it only filled the queue
		})
	}
}

// TestDialIPv4_OutageLeavesNoDialsBehind guards against a fault: in an outage in which connections to the
// service never come up, each call left one waiting, for minutes, since the transport dials on for calls to
// come: descriptors without end, while idle clients fill theirs.
func TestDialIPv4_OutageLeavesNoDialsBehind(t *testing.T) {
	port := hangingPort(t)
	r := newRecorder()
	configuration := &config.Config{
		Discovery: fmt.Sprintf("127.0.0.1:%d", port),
		Settings:  policy.Settings{DrainGrace: 2e8}, // 0.1 s a call
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
		t.Skip("no table of connections: ", err)
	}
	connecting := fmt.Sprintf(" 0100007F:%04X 02 ", port) // the peer, and the state SYN_SENT
	if count := strings.Count(string(table), connecting); count > 2 {
		t.Errorf("after 12 calls %d connections wait to come up", count)
	}
}
