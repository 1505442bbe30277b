package sock

import (
	"errors"
	"os"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// pendingInput is what the next read would find.
type pendingInput uint8

const (
	nothingPending pendingInput = iota
	bytesPending
	endPending // the end of the connection
)

func (p pendingInput) String() string { return [...]string{"nothing", "bytes", "end"}[p] }

// HasPendingBytes reports whether there are bytes to be read. It does not wait, even while another goroutine
// reads. It must not be called concurrently with itself.
func (c *Conn) HasPendingBytes() bool { return c.peek() == bytesPending }

// peek returns what the next read would find.
func (c *Conn) peek() pendingInput {
	if c.raw.Control(c.peekCallback) != nil {
		return endPending
	}
	return c.peeked
}

// tryPeek checks for a byte without consuming it.
func (c *Conn) tryPeek(fd uintptr) {
	var b [1]byte
	n, _, errno := syscall.RawSyscall6(syscall.SYS_RECVFROM, fd, uintptr(unsafe.Pointer(&b[0])), 1,
		syscall.MSG_PEEK|syscall.MSG_DONTWAIT, 0, 0)
	switch {
	case errno == syscall.EINTR:
		c.tryPeek(fd)
	case errno == syscall.EAGAIN:
		c.peeked = nothingPending
	case errno != 0 || n == 0:
		c.peeked = endPending
	default:
		c.peeked = bytesPending
	}
}

// HungUp reports whether the peer has closed the connection or its sending side. It does not wait, and may be
// called concurrently with any other method.
func (c *Conn) HungUp() (gone bool) {
	err := c.raw.Control(func(fd uintptr) { gone = hungUp(fd) })
	return err != nil || gone
}

// AwaitHangUp waits, in place of a reader and without consuming any bytes, until the peer has closed the
// connection or its sending side. It then returns true; at the read deadline it returns false.
func (c *Conn) AwaitHangUp() bool {
	return !errors.Is(c.raw.Read(c.hangUpCallback), os.ErrDeadlineExceeded)
}

// hungUp reports whether the peer has closed the connection or its sending side, even if unread bytes precede
// that.
func hungUp(fd uintptr) bool {
	polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(polled, 0)
	for errors.Is(err, unix.EINTR) { // taken for no hang-up, it would be missed: there is no further event
		n, err = unix.Poll(polled, 0)
	}
	return err == nil && n > 0 && polled[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}
