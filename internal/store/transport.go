package store

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"

	"fawnplank/internal/tlsconfig"
)

const (
	// transportMaxIdleConns is how many idle connections to each other replica Raft reuses.
	transportMaxIdleConns = 3
	// transportTimeout bounds a message between replicas.
	transportTimeout = 2 * time.Second
)

// newTransport opens Raft's address, with TLS if the options ask for it.
func (s *Store) newTransport(logger hclog.Logger) (*raft.NetworkTransport, error) {
	address := s.options.Self.Raft
	advertised, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, err
	}
	if s.options.TLS == nil {
		return raft.NewTCPTransportWithLogger(address, advertised, transportMaxIdleConns, transportTimeout, logger)
	}
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	layer := &tlsStreamLayer{
		Listener:   tls.NewListener(listener, s.options.TLS.ServerConfig()),
		advertised: advertised,
		source:     s.options.TLS,
	}
	return raft.NewNetworkTransportWithLogger(layer, transportMaxIdleConns, transportTimeout, logger), nil
}

// tlsStreamLayer carries Raft's messages between replicas over TLS.
type tlsStreamLayer struct {
	net.Listener
	advertised net.Addr
	source     *tlsconfig.CertificateSource
}

// Addr returns the address at which the others reach this replica.
func (l *tlsStreamLayer) Addr() net.Addr { return l.advertised }

// Dial connects to another replica.
func (l *tlsStreamLayer) Dial(address raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	dialer := &tls.Dialer{NetDialer: &net.Dialer{Timeout: timeout}, Config: l.source.ClientConfig()}
	return dialer.DialContext(context.Background(), "tcp", string(address))
}
