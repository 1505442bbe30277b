package limitserver

import (
	"errors"
	"net"
	"time"
)

const (
	// maxPendingBytes is how many bytes a connection may send without completing a command. A pipeline of thousands of
	// commands has this size.
	maxPendingBytes = 1 << 20
	// errorWriteTimeout bounds the write of an error before a close, so that a client that does not read cannot
	// block the server.
	errorWriteTimeout = time.Second
)

var errCommandTooLarge = errors.New("command too large")

// boundingListener accepts connections that may send only maxPendingBytes without completing a command. Without this
// bound, the buffer of redcon's reader would grow with the input.
type boundingListener struct{ net.Listener }

func (l *boundingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &boundedConn{Conn: conn}, nil
}

// boundedConn is a connection of a boundingListener. Only the connection's goroutine uses it.
type boundedConn struct {
	net.Conn
	pendingBytes int // bytes read since the last complete command
}

func (b *boundedConn) Read(p []byte) (int, error) {
	if b.pendingBytes > maxPendingBytes {
		writeErrorBeforeClose(b.Conn, errCommandTooLarge.Error())
		return 0, errCommandTooLarge
	}
	n, err := b.Conn.Read(p)
	b.pendingBytes += n
	return n, err
}

// writeErrorBeforeClose writes an error to a connection that is about to be closed. If the write fails, the failure
// is ignored, and the client sees only the close.
func writeErrorBeforeClose(conn net.Conn, text string) {
	_ = conn.SetWriteDeadline(time.Now().Add(errorWriteTimeout))
	_, _ = conn.Write([]byte("-ERR " + text + "\r\n"))
}
