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

// logComponent is this package's component in log entries.
const logComponent = "tls"

// checkInterval is the minimum time between two checks of the files. It bounds the delay until a renewed certificate is
// in use, and prevents a disk access for each handshake in a burst.
const checkInterval = time.Second

// Files holds the paths of the PEM files with a certificate, its private key, and the certificate authority that signs
// the certificates of the other side.
type Files struct {
	Certificate string `toml:"tls_certificate"`
	Key         string `toml:"tls_key"`
	Authority   string `toml:"tls_authority"` // if empty, a server requires no certificate of clients
}

// Enabled reports whether any file is configured.
func (f Files) Enabled() bool { return f != Files{} }

// fileCount is the number of paths in Files.
const fileCount = 3

// paths returns the paths in the order of the elements of modTimes. The path of a file that is not configured is empty.
func (f Files) paths() [fileCount]string { return [...]string{f.Certificate, f.Key, f.Authority} }

// modTimes holds the modification times of the files. The time of a file that is not configured is zero.
type modTimes [fileCount]time.Time

// equal reports whether all modification times are the same as in other.
func (m modTimes) equal(other modTimes) bool {
	for index := range m {
		if !m[index].Equal(other[index]) {
			return false
		}
	}
	return true
}

// credentials holds the contents and the modification times of the files.
type credentials struct {
	certificate *tls.Certificate // Leaf is set
	authorities *x509.CertPool   // nil if no authority is configured
	modified    modTimes
}

// CertificateSource provides the content that the files had when they were last valid. It is safe for concurrent use.
type CertificateSource struct {
	files Files

	mu        sync.Mutex // guards the fields below; also held while the files are read
	current   credentials
	checkedAt time.Time
	lastError string // the error of the last reload, or empty; prevents logging the same error at each check
}

// New reads the files and returns a CertificateSource for them. An error contains the path of the missing or invalid
// file.
func New(files Files) (*CertificateSource, error) {
	if files.Certificate == "" || files.Key == "" {
		return nil, errors.New("tls: certificate and key must both be configured")
	}
	checkedAt := time.Now() // taken before the read, so that a change during the read is detected within checkInterval
	current, err := files.load()
	if err != nil {
		return nil, err
	}
	return &CertificateSource{files: files, current: current, checkedAt: checkedAt}, nil
}

// load reads the files. It takes their modification times before it reads them, so that the next check detects files
// that change meanwhile.
func (f Files) load() (credentials, error) {
	modified, err := f.stat()
	if err != nil {
		return credentials{}, err
	}
	certificate, err := f.loadCertificate()
	if err != nil {
		return credentials{}, err
	}
	authorities, err := f.loadAuthorities()
	if err != nil {
		return credentials{}, err
	}
	return credentials{certificate: certificate, authorities: authorities, modified: modified}, nil
}

// stat returns the modification times of the files.
func (f Files) stat() (modTimes, error) {
	var modified modTimes
	for index, path := range f.paths() {
		if path == "" {
			continue
		}
		info, err := os.Stat(path)
		if err != nil {
			return modTimes{}, fmt.Errorf("tls: %w", err)
		}
		modified[index] = info.ModTime()
	}
	return modified, nil
}

// loadCertificate reads the certificate and its private key, and sets Leaf.
func (f Files) loadCertificate() (*tls.Certificate, error) {
	certificate, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return nil, fmt.Errorf("tls: %s with %s: %w", f.Certificate, f.Key, err)
	}
	if certificate.Leaf != nil {
		return &certificate, nil
	}
	// With GODEBUG=x509keypairleaf=0, tls.LoadX509KeyPair does not set Leaf.
	if certificate.Leaf, err = x509.ParseCertificate(certificate.Certificate[0]); err != nil {
		return nil, fmt.Errorf("tls: %s: %w", f.Certificate, err)
	}
	return &certificate, nil
}

// loadAuthorities reads the certificates of the certificate authority. It returns nil if none is configured.
func (f Files) loadAuthorities() (*x509.CertPool, error) {
	if f.Authority == "" {
		return nil, nil
	}
	pemData, err := os.ReadFile(f.Authority)
	if err != nil {
		return nil, fmt.Errorf("tls: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pemData) {
		return nil, fmt.Errorf("tls: %s contains no certificate", f.Authority)
	}
	return pool, nil
}

// ExpiresIn returns the time until the certificate expires. The time is negative if the certificate has expired.
func (s *CertificateSource) ExpiresIn() time.Duration {
	return time.Until(s.currentCredentials().certificate.Leaf.NotAfter)
}

// currentCredentials returns the current credentials. It first checks the files for changes if the last check was at
// least checkInterval ago.
func (s *CertificateSource) currentCredentials() credentials {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.checkedAt) < checkInterval {
		return s.current
	}
	s.checkedAt = time.Now()
	if modified, err := s.files.stat(); err != nil || !modified.equal(s.current.modified) {
		s.reload()
	}
	return s.current
}

// reload replaces the current credentials if the files are valid. It logs an error only if it differs from that of the
// previous reload. The caller must hold mu.
func (s *CertificateSource) reload() {
	reloaded, err := s.files.load()
	if err == nil {
		s.current = reloaded
		s.lastError = ""
		expiry := reloaded.certificate.Leaf.NotAfter.UTC().Format(time.RFC3339)
		logging.For(logComponent).WithField("until", expiry).Info("certificate reloaded")
		return
	}
	if text := err.Error(); text != s.lastError {
		s.lastError = text
		logging.For(logComponent).WithField(logging.Error, text).Error("certificate reload failed")
	}
}
