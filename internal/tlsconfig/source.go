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

// checkInterval is the time between two looks at the files: a renewed certificate is in use soon enough, and
// a burst of handshakes does not look at the disk for each.
const checkInterval = time.Second

// Files are where a certificate, its key and the authority of the other side's certificates are, in PEM.
type Files struct {
	Certificate string `toml:"tls_certificate"`
	Key         string `toml:"tls_key"`
	Authority   string `toml:"tls_authority"` // of the other side; empty: a server asks clients for none
}

// Enabled reports whether any file is named.
func (f Files) Enabled() bool { return f != Files{} }

// paths are the files in the order of modTimes; one that is not named is empty.
func (f Files) paths() [fileCount]string { return [...]string{f.Certificate, f.Key, f.Authority} }

const fileCount = 3

// modTimes are when the files were last written; zero for one that is not named.
type modTimes [fileCount]time.Time

func (m modTimes) equal(other modTimes) bool {
	for n := range m {
		if !m[n].Equal(other[n]) {
			return false
		}
	}
	return true
}

// material is what the files held.
type material struct {
	certificate *tls.Certificate // with its Leaf
	authorities *x509.CertPool   // nil: no authority is named
	modified    modTimes
}

// Source holds what the files held when they were last sound.
type Source struct {
	files Files

	mu        sync.Mutex // guards all that follows; it is held while the files are read
	current   material
	checkedAt time.Time
	lastError string // of the last reload, so that one is logged once
}

// New reads the files; an error names the file.
func New(files Files) (*Source, error) {
	if files.Certificate == "" || files.Key == "" {
		return nil, errors.New("tls: certificate and key must both be named")
	}
	checkedAt := time.Now() // before they are read: what changes meanwhile is seen at the next look
	current, err := files.load()
	if err != nil {
		return nil, err
	}
	return &Source{files: files, current: current, checkedAt: checkedAt}, nil
}

// load reads the files. The times are those before: what changes meanwhile is read again.
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

// stat returns when the files were last written.
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

func (f Files) loadCertificate() (*tls.Certificate, error) {
	pair, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return nil, fmt.Errorf("tls: %s with %s: %w", f.Certificate, f.Key, err)
	}
	if pair.Leaf != nil {
		return &pair, nil
	}
	// With GODEBUG=x509keypairleaf=0 the leaf is left out.
	if pair.Leaf, err = x509.ParseCertificate(pair.Certificate[0]); err != nil {
		return nil, fmt.Errorf("tls: %s: %w", f.Certificate, err)
	}
	return &pair, nil
}

// loadAuthorities returns nil where no authority is named.
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

// ExpiresIn is how long the certificate is valid for; below 0 it has expired.
func (s *Source) ExpiresIn() time.Duration {
	return time.Until(s.latest().certificate.Leaf.NotAfter)
}

// latest returns what is in use now, after a look at the files where the last one is checkInterval ago.
func (s *Source) latest() material {
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

// reload replaces what is in use, if the files are sound. A fault is logged once, not at each look. The lock
// is held.
func (s *Source) reload() {
	fresh, err := s.files.load()
	if err == nil {
		s.current = fresh
		s.lastError = ""
		until := fresh.certificate.Leaf.NotAfter.UTC().Format(time.RFC3339)
		logging.For("tls").WithField("until", until).Info("certificate reloaded")
		return
	}
	if text := err.Error(); text != s.lastError {
		s.lastError = text
		logging.For("tls").WithField(logging.Error, text).Error("certificate reload failed")
	}
}
