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
	// transportMaxIdleConns is how many idle connections Raft keeps to each other replica.
	transportMaxIdleConns = 3
	// transportTimeout bounds a message between replicas.
	transportTimeout = 2 * time.Second
)

// newTransport listens on Raft's address, and uses TLS if Options.TLS is set.
func (s *Store) newTransport(logger hclog.Logger) (*raft.NetworkTransport, error) {
	address := s.options.Self.Raft
	advertisedAddress, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, err
	}
	if s.options.TLS == nil {
		return raft.NewTCPTransportWithLogger(address, advertisedAddress, transportMaxIdleConns, transportTimeout, logger)
	}
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	streamLayer := &tlsStreamLayer{
		Listener:          tls.NewListener(listener, s.options.TLS.ServerConfig()),
		advertisedAddress: advertisedAddress,
		tlsSource:         s.options.TLS,
	}
	return raft.NewNetworkTransportWithLogger(streamLayer, transportMaxIdleConns, transportTimeout, logger), nil
}

// tlsStreamLayer carries Raft's messages between replicas over TLS.
type tlsStreamLayer struct {
	net.Listener
	advertisedAddress net.Addr
	tlsSource         *tlsconfig.CertificateSource
}

// Addr returns the address at which other replicas reach this replica.
func (l *tlsStreamLayer) Addr() net.Addr { return l.advertisedAddress }

// Dial connects to another replica.
func (l *tlsStreamLayer) Dial(address raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	dialer := &tls.Dialer{NetDialer: &net.Dialer{Timeout: timeout}, Config: l.tlsSource.ClientConfig()}
	return dialer.DialContext(context.Background(), "tcp", string(address))
}
