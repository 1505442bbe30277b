package sock

import (
	"os"
	"syscall"
	"unsafe"
)

// maxBuffers is the maximum number of buffers in one WriteBuffers call. The longest command that a gateway sends
// consists of this many.
const maxBuffers = 6

// WriteBuffers writes the given buffers, at most six, one after another. It returns the number of bytes written, which
// is less than the total only with an error. While the socket's send buffer is full, it waits until the write deadline
// (os.ErrDeadlineExceeded). Only one goroutine at a time may write.
func (c *Conn) WriteBuffers(buffers ...[]byte) (int64, error) {
	c.vectorCount = 0
	c.writtenBytes = 0
	c.writeErrno = 0
	for _, buffer := range buffers {
		if len(buffer) > 0 {
			c.writeVectors[c.vectorCount] = syscall.Iovec{Base: &buffer[0], Len: uint64(len(buffer))}
			c.vectorCount++
		}
	}
	err := c.raw.Write(c.writeCallback)
	clear(c.writeVectors[:]) // release the buffers
	if err == nil && c.writeErrno != 0 {
		err = os.NewSyscallError("writev", c.writeErrno)
	}
	return c.writtenBytes, err
}

// Write writes b, as WriteBuffers does.
func (c *Conn) Write(b []byte) (int, error) {
	n, err := c.WriteBuffers(b)
	return int(n), err
}

// tryWrite writes until everything is written or the write fails. It returns false if the socket's send buffer is full
// before that.
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

// skipWritten advances the vectors by n written bytes. first is the index of the first vector that was not completely
// written before; skipWritten returns the index of the first that is not completely written now.
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
