package sock

import (
	"io"
	"os"
	"syscall"
	"unsafe"
)

// Read reads the available bytes. If there are none, it waits for them until the read deadline
// (os.ErrDeadlineExceeded). It returns io.EOF at the end of the connection, and also if the guard refuses the read. b
// must not be empty. Only one goroutine at a time may call Read or AwaitHangUp.
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

// tryRead makes one attempt to read, between the guard's BeforeRead and AfterRead if there is a guard. It returns
// false if there is nothing to read yet.
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

// LastReadWaited reports whether the last read had to wait. If not, the bytes that it read may have arrived long
// before. Only the goroutine that reads may call it.
func (c *Conn) LastReadWaited() bool { return c.readWaited }

// MarkConsumed marks everything read so far as consumed, because it belongs to an exchange that has ended.
func (c *Conn) MarkConsumed() { c.unconsumed.Store(false) }

// IsConsumed reports whether no input has arrived since MarkConsumed, neither read nor pending. It checks for pending
// input first: input that has arrived and is no longer pending has already been read, and is marked as unconsumed.
// It must not be called concurrently with itself or HasPendingBytes; it may be called during a read.
func (c *Conn) IsConsumed() bool { return c.peek() == nothingPending && !c.unconsumed.Load() }
