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

// logComponent names this package in the log.
const logComponent = "tls"

// checkInterval is the minimum time between two checks of the files: a renewed certificate is in use soon
// enough, and a burst of handshakes does not access the disk for each one.
const checkInterval = time.Second

// Files holds the paths of the PEM files with a certificate, its key, and the authority for the other side's
// certificates.
type Files struct {
	Certificate string `toml:"tls_certificate"`
	Key         string `toml:"tls_key"`
	Authority   string `toml:"tls_authority"` // for the other side; if empty, a server asks clients for none
}

// Enabled reports whether any file is configured.
func (f Files) Enabled() bool { return f != Files{} }

// fileCount is the number of files that Files names.
const fileCount = 3

// paths returns the paths in the order of modTimes. The path of a file that is not configured is empty.
func (f Files) paths() [fileCount]string { return [...]string{f.Certificate, f.Key, f.Authority} }

// modTimes are the modification times of the files; zero for a file that is not configured.
type modTimes [fileCount]time.Time

// equal reports whether no file has changed.
func (m modTimes) equal(other modTimes) bool {
	for n := range m {
		if !m[n].Equal(other[n]) {
			return false
		}
	}
	return true
}

// material is the content of the files.
type material struct {
	certificate *tls.Certificate // with its Leaf
	authorities *x509.CertPool   // nil if no authority is configured
	modified    modTimes
}

// CertificateSource provides the content that the files had when they were last valid. It is safe for concurrent use.
type CertificateSource struct {
	files Files

	mu        sync.Mutex // guards all fields below; held while the files are read
	current   material
	checkedAt time.Time
	lastError string // of the last reload, so that each error is logged once
}

// New reads the files and returns a Source for them. An error names the file that is missing or not valid.
func New(files Files) (*CertificateSource, error) {
	if files.Certificate == "" || files.Key == "" {
		return nil, errors.New("tls: certificate and key must both be named")
	}
	checkedAt := time.Now() // before reading: the next check sees changes made meanwhile
	current, err := files.load()
	if err != nil {
		return nil, err
	}
	return &CertificateSource{files: files, current: current, checkedAt: checkedAt}, nil
}

// load reads the files. It takes their modification times before reading, so that files that change meanwhile
// are read again.
func (f Files) load() (material, error) {
	modified, err := f.stat()
	if err != nil {
		return material{}, err
	}
	certificate, err := f.loadCertificate()
	if err != nil {
		return material{}, err
	}
	authorities, err := f.loadAuthorities()
	if err != nil {
		return material{}, err
	}
	return material{certificate: certificate, authorities: authorities, modified: modified}, nil
}

// stat returns the modification times of the files.
func (f Files) stat() (modTimes, error) {
	var modified modTimes
	for n, path := range f.paths() {
		if path == "" {
			continue
		}
		info, err := os.Stat(path)
		if err != nil {
			return modTimes{}, fmt.Errorf("tls: %w", err)
		}
		modified[n] = info.ModTime()
	}
	return modified, nil
}

// loadCertificate reads the certificate with its key, and parses its leaf.
func (f Files) loadCertificate() (*tls.Certificate, error) {
	pair, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return nil, fmt.Errorf("tls: %s with %s: %w", f.Certificate, f.Key, err)
	}
	if pair.Leaf != nil {
		return &pair, nil
	}
	// With GODEBUG=x509keypairleaf=0, LoadX509KeyPair does not set Leaf.
	if pair.Leaf, err = x509.ParseCertificate(pair.Certificate[0]); err != nil {
		return nil, fmt.Errorf("tls: %s: %w", f.Certificate, err)
	}
	return &pair, nil
}

// loadAuthorities returns nil if no authority is configured.
func (f Files) loadAuthorities() (*x509.CertPool, error) {
	if f.Authority == "" {
		return nil, nil
	}
	text, err := os.ReadFile(f.Authority)
	if err != nil {
		return nil, fmt.Errorf("tls: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, fmt.Errorf("tls: %s holds no certificate", f.Authority)
	}
	return pool, nil
}

// ExpiresIn returns how long the certificate remains valid. A negative value means that it has expired.
func (s *CertificateSource) ExpiresIn() time.Duration {
	return time.Until(s.latest().certificate.Leaf.NotAfter)
}

// latest returns the current material. It first checks the files if the last check was at least checkInterval
// ago.
func (s *CertificateSource) latest() material {
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

// reload replaces the current material if the files are valid. An error is logged once and not at each check.
// The caller holds the lock.
func (s *CertificateSource) reload() {
	fresh, err := s.files.load()
	if err == nil {
		s.current = fresh
		s.lastError = ""
		until := fresh.certificate.Leaf.NotAfter.UTC().Format(time.RFC3339)
		logging.For(logComponent).WithField("until", until).Info("certificate reloaded")
		return
	}
	if text := err.Error(); text != s.lastError {
		s.lastError = text
		logging.For(logComponent).WithField(logging.Error, text).Error("certificate reload failed")
	}
}
