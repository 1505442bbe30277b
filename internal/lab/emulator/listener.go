package emulator

import (
	"context"
	"net"
	"sync"
	"time"
)

// For a moment, an outgoing connection may occupy the address of a closed listener because it got the same
// port. Reopening is therefore tried for half a second in all.
const (
	maxReopenRetries  = 50
	reopenRetryPeriod = 10 * time.Millisecond
)

// writeTimeout bounds the write of an answer to an instance that reads nothing.
const writeTimeout = 2 * time.Second

// listener is a listening socket that can be closed and opened again at the same address. Closing it resets
// its connections, as the death of a process does.
type listener struct {
	address string
	serve   func(net.Conn) // returns once the connection has ended

	mu          sync.Mutex   // guards what follows
	socket      net.Listener // nil while closed
	connections map[net.Conn]bool
	paused      chan struct{} // if not nil, new connections come up and are served once it is closed
}

// newListener listens on a free port and serves each connection in its own goroutine.
func newListener(serve func(net.Conn)) (*listener, error) {
	socket, err := listenLoopback("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &listener{
		address:     socket.Addr().String(),
		serve:       serve,
		connections: map[net.Conn]bool{},
		socket:      socket,
	}
	go l.accept(socket)
	return l, nil
}

func listenLoopback(address string) (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(context.Background(), "tcp4", address)
}

// accept accepts connections until the socket is closed.
func (l *listener) accept(socket net.Listener) {
	for {
		conn, err := socket.Accept()
		if err != nil {
			return // closed
		}
		l.mu.Lock()
		if l.socket != socket { // accepted while close ran and did not see it
			l.mu.Unlock()
			_ = conn.Close() // nothing was written
			continue
		}
		l.connections[conn] = true
		paused := l.paused
		l.mu.Unlock()
		go l.serveConnection(conn, paused)
	}
}

func (l *listener) serveConnection(conn net.Conn, paused chan struct{}) {
	if paused != nil {
		<-paused
	}
	l.serve(conn)
	l.mu.Lock()
	delete(l.connections, conn)
	l.mu.Unlock()
	_ = conn.Close() // serve has seen its end
}

// close refuses connections from now on and resets the open ones.
func (l *listener) close() {
	l.mu.Lock()
	socket := l.socket
	connections := l.connections
	l.socket = nil
	l.connections = map[net.Conn]bool{}
	l.mu.Unlock()
	if socket != nil {
		_ = socket.Close() // fails only if it is closed already
	}
	for conn := range connections {
		reset(conn)
	}
	l.setPaused(false)
}

// reset closes a connection with a reset instead of an orderly end.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only if the connection has ended: then it makes no difference
	}
	_ = conn.Close() // what is lost with it is lost by intent
}

// setPaused makes connections come up without being served, or ends that.
func (l *listener) setPaused(paused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.paused != nil {
		close(l.paused)
		l.paused = nil
	}
	if paused {
		l.paused = make(chan struct{})
	}
}

// reopen listens again at the same address.
func (l *listener) reopen() error {
	for retries := 0; ; retries++ {
		socket, err := listenLoopback(l.address)
		if err == nil {
			l.mu.Lock()
			l.socket = socket
			go l.accept(socket)
			l.mu.Unlock()
			return nil
		}
		if retries == maxReopenRetries {
			return err
		}
		time.Sleep(reopenRetryPeriod)
	}
}
