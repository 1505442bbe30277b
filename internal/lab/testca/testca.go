// Package authority is a stand-in for an installation's certificate authority: it signs certificates for the
// laboratory and for tests. Its key is in memory alone.
package testca

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"fawnplank/internal/tlsconfig"
)

// Authority signs.
type Authority struct {
	key    *ecdsa.PrivateKey
	cert   *x509.Certificate
	serial int64
}

// New makes one of a name.
func New(name string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	t := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, NotBefore: now.Add(-time.Hour), NotAfter: now.Add(24 * time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	text, err := x509.CreateCertificate(rand.Reader, t, t, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(text)
	return &Authority{key, cert, 1}, err
}

// Write writes a certificate for loopback addresses that holds for a time, its key, and the authority's own
// certificate into a folder, over those of before.
func (a *Authority) Write(folder, name string, holds time.Duration) (tlsconfig.Files, error) {
	f := tlsconfig.Files{Certificate: filepath.Join(folder, name+".pem"), Key: filepath.Join(folder, name+".key"), Authority: filepath.Join(folder, "authority.pem")}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return f, err
	}
	a.serial++
	now := time.Now()
	t := &x509.Certificate{SerialNumber: big.NewInt(a.serial), Subject: pkix.Name{CommonName: name}, NotBefore: now.Add(-time.Hour), NotAfter: now.Add(holds),
		KeyUsage: x509.KeyUsageDigitalSignature, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}}
	text, err := x509.CreateCertificate(rand.Reader, t, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return f, err
	}
	secret, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return f, err
	}
	for _, x := range []struct {
		path, kind string
		text       []byte
	}{{f.Key, "PRIVATE KEY", secret}, {f.Certificate, "CERTIFICATE", text}, {f.Authority, "CERTIFICATE", a.cert.Raw}} {
		if err := os.WriteFile(x.path, pem.EncodeToMemory(&pem.Block{Type: x.kind, Bytes: x.text}), 0o600); err != nil {
			return f, err
		}
	}
	return f, nil
}
