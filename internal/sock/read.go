package sock

import (
	"io"
	"os"
	"syscall"
	"unsafe"
)

// Read reads the available bytes, and waits if there are none, until the read deadline (os.ErrDeadlineExceeded). It
// returns io.EOF at the end of the connection, and where the guard refuses the read. b must not be empty. Only one
// goroutine at a time may call Read or AwaitHangUp.
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

// tryRead makes one attempt to read, enclosed in the calls of the guard if there is one. It returns false if
// there is nothing to read yet.
func (c *Conn) tryRead(fd uintptr) (done bool) {
	if c.guard != nil {
		if !c.guard.BeforeRead() {
			c.readBytes = 0
			c.readErrno = 0
			return true
		}
		defer func() { c.guard.AfterRead(max(c.readBytes, 0)) }()
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

// LastReadWaited reports whether the last read had to wait. If not, the bytes that it read may have been
// there for a long time. Only the reader may call it.
func (c *Conn) LastReadWaited() bool { return c.readWaited }

// MarkConsumed marks everything read so far as consumed: it belongs to an exchange that is over.
func (c *Conn) MarkConsumed() { c.unconsumed.Store(false) }

// IsConsumed reports whether nothing has arrived since MarkConsumed, neither read nor pending. It checks for
// pending bytes first: bytes that are no longer pending at that time have been read before, which the mark
// shows. It must not be called concurrently with itself or HasPendingBytes; it may be called during a read.
func (c *Conn) IsConsumed() bool { return c.peek() == nothingPending && !c.unconsumed.Load() }
