package testutil

import (
	"net"
	"sync"
)

// PipeListener is a listener whose connections are pipes in memory, for servers in a synctest bubble: there a
// goroutine that waits for a socket would keep the clock from advancing. It belongs to the bubble in which it
// is made. Its methods are safe for concurrent use.
type PipeListener struct {
	accepted  chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once
}

// NewPipeListener returns an open listener.
func NewPipeListener() *PipeListener {
	return &PipeListener{accepted: make(chan net.Conn), closed: make(chan struct{})}
}

// Accept returns the far end of a connection that Dial opens.
func (l *PipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accepted:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close ends the listener, but none of its connections. Only the first call has an effect.
func (l *PipeListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return nil
}

// Addr returns an address at which nothing can be dialed.
func (l *PipeListener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe", Net: "pipe"} }

// Closed returns a channel that is closed when the listener is.
func (l *PipeListener) Closed() <-chan struct{} { return l.closed }

// Dial opens a connection and returns its near end. It waits until the far end is accepted or the listener is
// closed.
func (l *PipeListener) Dial() (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case l.accepted <- far:
		return near, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}
