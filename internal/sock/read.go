package sock

import (
	"io"
	"os"
	"syscall"
	"unsafe"
)

// Read reads what is there, and waits if that is nothing. One goroutine at a time may call it or AwaitHangUp.
func (c *Conn) Read(b []byte) (int, error) {
	c.readBuffer = b
	c.readWaited = false
	err := c.raw.Read(c.readCallback)
	c.readBuffer = nil
	switch {
	case err != nil:
		return 0, err
	case c.readErrno != 0:
		return 0, os.NewSyscallError("read", c.readErrno)
	case c.readBytes == 0:
		return 0, io.EOF
	}
	return c.readBytes, nil
}

// tryRead is one try to read, between the guard's calls where there is one. false: nothing is there yet.
func (c *Conn) tryRead(fd uintptr) (done bool) {
	if c.guard != nil {
		if !c.guard.Before() {
			c.readBytes = 0
			c.readErrno = 0
			return true
		}
		defer func() { c.guard.After(max(c.readBytes, 0)) }()
	}
	c.readBytes = 0
	for {
		n, _, errno := syscall.RawSyscall(syscall.SYS_READ, fd, uintptr(unsafe.Pointer(&c.readBuffer[0])),
			uintptr(len(c.readBuffer)))
		switch errno {
		case syscall.EINTR:
			continue
		case syscall.EAGAIN:
			c.readWaited = true
			return false
		}
		c.unconsumed.Store(true)
		c.readBytes = int(n)
		c.readErrno = errno
		return true
	}
}

// LastReadWaited reports whether the last read waited: else what it took may have lain there for long. Only
// the reader may call it.
func (c *Conn) LastReadWaited() bool { return c.readWaited }

// MarkConsumed declares that all that was read belongs to what is over.
func (c *Conn) MarkConsumed() { c.unconsumed.Store(false) }

// IsConsumed reports whether nothing has come since MarkConsumed, neither read nor pending. It looks at what
// is pending first: what is no longer there then was read before, and shows in the mark. Concurrent calls,
// also with HasPendingBytes, are not allowed; one beside a read is.
func (c *Conn) IsConsumed() bool { return c.peek() == nothingPending && !c.unconsumed.Load() }
