package testca

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"testing"
	"time"
)

func newTestAuthority(t *testing.T) *Authority {
	t.Helper()
	authority, err := New(t.Name())
	if err != nil {
		t.Fatal(err)
	}
	return authority
}

func TestAuthority_IssuesCertificatesItVerifies(t *testing.T) {
	authority := newTestAuthority(t)
	files, err := authority.IssueCertificate(t.TempDir(), "instance", time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	pair, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		t.Fatal(err)
	}
	authorityPEM, err := os.ReadFile(files.Authority)
	if err != nil {
		t.Fatal(err)
	}
	ownRoots, otherRoots := x509.NewCertPool(), x509.NewCertPool()
	if !ownRoots.AppendCertsFromPEM(authorityPEM) {
		t.Fatal("the authority's certificate is not PEM")
	}
	otherRoots.AddCert(newTestAuthority(t).certificate)
	verify := func(roots *x509.CertPool, after time.Duration, usage x509.ExtKeyUsage) error {
		_, err := pair.Leaf.Verify(x509.VerifyOptions{
			DNSName:     "127.0.0.1",
			Roots:       roots,
			CurrentTime: time.Now().Add(after),
			KeyUsages:   []x509.ExtKeyUsage{usage},
		})
		return err
	}
	for _, usage := range []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth} {
		if err := verify(ownRoots, 0, usage); err != nil {
			t.Errorf("usage %d: %v", usage, err)
		}
	}
	if verify(ownRoots, 2*time.Minute, x509.ExtKeyUsageServerAuth) == nil {
		t.Error("the certificate verifies after the end of its validity")
	}
	if verify(otherRoots, 0, x509.ExtKeyUsageServerAuth) == nil {
		t.Error("the certificate verifies against another authority")
	}
}

func TestAuthority_IssueCertificateReplacesFiles(t *testing.T) {
	authority := newTestAuthority(t)
	folder := t.TempDir()
	var leaves []*x509.Certificate
	for range 2 {
		files, err := authority.IssueCertificate(folder, "instance", time.Minute)
		if err != nil {
			t.Fatal(err)
		}
		pair, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
		if err != nil {
			t.Fatal(err)
		}
		leaves = append(leaves, pair.Leaf)
		info, err := os.Stat(files.Key)
		if err != nil {
			t.Fatal(err)
		}
		if mode := info.Mode().Perm(); mode != 0o600 {
			t.Errorf("the key file has mode %o, want 600", mode)
		}
	}
	if leaves[0].SerialNumber.Cmp(leaves[1].SerialNumber) == 0 || leaves[0].Equal(leaves[1]) {
		t.Error("the second certificate has the serial number or the content of the first one")
	}
}

func TestAuthority_IssueCertificateReportsMissingFolder(t *testing.T) {
	missing := filepath.Join(t.TempDir(), "missing")
	_, err := newTestAuthority(t).IssueCertificate(missing, "instance", time.Minute)
	if !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("error %v, want fs.ErrNotExist", err)
	}
}
