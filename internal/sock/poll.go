package sock

import (
	"errors"
	"os"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// pendingInput is the kind of input that the next read would return.
type pendingInput uint8

const (
	nothingPending pendingInput = iota
	bytesPending
	endPending // the end of the connection
)

func (p pendingInput) String() string { return [...]string{"nothing", "bytes", "end"}[p] }

// HasPendingBytes reports whether there are bytes to read. It does not wait, even while another goroutine reads.
// It must not be called concurrently with itself.
func (c *Conn) HasPendingBytes() bool { return c.peek() == bytesPending }

// UnreadBytes returns how many bytes have arrived and are not read yet. ok is false if that is not known: the hosts
// of a deployment may reject the call. It does not wait, and may be called concurrently with any other method.
func (c *Conn) UnreadBytes() (count int, ok bool) {
	controlErr := c.raw.Control(func(fd uintptr) {
		var err error
		count, err = unix.IoctlGetInt(int(fd), unix.TIOCINQ)
		ok = err == nil
	})
	return count, ok && controlErr == nil
}

// peek returns the kind of input that the next read would return, without reading it.
func (c *Conn) peek() pendingInput {
	if c.raw.Control(c.peekCallback) != nil {
		return endPending
	}
	return c.peeked
}

// tryPeek sets peeked: it peeks at the next byte without consuming it.
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
func (c *Conn) HungUp() (closed bool) {
	err := c.raw.Control(func(fd uintptr) { closed = hungUp(fd) })
	return err != nil || closed
}

// AwaitHangUp waits, in place of a reader and without consuming any bytes, until the peer has closed the
// connection or its sending side. It then returns true; at the read deadline it returns false.
func (c *Conn) AwaitHangUp() bool {
	return !errors.Is(c.raw.Read(c.hangUpCallback), os.ErrDeadlineExceeded)
}

// hungUp reports whether the peer has closed the connection or its sending side, even if unread bytes precede
// that.
func hungUp(fd uintptr) bool {
	pollFDs := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(pollFDs, 0)
	for errors.Is(err, unix.EINTR) { // an interrupted poll must be repeated, since the hang-up causes no further event
		n, err = unix.Poll(pollFDs, 0)
	}
	return err == nil && n > 0 && pollFDs[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}
