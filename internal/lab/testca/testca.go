// Package testca implements a certificate authority for the laboratory and for tests, in place of the authority of a
// real installation. The authority's private key is held only in memory. An Authority is not safe for concurrent use.
package testca

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"fawnplank/internal/tlsconfig"
)

const (
	// backdating is how far before the time of signing a certificate's validity begins, so that a peer whose clock
	// is slow accepts the certificate.
	backdating = time.Hour

	// authorityValidity is the validity of the authority's own certificate.
	authorityValidity = 24 * time.Hour
)

// Authority is a certificate authority with a self-signed certificate.
type Authority struct {
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
	lastSerial  int64
}

// New generates an authority whose certificate has the given common name.
func New(name string) (*Authority, error) {
	key, err := newKey()
	if err != nil {
		return nil, err
	}
	template := newTemplate(1, name, authorityValidity)
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, fmt.Errorf("testca: sign certificate of authority %s: %w", name, err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("testca: parse certificate of authority %s: %w", name, err)
	}
	return &Authority{key: key, certificate: certificate, lastSerial: 1}, nil
}

// IssueCertificate signs a certificate for 127.0.0.1 and writes it, its key and the authority's own certificate to
// folder, where it overwrites files of the same names. The certificate is valid from an hour ago until validity from
// now.
func (a *Authority) IssueCertificate(folder, name string, validity time.Duration) (tlsconfig.Files, error) {
	files := tlsconfig.Files{
		Certificate: filepath.Join(folder, name+".pem"),
		Key:         filepath.Join(folder, name+".key"),
		Authority:   filepath.Join(folder, "authority.pem"),
	}
	key, err := newKey()
	if err != nil {
		return files, err
	}
	der, err := a.sign(&key.PublicKey, name, validity)
	if err != nil {
		return files, err
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return files, fmt.Errorf("testca: encode key of %s: %w", name, err)
	}
	if err := writePEM(files.Key, "PRIVATE KEY", keyDER); err != nil {
		return files, err
	}
	if err := writePEM(files.Certificate, "CERTIFICATE", der); err != nil {
		return files, err
	}
	return files, writePEM(files.Authority, "CERTIFICATE", a.certificate.Raw)
}

// sign returns a DER-encoded certificate for a server and client at 127.0.0.1.
func (a *Authority) sign(key *ecdsa.PublicKey, name string, validity time.Duration) ([]byte, error) {
	a.lastSerial++
	template := newTemplate(a.lastSerial, name, validity)
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	template.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1)}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, key, a.key)
	if err != nil {
		return nil, fmt.Errorf("testca: sign certificate of %s: %w", name, err)
	}
	return der, nil
}

func newKey() (*ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("testca: generate key: %w", err)
	}
	return key, nil
}

// newTemplate returns a template with the fields that all certificates need.
func newTemplate(serial int64, name string, validity time.Duration) *x509.Certificate {
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-backdating),
		NotAfter:     now.Add(validity),
	}
}

// writePEM writes a PEM block to a file that only its owner can read.
func writePEM(path, blockType string, content []byte) error {
	encoded := pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: content})
	if err := os.WriteFile(path, encoded, 0o600); err != nil {
		return fmt.Errorf("testca: write %s: %w", path, err)
	}
	return nil
}
