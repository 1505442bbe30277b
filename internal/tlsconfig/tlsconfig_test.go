package tlsconfig_test

import (
	"context"
	"crypto/tls"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"fawnplank/internal/lab/testca"
	"fawnplank/internal/testutil"
	"fawnplank/internal/tlsconfig"
)

// newAuthority returns a new certificate authority.
func newAuthority(t *testing.T) *testca.Authority {
	t.Helper()
	authority, err := testca.New(t.Name())
	if err != nil {
		t.Fatal(err)
	}
	return authority
}

// issueCertificate writes a new certificate of an authority to a folder, and replaces the certificate from an earlier
// call with the same folder.
func issueCertificate(
	t *testing.T, authority *testca.Authority, folder string, validity time.Duration,
) tlsconfig.Files {
	t.Helper()
	files, err := authority.IssueCertificate(folder, "pair", validity)
	if err != nil {
		t.Fatal(err)
	}
	return files
}

// newCertificateSource returns a CertificateSource for files, which must be valid.
func newCertificateSource(t *testing.T, files tlsconfig.Files) *tlsconfig.CertificateSource {
	t.Helper()
	source, err := tlsconfig.New(files)
	if err != nil {
		t.Fatal(err)
	}
	return source
}

// handshake runs a TLS handshake over loopback, and returns the error of each side.
func handshake(t *testing.T, server, client *tls.Config) (serverErr, clientErr error) {
	t.Helper()
	listener := testutil.Listen(t)
	served := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			served <- err
			return
		}
		served <- finishHandshake(t, tls.Server(conn, server))
	}()
	var dialer net.Dialer
	conn, err := dialer.DialContext(t.Context(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	clientErr = finishHandshake(t, tls.Client(conn, client))
	return <-served, clientErr
}

// finishHandshake runs one side of a handshake, with a timeout of five seconds.
func finishHandshake(t *testing.T, conn *tls.Conn) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	t.Cleanup(func() {
		_ = conn.Close() // no data is sent after the handshake
	})
	return conn.HandshakeContext(ctx)
}

func TestNew_ErrorNamesFaultyFile(t *testing.T) {
	files := issueCertificate(t, newAuthority(t), t.TempDir(), time.Hour)
	invalidFile := filepath.Join(t.TempDir(), "noise")
	if err := os.WriteFile(invalidFile, []byte("noise"), 0o600); err != nil {
		t.Fatal(err)
	}
	for name, test := range map[string]struct {
		files tlsconfig.Files
		want  string
	}{
		"no key": {tlsconfig.Files{Certificate: files.Certificate},
			"certificate and key must both be configured"},
		"no certificate": {tlsconfig.Files{Key: files.Key},
			"certificate and key must both be configured"},
		"missing": {tlsconfig.Files{Certificate: invalidFile + "-missing", Key: files.Key},
			"noise-missing: no such file"},
		"invalid certificate": {tlsconfig.Files{Certificate: invalidFile, Key: files.Key}, invalidFile},
		"invalid authority": {
			tlsconfig.Files{Certificate: files.Certificate, Key: files.Key, Authority: invalidFile},
			invalidFile + " contains no certificate",
		},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := tlsconfig.New(test.files)
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("error %v, want %q", err, test.want)
			}
		})
	}
}

// TestCertificateSource_BothSidesVerifyPeer checks that each side requires the other to present a certificate of the
// configured authority, and that a server without an authority requires none.
func TestCertificateSource_BothSidesVerifyPeer(t *testing.T) {
	trusted := newAuthority(t)
	untrusted := newAuthority(t)
	files := issueCertificate(t, trusted, t.TempDir(), time.Hour)
	server := newCertificateSource(t, files)
	peer := newCertificateSource(t, issueCertificate(t, trusted, t.TempDir(), time.Hour))
	untrustedPeer := newCertificateSource(t, issueCertificate(t, untrusted, t.TempDir(), time.Hour))
	serverErr, clientErr := handshake(t, server.ServerConfig(), peer.ClientConfig())
	if serverErr != nil || clientErr != nil {
		t.Errorf("certificates of the same authority: server error %v, client error %v", serverErr, clientErr)
	}
	serverErr, clientErr = handshake(t, server.ServerConfig(), untrustedPeer.ClientConfig())
	if serverErr == nil || clientErr == nil {
		t.Errorf("certificates of different authorities: server error %v, client error %v", serverErr, clientErr)
	}
	anonymous := &tls.Config{InsecureSkipVerify: true}
	if serverErr, _ := handshake(t, server.ServerConfig(), anonymous); serverErr == nil {
		t.Error("server accepted a client without a certificate")
	}
	files.Authority = ""
	withoutAuthority := newCertificateSource(t, files)
	serverErr, clientErr = handshake(t, withoutAuthority.ServerConfig(), anonymous)
	if serverErr != nil || clientErr != nil {
		t.Errorf("server without an authority: server error %v, client error %v", serverErr, clientErr)
	}
	_, clientErr = handshake(t, server.ServerConfig(), withoutAuthority.ClientConfig())
	if clientErr == nil || !strings.Contains(clientErr.Error(), "no certificate authority is configured") {
		t.Errorf("client without an authority: error %v", clientErr)
	}
}

// TestCertificateSource_ReloadsChangedFiles checks that a renewed certificate is used without a restart, and that the
// previous certificate stays in use if the new file is invalid.
func TestCertificateSource_ReloadsChangedFiles(t *testing.T) {
	authority := newAuthority(t)
	folder := t.TempDir()
	files := issueCertificate(t, authority, folder, time.Hour)
	source := newCertificateSource(t, files)
	if remaining := source.ExpiresIn(); remaining <= 0 || remaining > time.Hour {
		t.Fatalf("expires in %v", remaining)
	}
	time.Sleep(20 * time.Millisecond) // so that the modification times differ
	issueCertificate(t, authority, folder, 48*time.Hour)
	testutil.Eventually(t, "the renewed certificate is in use", func() bool {
		return source.ExpiresIn() > 2*time.Hour
	})
	if err := os.WriteFile(files.Certificate, []byte("noise"), 0o600); err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(1200 * time.Millisecond); time.Now().Before(deadline); {
		if remaining := source.ExpiresIn(); remaining < 2*time.Hour {
			t.Fatalf("expires in %v after the file became invalid; the previous certificate is not in use", remaining)
		}
		time.Sleep(50 * time.Millisecond)
	}
	issueCertificate(t, authority, folder, time.Hour)
	testutil.Eventually(t, "the repaired certificate is in use", func() bool {
		return source.ExpiresIn() < 2*time.Hour
	})
}
