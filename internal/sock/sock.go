package sock

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"syscall"
	"time"

	"fawnplank/internal/dialer"
)

// Conn is a TCP connection. One goroutine may read while another writes.
//
// The callbacks for raw are method values that are created once, and their arguments and results are fields. A closure
// for each call would cost an allocation on the normal path of every request.
type Conn struct {
	*net.TCPConn
	raw   syscall.RawConn
	guard ReadGuard

	readCallback func(fd uintptr) bool
	readBuffer   []byte
	readBytes    int
	readErrno    syscall.Errno
	readWaited   bool        // the last read had to wait for input
	unconsumed   atomic.Bool // bytes, an error or the end of the connection were read since the last MarkConsumed

	peekCallback func(fd uintptr)
	peeked       pendingInput

	hangUpCallback func(fd uintptr) bool

	writeCallback func(fd uintptr) bool
	writeVectors  [maxBuffers]syscall.Iovec
	vectorCount   int // number of writeVectors in use
	writtenBytes  int64
	writeErrno    syscall.Errno
}

// ReadGuard is called before and after each attempt to read. BeforeRead reports whether the attempt may be made; if it
// returns false, Read returns io.EOF, and AfterRead is not called. AfterRead receives the number of bytes read. If
// BeforeRead acquires a lock that AfterRead releases, then code that holds the lock can rely on this: every byte either
// has been reported to AfterRead, or can still be prevented from being read.
type ReadGuard interface {
	BeforeRead() bool
	AfterRead(n int)
}

// Options configures a Conn. The zero value gives a plain connection.
type Options struct {
	// ReadGuard is called before and after each attempt to read. Nil means no guard.
	ReadGuard ReadGuard
}

// New wraps a connection. It fails if the connection is already closed; the caller then still owns the connection.
func New(tcpConn *net.TCPConn, options Options) (*Conn, error) {
	raw, err := tcpConn.SyscallConn()
	if err != nil {
		return nil, err
	}
	c := &Conn{TCPConn: tcpConn, raw: raw, guard: options.ReadGuard}
	c.readCallback = c.tryRead
	c.writeCallback = c.tryWrite
	c.peekCallback = c.tryPeek
	c.hangUpCallback = hungUp
	return c, nil
}

// Dial opens a connection to an IPv4 address. It waits at most for connectTimeout, where 0 means no timeout, and only
// until ctx is done.
func Dial(ctx context.Context, address string, connectTimeout time.Duration) (*Conn, error) {
	d := net.Dialer{Timeout: connectTimeout}
	netConn, err := d.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	return wrap(netConn.(*net.TCPConn))
}

// DialAny opens a connection to one of several addresses, which it dials in order, and returns the index of the address
// that it connected to. Unlike for Dial, connectTimeout must be above 0.
func DialAny(
	ctx context.Context, addresses []netip.AddrPort, connectTimeout time.Duration,
) (c *Conn, index int, err error) {
	tcpConn, index, err := dialer.Dial(ctx, addresses, connectTimeout)
	if err != nil {
		return nil, 0, err
	}
	c, err = wrap(tcpConn)
	return c, index, err
}

// wrap calls New for a connection without another owner, and closes the connection if New fails.
func wrap(tcpConn *net.TCPConn) (*Conn, error) {
	c, err := New(tcpConn, Options{})
	if err != nil {
		_ = tcpConn.Close() // the error of New is returned
	}
	return c, err
}

// ReadFrom copies with Read and Write. It hides the method of net.TCPConn, which io.Copy would call: between TCP
// connections, or from a file, that method uses splice or sendfile, which the hosts of a deployment reject (ENOSYS,
// EINVAL for splice).
func (c *Conn) ReadFrom(r io.Reader) (int64, error) { return io.Copy(onlyWriter{c}, r) }

// WriteTo copies with Read and Write, for the same reason as ReadFrom.
func (c *Conn) WriteTo(w io.Writer) (int64, error) { return io.Copy(w, onlyReader{c}) }

// onlyWriter and onlyReader hide all methods from io.Copy except Write and Read.
type onlyWriter struct{ w io.Writer }

func (o onlyWriter) Write(b []byte) (int, error) { return o.w.Write(b) }

type onlyReader struct{ r io.Reader }

func (o onlyReader) Read(b []byte) (int, error) { return o.r.Read(b) }
