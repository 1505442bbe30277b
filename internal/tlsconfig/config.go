package tlsconfig

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
)

var errNoAuthority = errors.New("tls: no authority is named to check the other side by")

// ServerConfig returns the configuration for listeners. Each handshake uses the certificate that is current
// at that time.
func (s *Source) ServerConfig() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, GetConfigForClient: s.configForClient}
}

func (s *Source) configForClient(*tls.ClientHelloInfo) (*tls.Config, error) {
	latest := s.latest()
	config := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{*latest.certificate}}
	if latest.authorities != nil {
		config.ClientCAs = latest.authorities
		config.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return config, nil
}

// ClientConfig returns the configuration for connections to a server whose certificate is signed by the
// authority. The name in the certificate need not match the address: replicas are named by addresses, which
// certificates seldom contain, and the authority belongs to the installation itself.
func (s *Source) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion:           tls.VersionTLS12,
		InsecureSkipVerify:   true, // verifyServer checks the certificate, except its name
		GetClientCertificate: s.clientCertificate,
		VerifyConnection:     s.verifyServer,
	}
}

func (s *Source) clientCertificate(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
	return s.latest().certificate, nil
}

// verifyServer checks that the authority has signed the server's certificate, directly or through
// intermediate certificates that the server presents.
func (s *Source) verifyServer(state tls.ConnectionState) error {
	authorities := s.latest().authorities
	if authorities == nil {
		return errNoAuthority
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         authorities,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return err
}
