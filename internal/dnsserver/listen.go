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
	// maxConcurrent limits the open TCP connections, and separately the messages being handled. There are few
	// updaters and secondaries.
	maxConcurrent = 64
	// maxUDPMessageBytes is the size of the largest UDP message that is received.
	maxUDPMessageBytes = 4096
	// maxQueriesPerConnection is the number of queries after which a TCP connection is closed.
	maxQueriesPerConnection = 1024
	// ephemeralPort is the port in a listen address with which the system chooses a free port.
	ephemeralPort = "0"
)

// openSockets listens on the same port over TCP and UDP. If the system chooses the port, openSockets retries until a
// port is free for both.
func openSockets(address string) (net.Listener, net.PacketConn, error) {
	// The sockets are not bound to a caller's context, because Close closes them.
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
		_ = tcpListener.Close() // no client has connected yet
		if _, port, _ := net.SplitHostPort(address); port != ephemeralPort {
			return nil, nil, err
		}
		// The system chose a port whose UDP side is in use by another socket. A retry gets another port.
	}
}

// listen serves the zone on the configured address, if any, and notifies the secondaries.
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

// serve starts a listener in a goroutine. Close stops the goroutine and waits for it. The caller holds the lock.
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

// shutDown stops a listener, even if it has not begun to serve.
func shutDown(listener *dns.Server) {
	if listener.Shutdown() == nil {
		return
	}
	// The listener has not begun to serve. With its socket closed, it returns as soon as it begins.
	if listener.Listener != nil {
		_ = listener.Listener.Close()
		return
	}
	_ = listener.PacketConn.Close()
}
