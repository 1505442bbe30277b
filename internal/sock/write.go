package sock

import (
	"os"
	"syscall"
	"unsafe"
)

// maxParts is how many parts one WriteParts call accepts: as many as the command with the most parts that a
// gateway sends.
const maxParts = 6

// WriteParts writes the parts, at most six, one after another and returns how many bytes were written, which are fewer
// than all only with an error. It waits while the socket is full, until the write deadline (os.ErrDeadlineExceeded).
// Only one goroutine at a time may write.
func (c *Conn) WriteParts(parts ...[]byte) (int64, error) {
	c.vectorCount = 0
	c.writtenBytes = 0
	c.writeErrno = 0
	for _, part := range parts {
		if len(part) > 0 {
			c.writeVectors[c.vectorCount] = syscall.Iovec{Base: &part[0], Len: uint64(len(part))}
			c.vectorCount++
		}
	}
	err := c.raw.Write(c.writeCallback)
	clear(c.writeVectors[:]) // release the parts
	if err == nil && c.writeErrno != 0 {
		err = os.NewSyscallError("writev", c.writeErrno)
	}
	return c.writtenBytes, err
}

// Write writes b, as WriteParts does.
func (c *Conn) Write(b []byte) (int, error) {
	n, err := c.WriteParts(b)
	return int(n), err
}

// tryWrite writes until everything is written or the write fails. It returns false if the socket is full
// first.
func (c *Conn) tryWrite(fd uintptr) (done bool) {
	first := 0
	for first < c.vectorCount {
		n, _, errno := syscall.RawSyscall(syscall.SYS_WRITEV, fd,
			uintptr(unsafe.Pointer(&c.writeVectors[first])), uintptr(c.vectorCount-first))
		switch errno {
		case 0:
		case syscall.EINTR:
			continue
		case syscall.EAGAIN:
			copy(c.writeVectors[:], c.writeVectors[first:c.vectorCount])
			c.vectorCount -= first
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

// skipWritten advances the vectors by n written bytes. first is the index of the first vector that is not
// completely written; skipWritten returns the new index.
func (c *Conn) skipWritten(first int, n uint64) int {
	for first < c.vectorCount && n >= c.writeVectors[first].Len {
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
