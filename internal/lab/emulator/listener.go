package emulator

import (
	"context"
	"net"
	"sync"
	"time"
)

// The system may briefly assign the port of a closed listener to an outgoing connection. Reopening is therefore
// retried for half a second in total.
const (
	maxReopenRetries  = 50
	reopenRetryPeriod = 10 * time.Millisecond
)

// writeTimeout bounds the write of an answer to an instance that does not read.
const writeTimeout = 2 * time.Second

// listener is a listening socket that can be closed and opened again at the same address. Closing it also resets its
// connections, which a client sees as the crash of the server process.
type listener struct {
	address string
	serve   func(net.Conn) // returns after the connection has ended

	mu          sync.Mutex   // guards the fields below
	socket      net.Listener // nil while closed
	connections map[net.Conn]bool
	paused      chan struct{} // if not nil, new connections are accepted, but not served until it is closed
}

// newListener listens on a free loopback port and serves each connection in its own goroutine.
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
			return // the socket is closed
		}
		l.mu.Lock()
		if l.socket != socket { // accepted during a close, which has not closed this connection
			l.mu.Unlock()
			_ = conn.Close() // an error does not matter, since nothing was written
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
	_ = conn.Close() // serve returns only after the connection has ended
}

// close closes the socket, so that new connections are refused, and resets the open connections.
func (l *listener) close() {
	l.mu.Lock()
	socket := l.socket
	connections := l.connections
	l.socket = nil
	l.connections = map[net.Conn]bool{}
	l.mu.Unlock()
	if socket != nil {
		_ = socket.Close() // fails only if the socket is closed already
	}
	for conn := range connections {
		reset(conn)
	}
	l.setPaused(false)
}

// reset closes a connection with a TCP reset instead of a FIN.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only if the connection has ended already
	}
	_ = conn.Close() // data that is lost with the connection is lost on purpose
}

// setPaused sets whether new connections are accepted without being served. Either call starts to serve those that
// wait.
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

// reopen listens again at the same address. It returns an error if the address stays in use.
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
