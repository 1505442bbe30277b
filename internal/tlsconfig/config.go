package tlsconfig

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
)

// minVersion is the oldest version of TLS that either side accepts.
const minVersion = tls.VersionTLS12

// errNoAuthority reports that a client has nothing to check the server's certificate by.
var errNoAuthority = errors.New("tls: no authority is named to check the other side by")

// ServerConfig returns the configuration for listeners. Each handshake uses the certificate that is current
// at that time.
func (s *CertificateSource) ServerConfig() *tls.Config {
	return &tls.Config{MinVersion: minVersion, GetConfigForClient: s.configForClient}
}

// configForClient returns the configuration for one handshake. It requires a client's certificate if an
// authority is configured.
func (s *CertificateSource) configForClient(*tls.ClientHelloInfo) (*tls.Config, error) {
	latest := s.latest()
	config := &tls.Config{MinVersion: minVersion, Certificates: []tls.Certificate{*latest.certificate}}
	if latest.authorities != nil {
		config.ClientCAs = latest.authorities
		config.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return config, nil
}

// ClientConfig returns the configuration for connections to a server whose certificate is signed by the
// authority. The name in the certificate need not match the address: replicas are named by addresses, which
// certificates seldom contain, and the authority belongs to the installation itself.
func (s *CertificateSource) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion:           minVersion,
		InsecureSkipVerify:   true, // verifyServer checks the certificate, except its name
		GetClientCertificate: s.clientCertificate,
		VerifyConnection:     s.verifyServer,
	}
}

// clientCertificate returns the certificate that a client presents.
func (s *CertificateSource) clientCertificate(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
	return s.latest().certificate, nil
}

// verifyServer checks that the authority has signed the server's certificate, directly or through
// intermediate certificates that the server presents.
func (s *CertificateSource) verifyServer(state tls.ConnectionState) error {
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
