package sock

import (
	"errors"
	"os"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// pending is what the next read would meet.
type pending uint8

const (
	nothingPending pending = iota
	bytesPending
	endPending // of the connection
)

func (p pending) String() string { return [...]string{"nothing", "bytes", "end"}[p] }

// HasPendingBytes reports whether bytes wait to be read. It does not wait, also while another goroutine
// reads. Concurrent calls are not allowed.
func (c *Conn) HasPendingBytes() bool { return c.peek() == bytesPending }

// peek returns what the next read would meet.
func (c *Conn) peek() pending {
	if c.raw.Control(c.peekCallback) != nil {
		return endPending
	}
	return c.peeked
}

// tryPeek looks for a byte without taking it.
func (c *Conn) tryPeek(fd uintptr) {
	var b [1]byte
	n, _, errno := syscall.RawSyscall6(syscall.SYS_RECVFROM, fd, uintptr(unsafe.Pointer(&b[0])), 1,
		syscall.MSG_PEEK|syscall.MSG_DONTWAIT, 0, 0)
	switch {
	case errno == syscall.EAGAIN:
		c.peeked = nothingPending
	case errno != 0 || n == 0:
		c.peeked = endPending
	default:
		c.peeked = bytesPending
	}
}

// HungUp reports whether the peer has closed the connection or ended its sending. It does not wait, and may
// be called beside any other method.
func (c *Conn) HungUp() (gone bool) {
	err := c.raw.Control(func(fd uintptr) { gone = hungUp(fd) })
	return err != nil || gone
}

// AwaitHangUp waits, in a reader's place and without taking a byte, until the peer has closed the connection
// or ended its sending: true; or until the deadline for reading: false.
func (c *Conn) AwaitHangUp() bool {
	return !errors.Is(c.raw.Read(c.hangUpCallback), os.ErrDeadlineExceeded)
}

// hungUp reports whether the peer has closed the connection, or ended its sending, also behind bytes not read
// yet.
func hungUp(fd uintptr) bool {
	polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(polled, 0)
	return err == nil && n > 0 && polled[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}
