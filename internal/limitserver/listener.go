package limitserver

import (
	"errors"
	"net"
	"time"
)

const (
	// maxPendingBytes is how many bytes a connection may send without completing a command. It is the size of a
	// pipeline of thousands of commands.
	maxPendingBytes = 1 << 20
	// lastWriteTimeout bounds the write of an error before a close, so that a client that does not read holds
	// nothing up.
	lastWriteTimeout = time.Second
)

var errCommandTooLarge = errors.New("command too large")

// boundingListener bounds how much its connections may send without completing a command, because redcon's
// reader grows with the input.
type boundingListener struct{ net.Listener }

func (l *boundingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &boundedConn{Conn: c}, nil
}

// boundedConn is a connection of a boundingListener. Only its goroutine uses it.
type boundedConn struct {
	net.Conn
	pendingBytes int // bytes read since the last complete command
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

// writeLastError writes an error to a connection that is about to be closed. Write errors are ignored: the
// client then only sees the close, and there is nobody else to tell.
func writeLastError(c net.Conn, text string) {
	_ = c.SetWriteDeadline(time.Now().Add(lastWriteTimeout))
	_, _ = c.Write([]byte("-ERR " + text + "\r\n"))
}
