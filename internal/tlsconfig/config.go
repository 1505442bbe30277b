package tlsconfig

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
)

// minVersion is the oldest version of TLS that either side accepts.
const minVersion = tls.VersionTLS12

// errNoAuthority is the error of a client without a certificate authority to verify the server's certificate.
var errNoAuthority = errors.New("tls: no certificate authority is configured to verify the server's certificate")

// ServerConfig returns the configuration for listeners. Each handshake uses the certificate that is current at that
// time.
func (s *CertificateSource) ServerConfig() *tls.Config {
	return &tls.Config{MinVersion: minVersion, GetConfigForClient: s.configForClient}
}

// configForClient returns the configuration for one handshake. It requires a certificate of the client if a certificate
// authority is configured.
func (s *CertificateSource) configForClient(*tls.ClientHelloInfo) (*tls.Config, error) {
	currentCredentials := s.currentCredentials()
	config := &tls.Config{MinVersion: minVersion, Certificates: []tls.Certificate{*currentCredentials.certificate}}
	if currentCredentials.authorities != nil {
		config.ClientCAs = currentCredentials.authorities
		config.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return config, nil
}

// ClientConfig returns the configuration for connections to a server whose certificate is signed by the certificate
// authority. The host name in the certificate is not verified: replicas are configured by addresses, which certificates
// seldom contain, and the certificate authority issues certificates only for this installation.
func (s *CertificateSource) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion:           minVersion,
		InsecureSkipVerify:   true, // verifyServer verifies the certificate, but not its host name
		GetClientCertificate: s.clientCertificate,
		VerifyConnection:     s.verifyServer,
	}
}

// clientCertificate returns the certificate that a client presents to the server.
func (s *CertificateSource) clientCertificate(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
	return s.currentCredentials().certificate, nil
}

// verifyServer verifies that the certificate authority has signed the server's certificate, directly or through
// intermediate certificates that the server presents.
func (s *CertificateSource) verifyServer(state tls.ConnectionState) error {
	authorities := s.currentCredentials().authorities
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
