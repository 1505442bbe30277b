package testutil

import (
	"net"
	"sync"
)

// PipeListener is a listener whose connections are in-memory pipes. It is meant for servers in a synctest bubble,
// where a goroutine that blocks on a socket would keep the fake clock from advancing. It must be used in the
// bubble that created it. Its methods are safe for concurrent use.
type PipeListener struct {
	accepted  chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once
}

// NewPipeListener returns an open listener.
func NewPipeListener() *PipeListener {
	return &PipeListener{accepted: make(chan net.Conn), closed: make(chan struct{})}
}

// Accept waits for a call of Dial and returns the server's end of the connection.
func (l *PipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accepted:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close closes the listener, but none of its connections. Only the first call has an effect.
func (l *PipeListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return nil
}

// Addr returns a placeholder address, which cannot be dialed.
func (l *PipeListener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe", Net: "pipe"} }

// Closed returns a channel that is closed by Close.
func (l *PipeListener) Closed() <-chan struct{} { return l.closed }

// Dial opens a connection and returns the client's end. It blocks until the server accepts the connection or the
// listener is closed.
func (l *PipeListener) Dial() (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case l.accepted <- far:
		return near, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}
