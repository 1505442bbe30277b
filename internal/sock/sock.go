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
// The callbacks of raw are method values made once, and their arguments and results are fields: a closure for
// each call would be an allocation on the ordinary path of every request.
type Conn struct {
	*net.TCPConn
	raw   syscall.RawConn
	guard ReadGuard

	readCallback func(fd uintptr) bool
	readBuffer   []byte
	readBytes    int
	readErrno    syscall.Errno
	readWaited   bool        // the last read met nothing at first
	unconsumed   atomic.Bool // bytes, or the end, were read since the last MarkConsumed

	peekCallback func(fd uintptr)
	peeked       pending

	hangUpCallback func(fd uintptr) bool

	writeCallback func(fd uintptr) bool
	writeVectors  [maxParts]syscall.Iovec
	writeParts    int
	writtenBytes  int64
	writeErrno    syscall.Errno
}

// ReadGuard is called round each try to read: Before says whether it may be made (false: the read ends as at
// the connection's end), After gets how many bytes it took. What the guard decides under the lock that Before
// takes and After frees has either seen a byte taken or lets none be taken any more.
type ReadGuard interface {
	Before() bool
	After(n int)
}

// Options are what a Conn is made with. The zero value is a plain connection.
type Options struct {
	// ReadGuard is called round each try to read; nil is none.
	ReadGuard ReadGuard
}

// New wraps a connection. It fails where that has been closed already, and leaves it to the caller then.
func New(nc *net.TCPConn, options Options) (*Conn, error) {
	raw, err := nc.SyscallConn()
	if err != nil {
		return nil, err
	}
	c := &Conn{TCPConn: nc, raw: raw, guard: options.ReadGuard}
	c.readCallback = c.tryRead
	c.writeCallback = c.tryWrite
	c.peekCallback = c.tryPeek
	c.hangUpCallback = hungUp
	return c, nil
}

// Dial opens a connection. A connectTimeout of 0 is none.
func Dial(address string, connectTimeout time.Duration) (*Conn, error) {
	d := net.Dialer{Timeout: connectTimeout}
	nc, err := d.DialContext(context.Background(), "tcp4", address)
	if err != nil {
		return nil, err
	}
	return wrap(nc.(*net.TCPConn))
}

// DialAny opens a connection to one of several addresses, tried in their order, and returns the index of that
// one.
func DialAny(addresses []netip.AddrPort, connectTimeout time.Duration) (*Conn, int, error) {
	nc, index, err := dialer.Dial(context.Background(), addresses, connectTimeout)
	if err != nil {
		return nil, 0, err
	}
	c, err := wrap(nc)
	return c, index, err
}

// wrap is New for a connection that nobody else has: it is closed where New fails.
func wrap(nc *net.TCPConn) (*Conn, error) {
	c, err := New(nc, Options{})
	if err != nil {
		_ = nc.Close() // the error before it says why
	}
	return c, err
}

// ReadFrom and WriteTo hide those of net.TCPConn, which io.Copy would call: between TCP connections, or from
// a file, they splice or send the file, which the fleet's hosts refuse (ENOSYS, EINVAL for splice).
func (c *Conn) ReadFrom(r io.Reader) (int64, error) { return io.Copy(onlyWriter{c}, r) }

// WriteTo is ReadFrom's counterpart.
func (c *Conn) WriteTo(w io.Writer) (int64, error) { return io.Copy(w, onlyReader{c}) }

// onlyWriter and onlyReader show io.Copy nothing but Write and Read.
type onlyWriter struct{ w io.Writer }

func (o onlyWriter) Write(b []byte) (int, error) { return o.w.Write(b) }

type onlyReader struct{ r io.Reader }

func (o onlyReader) Read(b []byte) (int, error) { return o.r.Read(b) }
