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

func newAuthority(t *testing.T, name string) *testca.Authority {
	t.Helper()
	authority, err := testca.New(name)
	if err != nil {
		t.Fatal(err)
	}
	return authority
}

// sign writes a certificate of the authority, and its key, to a folder.
func sign(t *testing.T, authority *testca.Authority, folder, name string,
	validity time.Duration) tlsconfig.Files {
	t.Helper()
	files, err := authority.IssueCertificate(folder, name, validity)
	if err != nil {
		t.Fatal(err)
	}
	return files
}

// tlsFlags are the flags that present a certificate; none for no certificate.
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

// runWithTLS runs a store command at a replica with a certificate.
func (r *replicaProcess) runWithTLS(t *testing.T, files tlsconfig.Files, args ...string) (string, error) {
	t.Helper()
	return runProgram(t, slices.Concat(tlsFlags(files), []string{"store"}, args, []string{"--at", r.api})...)
}

// logged reports whether the replica has logged a phrase.
func (r *replicaProcess) logged(phrase string) bool {
	text, _ := os.ReadFile(r.log) // one that cannot be read has no phrase
	return strings.Contains(string(text), phrase)
}

// Replicas with TLS: commands with a certificate of the authority succeed, by way of any replica; plain ones
// and those of another authority do not; a certificate renewed under way is loaded without a restart, a
// broken one is not.
func TestReplicas_TLS(t *testing.T) {
	folder, elsewhere := t.TempDir(), t.TempDir()
	own, other := newAuthority(t, "own"), newAuthority(t, "other")
	files := sign(t, own, folder, "replica", time.Hour)
	foreign := sign(t, other, elsewhere, "stranger", time.Hour)
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
			t.Errorf("%d: %v, %s", n, err, out)
		}
		if out, err := r.runWithTLS(t, tlsconfig.Files{}, "get", "k"); err == nil {
			t.Errorf("%d, plain: %s", n, out)
		}
		if out, err := r.runWithTLS(t, foreign, "get", "k"); err == nil {
			t.Errorf("%d, another authority: %s", n, out)
		}
	}
	out, err := runProgram(t, "store", "run", "--store", t.TempDir(), "--me", replicas[0].name(),
		"--tls-certificate", files.Certificate, "--tls-key", files.Key)
	if err == nil || !strings.Contains(out, "--tls-authority is missing") {
		t.Errorf("%v, %s", err, out)
	}
	checkCertificateRenewal(t, own, replicas, folder, elsewhere)
}

// checkCertificateRenewal renews the replicas' certificate, which lies in folder, then breaks it, and renews
// it again.
func checkCertificateRenewal(t *testing.T, own *testca.Authority, replicas []*replicaProcess,
	folder, elsewhere string) {
	t.Helper()
	time.Sleep(20 * time.Millisecond) // another time of the files
	files := sign(t, own, folder, "replica", 48*time.Hour)
	// A call first, since the files are looked at when a connection comes; its own result does not count.
	loggedAfterCall := func(caller tlsconfig.Files, phrase string) bool {
		_, _ = replicas[1].runWithTLS(t, caller, "status")
		return replicas[1].logged(phrase)
	}
	testutil.Eventually(t, "the new certificate", func() bool {
		return loggedAfterCall(files, "certificate reloaded")
	})
	writeFile(t, files.Certificate, "noise")
	mine := sign(t, own, elsewhere, "mine", time.Hour)
	replicas[2].kill() // its own files are broken now, and the others go on with what they had
	testutil.Eventually(t, "a complaint", func() bool {
		return loggedAfterCall(mine, "certificate reload failed")
	})
	testutil.Eventually(t, "a write", func() bool {
		_, err := replicas[0].runWithTLS(t, mine, "set", "k", "2")
		return err == nil
	})
	sign(t, own, folder, "replica", time.Hour)
	replicas[2].start(t, replicas)
	testutil.Eventually(t, "the third replica", func() bool {
		out, err := replicas[2].runWithTLS(t, files, "get", "k")
		return err == nil && strings.Contains(out, `"value":2`)
	})
}

// The limits address with TLS, with a certificate demanded of clients.
func TestLimits_TLS(t *testing.T) {
	folder := t.TempDir()
	files := sign(t, newAuthority(t, "own"), folder, "gateway", time.Hour)
	settings := folder + "/config.json"
	operator := folder + "/op.toml"
	limits, management := freeAddress(t), freeAddress(t)
	text := fmt.Sprintf(configuration, freeAddress(t), "127.0.0.1:2", "127.0.0.1:3")
	writeFile(t, settings, strings.Replace(text, `"name":"n0"`, `"name":"n0","mgmt":"`+management+`"`, 1))
	operatorText := fmt.Sprintf(
		"[limits]\nlisten = %q\ntls_certificate = %q\ntls_key = %q\ntls_authority = %q\n",
		limits, files.Certificate, files.Key, files.Authority)
	writeFile(t, operator, operatorText)
	process := program(t, "serve", "-c", settings, "--operator", operator)
	if err := process.Start(); err != nil {
		t.Fatal(err)
	}
	defer kill(process)
	call := func(flags []string) (string, error) {
		args := []string{"billing", "--at", limits, "room", "0000000000000005", "team"}
		return runProgram(t, slices.Concat(flags, args)...)
	}
	testutil.Eventually(t, "an answer", func() bool {
		out, _ := call(tlsFlags(files)) // an error answer: billing is off
		return strings.Contains(out, "unknown command")
	})
	if out, err := call(nil); err == nil || strings.Contains(out, "unknown command") {
		t.Errorf("plain: %v, %s", err, out)
	}
	writeFile(t, operator, strings.Replace(operatorText, files.Key, "/nowhere", 1))
	out, err := runProgram(t, "check", operator)
	if err == nil || !strings.Contains(out, "op.toml:3: limits.tls_certificate cannot be used") {
		t.Errorf("%v, %s", err, out)
	}
}
