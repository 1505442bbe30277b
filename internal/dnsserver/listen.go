package dnsserver

import (
	"context"
	"net"

	"github.com/miekg/dns"
	"golang.org/x/net/netutil"

	"fawnplank/internal/logging"
	"fawnplank/internal/retryaccept"
)

const (
	// maxConcurrent bounds the TCP connections, and the messages handled at once. There are few updaters and
	// secondaries.
	maxConcurrent = 64
	// maxUDPMessageBytes is the size of the largest message read over UDP.
	maxUDPMessageBytes = 4096
	// maxQueriesPerConnection is the number of queries after which a TCP connection is closed.
	maxQueriesPerConnection = 1024
	// ephemeralPort is the port in a listen address that stands for any free port.
	ephemeralPort = "0"
)

// openSockets listens on TCP and UDP at the same port. If the system chooses the port, it tries until it
// finds one that is free for both.
func openSockets(address string) (net.Listener, net.PacketConn, error) {
	// The sockets outlive any caller's context, because Close ends them.
	ctx := context.Background()
	var config net.ListenConfig
	for {
		tcpListener, err := config.Listen(ctx, "tcp", address)
		if err != nil {
			return nil, nil, err
		}
		udpConn, err := config.ListenPacket(ctx, "udp", tcpListener.Addr().String())
		if err == nil {
			return tcpListener, udpConn, nil
		}
		_ = tcpListener.Close() // nobody has connected
		if _, port, _ := net.SplitHostPort(address); port != ephemeralPort {
			return nil, nil, err
		}
		// The system chose the port, but its UDP side belongs to another socket. Another choice will succeed.
	}
}

// listen serves the zone at the listen address, if there is one, and notifies the secondaries.
func (s *Server) listen() error {
	if s.options.ListenAddress == "" {
		return nil
	}
	tcpListener, udpConn, err := openSockets(s.options.ListenAddress)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serve(&dns.Server{PacketConn: udpConn, UDPSize: maxUDPMessageBytes})
	s.serve(&dns.Server{Listener: netutil.LimitListener(retryaccept.New(tcpListener, component), maxConcurrent)})
	s.address = udpConn.LocalAddr().String()
	logging.For(component).
		WithField(logging.Address, s.address).
		WithField("zone", s.options.Settings.Origin).
		Info("listening")
	s.startNotifying()
	return nil
}

// serve starts a listener, whose goroutine Close ends and waits for. The caller holds the lock.
func (s *Server) serve(listener *dns.Server) {
	listener.Handler = s
	listener.TsigProvider = s.keys
	listener.MsgAcceptFunc = s.acceptHeader
	listener.MaxTCPQueries = maxQueriesPerConnection
	s.listeners = append(s.listeners, listener)
	s.listenerGoroutines.Go(func() {
		err := listener.ActivateAndServe()
		if err == nil {
			return
		}
		select {
		case <-s.closing: // the socket was closed before the listener began to serve
		default:
			logging.For(component).WithError(err).Error("listener failed")
		}
	})
}

// shutDown stops a listener, also one that has not begun to serve.
func shutDown(listener *dns.Server) {
	if listener.Shutdown() == nil {
		return
	}
	// The listener has not begun to serve. Closing its socket ends it as soon as it does.
	if listener.Listener != nil {
		_ = listener.Listener.Close()
		return
	}
	_ = listener.PacketConn.Close()
}
