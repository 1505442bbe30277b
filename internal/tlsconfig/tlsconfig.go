// Package certs gives listeners and clients their TLS certificates from files, which are read again when they change,
// without a restart: a new pair is taken if it fits and the old one goes on if it does not. It tells when the
// certificate runs out. Where an authority for the other side is named, both sides must show a certificate of its.
package tlsconfig

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"fawnplank/internal/logging"
)

// Files are where a certificate, its key and the authority of the other side's are, in PEM.
type Files struct {
	Certificate string `toml:"tls_certificate"`
	Key         string `toml:"tls_key"`
	Authority   string `toml:"tls_authority"` // of the other side; empty: a server asks for none
}

// Enabled says whether any is named.
func (f Files) Enabled() bool { return f != Files{} }

// Source keeps what the files held last.
type Source struct {
	files  Files
	mu     sync.Mutex
	pair   *tls.Certificate
	pool   *x509.CertPool
	stamp  [3]time.Time
	looked time.Time
	bad    string
}

// between two looks at the files.
const between = time.Second

// New reads the files; an error names the file.
func New(f Files) (*Source, error) {
	if f.Certificate == "" || f.Key == "" {
		return nil, errors.New("tls: certificate and key must both be named")
	}
	s := &Source{files: f, looked: time.Now()}
	return s, s.read()
}

func (s *Source) read() error {
	var stamp [3]time.Time
	for n, path := range []string{s.files.Certificate, s.files.Key, s.files.Authority} {
		if path == "" {
			continue
		}
		info, err := os.Stat(path)
		if err != nil {
			return fmt.Errorf("tls: %w", err)
		}
		stamp[n] = info.ModTime()
	}
	pair, err := tls.LoadX509KeyPair(s.files.Certificate, s.files.Key)
	if err != nil {
		return fmt.Errorf("tls: %s with %s: %w", s.files.Certificate, s.files.Key, err)
	}
	if pair.Leaf == nil {
		if pair.Leaf, err = x509.ParseCertificate(pair.Certificate[0]); err != nil {
			return fmt.Errorf("tls: %s: %w", s.files.Certificate, err)
		}
	}
	var pool *x509.CertPool
	if s.files.Authority != "" {
		text, err := os.ReadFile(s.files.Authority)
		if err != nil {
			return fmt.Errorf("tls: %w", err)
		}
		if pool = x509.NewCertPool(); !pool.AppendCertsFromPEM(text) {
			return fmt.Errorf("tls: %s holds no certificate", s.files.Authority)
		}
	}
	s.pair, s.pool, s.stamp = &pair, pool, stamp
	return nil
}

// now is what holds: the files are looked at once a second at most.
func (s *Source) now() (*tls.Certificate, *x509.CertPool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.looked) < between {
		return s.pair, s.pool
	}
	s.looked = time.Now()
	changed := false
	for n, path := range []string{s.files.Certificate, s.files.Key, s.files.Authority} {
		if info, err := os.Stat(path); path != "" && (err != nil || !info.ModTime().Equal(s.stamp[n])) {
			changed = true
		}
	}
	if !changed {
		return s.pair, s.pool
	}
	said := ""
	if err := s.read(); err != nil {
		said = err.Error()
	} else {
		logging.For("tls").WithField("until", s.pair.Leaf.NotAfter.UTC().Format(time.RFC3339)).Info("a new certificate is taken")
	}
	if said != s.bad && said != "" {
		logging.For("tls").WithField(logging.Error, said).Error("the new certificate is not taken, the old one goes on")
	}
	s.bad = said
	return s.pair, s.pool
}

// ExpiresIn is how long the certificate holds; below 0: it has run out.
func (s *Source) ExpiresIn() time.Duration {
	pair, _ := s.now()
	return time.Until(pair.Leaf.NotAfter)
}

// ServerConfig is for listeners.
func (s *Source) ServerConfig() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
		pair, pool := s.now()
		c := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{*pair}}
		if pool != nil {
			c.ClientCAs, c.ClientAuth = pool, tls.RequireAndVerifyClientCert
		}
		return c, nil
	}}
}

// ClientConfig is for connections to a server whose certificate the authority has signed. Its name need not be the address's:
// replicas are named by addresses that certificates seldom hold, and the authority is the installation's own.
func (s *Source) ClientConfig() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, InsecureSkipVerify: true, // checked below, against the authority
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			pair, _ := s.now()
			return pair, nil
		},
		VerifyConnection: func(c tls.ConnectionState) error {
			_, pool := s.now()
			if pool == nil {
				return errors.New("tls: no authority is named to check the other side by")
			}
			between := x509.NewCertPool()
			for _, x := range c.PeerCertificates[1:] {
				between.AddCert(x)
			}
			_, err := c.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: pool, Intermediates: between, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}})
			return err
		}}
}
