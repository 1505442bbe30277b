package sock

import (
	"os"
	"syscall"
	"unsafe"
)

// maxParts is how many parts one WriteParts takes: those of the longest command that a gateway sends.
const maxParts = 6

// WriteParts writes the parts one behind another, at most six, and returns how many bytes of them went out.
// One goroutine at a time may write.
func (c *Conn) WriteParts(parts ...[]byte) (int64, error) {
	c.writeParts = 0
	c.writtenBytes = 0
	c.writeErrno = 0
	for _, part := range parts {
		if len(part) > 0 {
			c.writeVectors[c.writeParts] = syscall.Iovec{Base: &part[0], Len: uint64(len(part))}
			c.writeParts++
		}
	}
	err := c.raw.Write(c.writeCallback)
	clear(c.writeVectors[:]) // the parts are not held any longer
	if err == nil && c.writeErrno != 0 {
		err = os.NewSyscallError("writev", c.writeErrno)
	}
	return c.writtenBytes, err
}

// Write writes b.
func (c *Conn) Write(b []byte) (int, error) {
	n, err := c.WriteParts(b)
	return int(n), err
}

// tryWrite writes on until all is written or the socket is full: false.
func (c *Conn) tryWrite(fd uintptr) (done bool) {
	first := 0
	for first < c.writeParts {
		n, _, errno := syscall.RawSyscall(syscall.SYS_WRITEV, fd,
			uintptr(unsafe.Pointer(&c.writeVectors[first])), uintptr(c.writeParts-first))
		switch errno {
		case 0:
		case syscall.EINTR:
			continue
		case syscall.EAGAIN:
			copy(c.writeVectors[:], c.writeVectors[first:c.writeParts])
			c.writeParts -= first
			return false
		default:
			c.writeErrno = errno
			return true
		}
		c.writtenBytes += int64(n)
		first = c.skipWritten(first, uint64(n))
	}
	return true
}

// skipWritten moves the vectors, of which first is the first not written whole, past n further bytes. It
// returns the first that is not written whole then.
func (c *Conn) skipWritten(first int, n uint64) int {
	for first < c.writeParts && n >= c.writeVectors[first].Len {
		n -= c.writeVectors[first].Len
		first++
	}
	if n > 0 {
		vector := &c.writeVectors[first]
		vector.Base = (*byte)(unsafe.Add(unsafe.Pointer(vector.Base), n))
		vector.Len -= n
	}
	return first
}
