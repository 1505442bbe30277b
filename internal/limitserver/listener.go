package limitserver

import (
	"errors"
	"net"
	"time"
)

const (
	// maxPendingBytes is how much a connection may send without a whole command in it: a pipeline of
	// thousands.
	maxPendingBytes = 1 << 20
	// lastWriteTimeout bounds the write of an error before a close: a client that does not read holds nothing
	// up.
	lastWriteTimeout = time.Second
)

var errCommandTooLarge = errors.New("command too large")

// boundingListener bounds what its connections may send without a whole command in it: redcon's reader grows
// with what it reads.
type boundingListener struct{ net.Listener }

func (l *boundingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &boundedConn{Conn: c}, nil
}

// boundedConn is a connection of a boundingListener. Its goroutine alone uses it.
type boundedConn struct {
	net.Conn
	pendingBytes int // read since the last whole command
}

func (b *boundedConn) Read(p []byte) (int, error) {
	if b.pendingBytes > maxPendingBytes {
		writeLastError(b.Conn, errCommandTooLarge.Error())
		return 0, errCommandTooLarge
	}
	n, err := b.Conn.Read(p)
	b.pendingBytes += n
	return n, err
}

// writeLastError writes an error to a connection that is closed next. Where that fails the client learns no
// more than from the close, and there is nobody else to hear of it.
func writeLastError(c net.Conn, text string) {
	_ = c.SetWriteDeadline(time.Now().Add(lastWriteTimeout))
	_, _ = c.Write([]byte("-ERR " + text + "\r\n"))
}
