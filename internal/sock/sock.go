// Package sock reads and writes TCP connections of the net package by raw system calls. It owns nothing but
// the way a call is made, and must never block: the sockets are non-blocking, and waiting is left to net.
//
// Why: an ordinary call tells Go's scheduler that it may block. With one processor the runtime's monitor then
// takes the processor from any call over 20 microseconds, as writes over loopback often are, starts another
// thread for it, and itself wakes 50 times in the millisecond after. Those were most system calls of a front
// door. A raw call keeps the processor for as long as the kernel copies some bytes.
package sock

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"

	"fawnplank/internal/dialer"
)

// Conn is a TCP connection. One goroutine may read while another writes.
type Conn struct {
	*net.TCPConn
	raw syscall.RawConn

	// Reading, where set, is called round each try to read: before says whether it may be made (false: the read ends as
	// at the connection's end), after tells how many bytes it took. What its owner decides on the same lock as
	// before and after has either seen a byte taken or lets none be taken any more.
	Reading interface {
		Before() bool
		After(n int)
	}

	read  func(fd uintptr) bool
	in    []byte
	inN   int
	inErr syscall.Errno
	taken atomic.Bool // bytes were read, and Settle not called since

	look  func(fd uintptr)
	there int // bytes that wait to be read; -1: the connection has ended

	hung   func(fd uintptr) bool
	waited bool // the last read met nothing at first

	write  func(fd uintptr) bool
	out    [6]syscall.Iovec
	parts  int
	outN   int64
	outErr syscall.Errno
}

// New wraps a connection.
func New(nc *net.TCPConn) (*Conn, error) {
	raw, err := nc.SyscallConn()
	if err != nil {
		return nil, err
	}
	c := &Conn{TCPConn: nc, raw: raw}
	c.read, c.write, c.look, c.hung = c.tryRead, c.tryWrite, c.tryLook, hungUp
	return c, nil
}

// DialAny opens a connection to one of several addresses, tried in their order, and gives the number of that one.
func DialAny(order []netip.AddrPort, patient time.Duration) (*Conn, int, error) {
	nc, n, err := dialer.Dial(context.Background(), order, patient)
	if err != nil {
		return nil, 0, err
	}
	c, err := New(nc)
	if err != nil {
		nc.Close()
	}
	return c, n, err
}

// Dial opens a connection.
func Dial(address string, patient time.Duration) (*Conn, error) {
	nc, err := net.DialTimeout("tcp4", address, patient)
	if err != nil {
		return nil, err
	}
	c, err := New(nc.(*net.TCPConn))
	if err != nil {
		nc.Close()
	}
	return c, err
}

func (c *Conn) tryRead(fd uintptr) (done bool) {
	if c.Reading != nil {
		if !c.Reading.Before() {
			c.inN, c.inErr = 0, 0
			return true
		}
		defer func() { c.Reading.After(max(c.inN, 0)) }()
	}
	c.inN = 0
	for {
		n, _, errno := syscall.RawSyscall(syscall.SYS_READ, fd, uintptr(unsafe.Pointer(&c.in[0])),
			uintptr(len(c.in)))
		switch errno {
		case syscall.EINTR:
			continue
		case syscall.EAGAIN:
			c.waited = true
			return false
		}
		c.taken.Store(true)
		c.inN, c.inErr = int(n), errno
		return true
	}
}

// Read reads what is there, and waits if that is nothing.
func (c *Conn) Read(b []byte) (int, error) {
	c.in, c.waited = b, false
	err := c.raw.Read(c.read)
	c.in = nil
	switch {
	case err != nil:
		return 0, err
	case c.inErr != 0:
		return 0, os.NewSyscallError("read", c.inErr)
	case c.inN == 0:
		return 0, io.EOF
	}
	return c.inN, nil
}

// tryLook looks for a byte without taking it.
func (c *Conn) tryLook(fd uintptr) {
	var b [1]byte
	n, _, errno := syscall.RawSyscall6(syscall.SYS_RECVFROM, fd, uintptr(unsafe.Pointer(&b[0])), 1,
		syscall.MSG_PEEK|syscall.MSG_DONTWAIT, 0, 0)
	switch {
	case errno == syscall.EAGAIN:
		c.there = 0
	case errno != 0 || n == 0:
		c.there = -1
	default:
		c.there = 1
	}
}

// Waiting tells what a read would meet: 1 bytes, 0 nothing yet, -1 the connection's end. It does not wait, also
// while another reads. One at a time may ask.
func (c *Conn) Waiting() int {
	if c.raw.Control(c.look) != nil {
		return -1
	}
	return c.there
}

// Waited tells whether the last read waited: else what it took may have lain there for long.
func (c *Conn) Waited() bool { return c.waited }

// hungUp tells whether the peer has closed the connection, or ended its sending, also behind bytes not read yet.
func hungUp(fd uintptr) bool {
	p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(p, 0)
	return err == nil && n > 0 && p[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// HungUp tells whether the peer has closed the connection or ended its sending. It does not wait.
func (c *Conn) HungUp() (gone bool) {
	return c.raw.Control(func(fd uintptr) { gone = hungUp(fd) }) != nil || gone
}

// AwaitHangUp waits, in a reader's place and without taking a byte, until the peer has closed the connection or ended
// its sending: true; or until the deadline for reading: false.
func (c *Conn) AwaitHangUp() bool { return !errors.Is(c.raw.Read(c.hung), os.ErrDeadlineExceeded) }

// Settle says that all that was read belongs to what is over.
func (c *Conn) Settle() { c.taken.Store(false) }

// Settled tells whether nothing has come since, neither read nor waiting. It looks at what waits first: what is
// no longer there then was taken before.
func (c *Conn) Settled() bool { return c.Waiting() == 0 && !c.taken.Load() }

// tryWrite writes on until all is written or the socket is full.
func (c *Conn) tryWrite(fd uintptr) bool {
	first := 0
	for first < c.parts {
		n, _, errno := syscall.RawSyscall(syscall.SYS_WRITEV, fd, uintptr(unsafe.Pointer(&c.out[first])),
			uintptr(c.parts-first))
		switch errno {
		case 0:
		case syscall.EINTR:
			continue
		case syscall.EAGAIN:
			copy(c.out[:], c.out[first:c.parts])
			c.parts -= first
			return false
		default:
			c.outErr = errno
			return true
		}
		c.outN += int64(n)
		for ; first < c.parts && uint64(n) >= c.out[first].Len; first++ {
			n -= uintptr(c.out[first].Len)
		}
		if n > 0 {
			c.out[first].Base = (*byte)(unsafe.Add(unsafe.Pointer(c.out[first].Base), n))
			c.out[first].Len -= uint64(n)
		}
	}
	return true
}

// WriteParts writes the parts one behind another, at most six, and tells how many bytes of them went out.
func (c *Conn) WriteParts(parts ...[]byte) (int64, error) {
	c.parts, c.outN, c.outErr = 0, 0, 0
	for _, p := range parts {
		if len(p) > 0 {
			c.out[c.parts] = syscall.Iovec{Base: &p[0], Len: uint64(len(p))}
			c.parts++
		}
	}
	err := c.raw.Write(c.write)
	clear(c.out[:])
	if err == nil && c.outErr != 0 {
		err = os.NewSyscallError("writev", c.outErr)
	}
	return c.outN, err
}

// Write writes b.
func (c *Conn) Write(b []byte) (int, error) {
	n, err := c.WriteParts(b)
	return int(n), err
}

// ReadFrom and WriteTo hide those of net.TCPConn, which io.Copy would call: between TCP connections, or from a
// file, they splice or send the file, which the fleet's hosts refuse (ENOSYS, EINVAL for splice).
func (c *Conn) ReadFrom(r io.Reader) (int64, error) { return io.Copy(onlyWriter{c}, r) }

// WriteTo is ReadFrom's counterpart.
func (c *Conn) WriteTo(w io.Writer) (int64, error) { return io.Copy(w, onlyReader{c}) }

type onlyWriter struct{ w io.Writer }

func (o onlyWriter) Write(b []byte) (int, error) { return o.w.Write(b) }

type onlyReader struct{ r io.Reader }

func (o onlyReader) Read(b []byte) (int, error) { return o.r.Read(b) }
