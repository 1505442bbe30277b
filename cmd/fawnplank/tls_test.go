package main

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"fawnplank/internal/lab/testca"
	"fawnplank/internal/testutil"
	"fawnplank/internal/tlsconfig"
)

func newTestAuthority(t *testing.T, name string) *testca.Authority {
	t.Helper()
	authority, err := testca.New(name)
	if err != nil {
		t.Fatal(err)
	}
	return authority
}

// writeCertificate issues a certificate of the authority and writes it, with its key, to a folder.
func writeCertificate(t *testing.T, authority *testca.Authority, folder, name string,
	validity time.Duration) tlsconfig.Files {
	t.Helper()
	files, err := authority.IssueCertificate(folder, name, validity)
	if err != nil {
		t.Fatal(err)
	}
	return files
}

// tlsFlags returns the flags for a client certificate, or none if there are no files.
func tlsFlags(files tlsconfig.Files) []string {
	if !files.Enabled() {
		return nil
	}
	return []string{
		"--tls-certificate", files.Certificate,
		"--tls-key", files.Key,
		"--tls-authority", files.Authority,
	}
}

// runWithTLS runs a store command against a replica with a client certificate.
func (r *replicaProcess) runWithTLS(t *testing.T, files tlsconfig.Files, args ...string) (string, error) {
	t.Helper()
	return runProgram(t, slices.Concat(tlsFlags(files), []string{"store"}, args, []string{"--at", r.apiAddress})...)
}

// hasLogged reports whether the replica's log contains a phrase.
func (r *replicaProcess) hasLogged(phrase string) bool {
	text, _ := os.ReadFile(r.logFile) // an unreadable log contains no phrase
	return strings.Contains(string(text), phrase)
}

// TestReplicas_TLS checks that commands with a certificate of the configured authority succeed at every replica, that
// commands without TLS or with a certificate of another authority fail, and that replicas load a renewed certificate
// without a restart but keep the old one if the new one is invalid.
func TestReplicas_TLS(t *testing.T) {
	folder, otherFolder := t.TempDir(), t.TempDir()
	own, other := newTestAuthority(t, "own"), newTestAuthority(t, "other")
	files := writeCertificate(t, own, folder, "replica", time.Hour)
	otherFiles := writeCertificate(t, other, otherFolder, "stranger", time.Hour)
	replicas := newReplicas(t, "a", "b", "c")
	for _, r := range replicas {
		r.args = append(tlsFlags(files), "store", "run")
	}
	startReplicas(t, replicas)
	testutil.Eventually(t, "a first write", func() bool {
		_, err := replicas[0].runWithTLS(t, files, "set", "k", "1")
		return err == nil
	})
	for n, r := range replicas {
		if out, err := r.runWithTLS(t, files, "get", "k"); err != nil || !strings.Contains(out, `"value":1`) {
			t.Errorf("replica %d: %v, %s", n, err, out)
		}
		if out, err := r.runWithTLS(t, tlsconfig.Files{}, "get", "k"); err == nil {
			t.Errorf("replica %d, without TLS: %s", n, out)
		}
		if out, err := r.runWithTLS(t, otherFiles, "get", "k"); err == nil {
			t.Errorf("replica %d, certificate of another authority: %s", n, out)
		}
	}
	out, err := runProgram(t, "store", "run", "--store", t.TempDir(), "--me", replicas[0].peerAddress(),
		"--tls-certificate", files.Certificate, "--tls-key", files.Key)
	if err == nil || !strings.Contains(out, "--tls-authority is missing") {
		t.Errorf("%v, %s", err, out)
	}
	checkCertificateRenewal(t, own, replicas, folder, otherFolder)
}

// checkCertificateRenewal renews the replicas' certificate, which is in folder, then replaces it with an invalid file,
// and renews it again.
func checkCertificateRenewal(t *testing.T, own *testca.Authority, replicas []*replicaProcess,
	folder, otherFolder string) {
	t.Helper()
	time.Sleep(20 * time.Millisecond) // ensures a different modification time of the files
	files := writeCertificate(t, own, folder, "replica", 48*time.Hour)
	// loggedAfterCall makes a call first, since a replica checks the files only when it accepts a connection. The result
	// of the call is irrelevant.
	loggedAfterCall := func(caller tlsconfig.Files, phrase string) bool {
		_, _ = replicas[1].runWithTLS(t, caller, "status")
		return replicas[1].hasLogged(phrase)
	}
	testutil.Eventually(t, "the new certificate", func() bool {
		return loggedAfterCall(files, "certificate reloaded")
	})
	writeFile(t, files.Certificate, "noise")
	callerFiles := writeCertificate(t, own, otherFolder, "mine", time.Hour)
	replicas[2].kill() // cannot start with the invalid file; the others keep the certificate in memory
	testutil.Eventually(t, "a log entry for the invalid certificate", func() bool {
		return loggedAfterCall(callerFiles, "certificate reload failed")
	})
	testutil.Eventually(t, "a write", func() bool {
		_, err := replicas[0].runWithTLS(t, callerFiles, "set", "k", "2")
		return err == nil
	})
	writeCertificate(t, own, folder, "replica", time.Hour)
	replicas[2].start(t, replicas)
	testutil.Eventually(t, "the third replica", func() bool {
		out, err := replicas[2].runWithTLS(t, files, "get", "k")
		return err == nil && strings.Contains(out, `"value":2`)
	})
}

// TestLimits_TLS checks that the limits address with TLS requires a client certificate.
func TestLimits_TLS(t *testing.T) {
	folder := t.TempDir()
	files := writeCertificate(t, newTestAuthority(t, "own"), folder, "gateway", time.Hour)
	settings := folder + "/config.json"
	operator := folder + "/op.toml"
	limits, management := freeAddress(t), freeAddress(t)
	text := fmt.Sprintf(configuration, freeAddress(t), "127.0.0.1:2", "127.0.0.1:3")
	writeFile(t, settings, strings.Replace(text, `"name":"n0"`, `"name":"n0","mgmt":"`+management+`"`, 1))
	operatorText := fmt.Sprintf(
		"[limits]\nlisten = %q\ntls_certificate = %q\ntls_key = %q\ntls_authority = %q\n",
		limits, files.Certificate, files.Key, files.Authority)
	writeFile(t, operator, operatorText)
	process := programCommand(t, "serve", "-c", settings, "--operator", operator)
	if err := process.Start(); err != nil {
		t.Fatal(err)
	}
	defer kill(process)
	call := func(flags []string) (string, error) {
		args := []string{"billing", "--at", limits, "room", "0000000000000005", "team"}
		return runProgram(t, slices.Concat(flags, args)...)
	}
	testutil.Eventually(t, "an answer", func() bool {
		out, _ := call(tlsFlags(files)) // fails, since billing is off, but with an answer
		return strings.Contains(out, "unknown command")
	})
	if out, err := call(nil); err == nil || strings.Contains(out, "unknown command") {
		t.Errorf("without TLS: %v, %s", err, out)
	}
	writeFile(t, operator, strings.Replace(operatorText, files.Key, "/nowhere", 1))
	out, err := runProgram(t, "check", operator)
	if err == nil || !strings.Contains(out, "op.toml:3: limits.tls_certificate cannot be used") {
		t.Errorf("%v, %s", err, out)
	}
}
