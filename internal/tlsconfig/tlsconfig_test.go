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

// newAuthority makes a certificate authority.
func newAuthority(t *testing.T) *testca.Authority {
	t.Helper()
	authority, err := testca.New(t.Name())
	if err != nil {
		t.Fatal(err)
	}
	return authority
}

// sign writes a certificate of an authority to a folder, in place of an earlier one.
func sign(t *testing.T, authority *testca.Authority, folder string, validity time.Duration) tlsconfig.Files {
	t.Helper()
	files, err := authority.IssueCertificate(folder, "pair", validity)
	if err != nil {
		t.Fatal(err)
	}
	return files
}

// newSource returns a source of valid files.
func newSource(t *testing.T, files tlsconfig.Files) *tlsconfig.Source {
	t.Helper()
	source, err := tlsconfig.New(files)
	if err != nil {
		t.Fatal(err)
	}
	return source
}

// handshake connects a client to a server over loopback, and returns the error of each side.
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

// finishHandshake runs one side of a handshake, for five seconds at most.
func finishHandshake(t *testing.T, conn *tls.Conn) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	t.Cleanup(func() {
		_ = conn.Close() // nothing is sent after the handshake
	})
	return conn.HandshakeContext(ctx)
}

func TestNew_FaultsNameTheFile(t *testing.T) {
	files := sign(t, newAuthority(t), t.TempDir(), time.Hour)
	noise := filepath.Join(t.TempDir(), "noise")
	if err := os.WriteFile(noise, []byte("noise"), 0o600); err != nil {
		t.Fatal(err)
	}
	for name, test := range map[string]struct {
		files tlsconfig.Files
		want  string
	}{
		"no key": {tlsconfig.Files{Certificate: files.Certificate},
			"certificate and key must both be named"},
		"no certificate": {tlsconfig.Files{Key: files.Key},
			"certificate and key must both be named"},
		"missing": {tlsconfig.Files{Certificate: noise + "-missing", Key: files.Key},
			"noise-missing: no such file"},
		"broken certificate": {tlsconfig.Files{Certificate: noise, Key: files.Key}, noise},
		"broken authority": {
			tlsconfig.Files{Certificate: files.Certificate, Key: files.Key, Authority: noise},
			noise + " holds no certificate",
		},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := tlsconfig.New(test.files)
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("%v, want %q", err, test.want)
			}
		})
	}
}

// TestSource_ConfigsVerifyBothSides checks that each side requires a certificate of its authority.
func TestSource_ConfigsVerifyBothSides(t *testing.T) {
	own := newAuthority(t)
	other := newAuthority(t)
	files := sign(t, own, t.TempDir(), time.Hour)
	server := newSource(t, files)
	peer := newSource(t, sign(t, own, t.TempDir(), time.Hour))
	stranger := newSource(t, sign(t, other, t.TempDir(), time.Hour))
	serverErr, clientErr := handshake(t, server.ServerConfig(), peer.ClientConfig())
	if serverErr != nil || clientErr != nil {
		t.Errorf("of one authority: %v, %v", serverErr, clientErr)
	}
	serverErr, clientErr = handshake(t, server.ServerConfig(), stranger.ClientConfig())
	if serverErr == nil || clientErr == nil {
		t.Errorf("of another authority: %v, %v", serverErr, clientErr)
	}
	anonymous := &tls.Config{InsecureSkipVerify: true}
	if serverErr, _ := handshake(t, server.ServerConfig(), anonymous); serverErr == nil {
		t.Error("a client without a certificate is accepted")
	}
	files.Authority = ""
	open := newSource(t, files)
	serverErr, clientErr = handshake(t, open.ServerConfig(), anonymous)
	if serverErr != nil || clientErr != nil {
		t.Errorf("without an authority, the client's certificate is asked for: %v, %v", serverErr, clientErr)
	}
	_, clientErr = handshake(t, server.ServerConfig(), open.ClientConfig())
	if clientErr == nil || !strings.Contains(clientErr.Error(), "no authority is named") {
		t.Errorf("a client without an authority: %v", clientErr)
	}
}

// TestSource_FollowsItsFiles checks that a renewed certificate comes into use without a restart, and that a
// broken one leaves the old one in use.
func TestSource_FollowsItsFiles(t *testing.T) {
	authority := newAuthority(t)
	folder := t.TempDir()
	files := sign(t, authority, folder, time.Hour)
	source := newSource(t, files)
	if remaining := source.ExpiresIn(); remaining <= 0 || remaining > time.Hour {
		t.Fatalf("expires in %v", remaining)
	}
	time.Sleep(20 * time.Millisecond) // so that the modification times differ
	sign(t, authority, folder, 48*time.Hour)
	testutil.Eventually(t, "the renewed certificate is in use", func() bool {
		return source.ExpiresIn() > 2*time.Hour
	})
	if err := os.WriteFile(files.Certificate, []byte("noise"), 0o600); err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(1200 * time.Millisecond); time.Now().Before(deadline); {
		if remaining := source.ExpiresIn(); remaining < 2*time.Hour {
			t.Fatalf("expires in %v, with a broken file", remaining)
		}
		time.Sleep(50 * time.Millisecond)
	}
	sign(t, authority, folder, time.Hour)
	testutil.Eventually(t, "the mended certificate is in use", func() bool {
		return source.ExpiresIn() < 2*time.Hour
	})
}
