package backend

import (
	"fmt"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"fawnplank/internal/dispatch"
)

// recordingCommand sends the remaining time for which its parts are requested to its channel.
type recordingCommand struct{ remaining chan time.Duration }

func (r recordingCommand) Parts(remaining time.Duration) [][]byte {
	r.remaining <- remaining
	return [][]byte{[]byte(ping)}
}

func (r recordingCommand) Size() int { return len(ping) }

// slowListener returns the descriptor of a listener whose backlog is full, so that a connection to its address is only
// established when the kernel sends the first packet again, after about a second.
func slowListener(t *testing.T) (fd int, address string) {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = unix.Close(fd) })
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := unix.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address = fmt.Sprintf("127.0.0.1:%d", name.(*unix.SockaddrInet4).Port)
	dialer := net.Dialer{Timeout: 50 * time.Millisecond}
	for { // fills the backlog
		conn, err := dialer.DialContext(t.Context(), "tcp", address)
		if err != nil {
			return fd, address
		}
		t.Cleanup(func() { _ = conn.Close() })
	}
}

// Guards against a backend that is told more time than the client has left: the time was read before the connection was
// opened, which can take as long as the connect timeout.
func TestConn_RemainingTimeIsReadAtWrite(t *testing.T) {
	fd, address := slowListener(t)
	p := New(Options{MaxConnections: 10, ConnectTimeout: 5 * time.Second, IdleTimeout: 10 * time.Second})
	p.SetAddress(1, address)
	request := submitRequestFor(t, 5*time.Second)
	step := request.NextStep()
	if step.Action != dispatch.Send {
		t.Fatalf("%+v", step)
	}
	command := recordingCommand{make(chan time.Duration, 1)}
	p.Send(step.Attempt, command)
	time.Sleep(300 * time.Millisecond) // the dial takes at least this long
	go func() {
		for { // frees the backlog until the listener is closed
			conn, _, err := unix.Accept(fd)
			if err != nil {
				return
			}
			defer func() { _ = unix.Close(conn) }()
		}
	}()
	stated := <-command.remaining
	const margin = 50 * time.Millisecond // for a busy machine
	if left := step.Attempt.Remaining(); stated > left+margin {
		t.Errorf("the command states %v, but only %v are left", stated, left)
	}
}
