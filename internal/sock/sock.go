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
// The callbacks for raw are method values created once, and their arguments and results are fields: a closure
// for each call would cost an allocation on the normal path of every request.
type Conn struct {
	*net.TCPConn
	raw   syscall.RawConn
	guard ReadGuard

	readCallback func(fd uintptr) bool
	readBuffer   []byte
	readBytes    int
	readErrno    syscall.Errno
	readWaited   bool        // the last read found nothing at first
	unconsumed   atomic.Bool // bytes or the end of the connection were read since the last MarkConsumed

	peekCallback func(fd uintptr)
	peeked       pendingInput

	hangUpCallback func(fd uintptr) bool

	writeCallback func(fd uintptr) bool
	writeVectors  [maxBuffers]syscall.Iovec
	vectorCount   int // of writeVectors that are in use
	writtenBytes  int64
	writeErrno    syscall.Errno
}

// ReadGuard is called around each attempt to read. BeforeRead returns whether the attempt may be made; if it
// returns false, the read ends as at the end of the connection. AfterRead receives how many bytes were read. If
// BeforeRead takes a lock that AfterRead releases, then for any byte, a decision made with that lock held either sees
// that the byte was read or can prevent it from being read.
type ReadGuard interface {
	BeforeRead() bool
	AfterRead(n int)
}

// Options configures a Conn. The zero value gives a plain connection.
type Options struct {
	// ReadGuard is called around each attempt to read. Nil means no guard.
	ReadGuard ReadGuard
}

// New wraps a connection. It fails if the connection is already closed; the connection is then left to the
// caller.
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

// Dial opens a connection to an IPv4 address. It waits for connectTimeout at most, where 0 means no timeout, or until
// ctx ends.
func Dial(ctx context.Context, address string, connectTimeout time.Duration) (*Conn, error) {
	d := net.Dialer{Timeout: connectTimeout}
	nc, err := d.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	return wrap(nc.(*net.TCPConn))
}

// DialAny opens a connection to one of several addresses, tried in order, and returns the index of the
// address that it connected to. Unlike in Dial, connectTimeout must be above 0.
func DialAny(
	ctx context.Context, addresses []netip.AddrPort, connectTimeout time.Duration,
) (c *Conn, index int, err error) {
	nc, index, err := dialer.Dial(ctx, addresses, connectTimeout)
	if err != nil {
		return nil, 0, err
	}
	c, err = wrap(nc)
	return c, index, err
}

// wrap is New for a connection that has no other owner: it closes the connection if New fails.
func wrap(nc *net.TCPConn) (*Conn, error) {
	c, err := New(nc, Options{})
	if err != nil {
		_ = nc.Close() // the error of New says why
	}
	return c, err
}

// ReadFrom and WriteTo hide the methods of net.TCPConn, which io.Copy would call: between TCP connections, or
// from a file, those use splice or sendfile, which the fleet's hosts refuse (ENOSYS, EINVAL for splice).
func (c *Conn) ReadFrom(r io.Reader) (int64, error) { return io.Copy(onlyWriter{c}, r) }

// WriteTo is the counterpart of ReadFrom.
func (c *Conn) WriteTo(w io.Writer) (int64, error) { return io.Copy(w, onlyReader{c}) }

// onlyWriter and onlyReader expose only Write and Read to io.Copy.
type onlyWriter struct{ w io.Writer }

func (o onlyWriter) Write(b []byte) (int, error) { return o.w.Write(b) }

type onlyReader struct{ r io.Reader }

func (o onlyReader) Read(b []byte) (int, error) { return o.r.Read(b) }
