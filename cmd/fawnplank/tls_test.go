package main

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"fawnplank/internal/lab/testca"
	"fawnplank/internal/tlsconfig"
)

// Replicas that speak TLS: commands with a certificate of the authority go through, by way of any replica; plain ones and
// those of another authority do not; a certificate renewed under way is taken without a restart, a broken one is not.
func TestReplicasSpeakTLS(t *testing.T) {
	folder, elsewhere := t.TempDir(), t.TempDir()
	sign := func(folder, name string, holds time.Duration, a *testca.Authority) tlsconfig.Files {
		t.Helper()
		f, err := a.Write(folder, name, holds)
		if err != nil {
			t.Fatal(err)
		}
		return f
	}
	own, err := testca.New("own")
	if err != nil {
		t.Fatal(err)
	}
	other, err := testca.New("other")
	if err != nil {
		t.Fatal(err)
	}
	flags := func(f tlsconfig.Files) []string {
		return []string{"--tls-certificate", f.Certificate, "--tls-key", f.Key, "--tls-authority", f.Authority}
	}
	files, strange := sign(folder, "replica", time.Hour, own), sign(elsewhere, "stranger", time.Hour, other)
	all := replicas(t, "a", "b", "c")
	for _, r := range all {
		r.words = append(flags(files), "store", "run")
		r.start(t, all)
	}
	ask := func(f tlsconfig.Files, n int, words ...string) (string, error) {
		if f.Enabled() {
			words = append(flags(f), words...)
		}
		out, err := program(append(words, "--at", all[n].api)...).CombinedOutput()
		return string(out), err
	}
	until(t, "a first write", func() bool { _, err := ask(files, 0, "store", "set", "k", "1"); return err == nil })
	for n := range all {
		if out, err := ask(files, n, "store", "get", "k"); err != nil || !strings.Contains(out, `"value":1`) {
			t.Errorf("%d: %v, %s", n, err, out)
		}
		if out, err := ask(tlsconfig.Files{}, n, "store", "get", "k"); err == nil {
			t.Errorf("%d, plain: %s", n, out)
		}
		if out, err := ask(strange, n, "store", "get", "k"); err == nil {
			t.Errorf("%d, another authority: %s", n, out)
		}
	}
	if out, err := program("store", "run", "--store", t.TempDir(), "--me", all[0].name(), "--tls-certificate", files.Certificate, "--tls-key", files.Key).CombinedOutput(); err == nil || !strings.Contains(string(out), "--tls-authority is missing") {
		t.Errorf("%v, %s", err, out)
	}
	said := func(n int, what string) func() bool {
		return func() bool {
			ask(files, n, "store", "status")
			text, _ := os.ReadFile(all[n].log)
			return strings.Contains(string(text), what)
		}
	}
	time.Sleep(20 * time.Millisecond) // another time of the files
	sign(folder, "replica", 48*time.Hour, own)
	until(t, "the new certificate", said(1, "certificate reloaded"))
	os.WriteFile(files.Certificate, []byte("noise"), 0o600)
	mine := sign(elsewhere, "mine", time.Hour, own)
	all[2].kill() // its own files are broken now, and the others go on with what they had
	until(t, "a complaint", func() bool {
		ask(mine, 1, "store", "status")
		text, _ := os.ReadFile(all[1].log)
		return strings.Contains(string(text), "certificate reload failed")
	})
	until(t, "a write", func() bool { _, err := ask(mine, 0, "store", "set", "k", "2"); return err == nil })
	sign(folder, "replica", time.Hour, own)
	all[2].start(t, all)
	until(t, "the third replica", func() bool {
		out, err := ask(files, 2, "store", "get", "k")
		return err == nil && strings.Contains(out, `"value":2`)
	})
}

// The limits' address in TLS, with a certificate asked of clients.
func TestLimitsSpeakTLS(t *testing.T) {
	folder := t.TempDir()
	a, err := testca.New("own")
	if err != nil {
		t.Fatal(err)
	}
	files, err := a.Write(folder, "door", time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	config, operator, at, mgmt := folder+"/config.json", folder+"/op.toml", freeAddress(t), freeAddress(t)
	os.WriteFile(config, []byte(strings.Replace(fmt.Sprintf(configuration, freeAddress(t), "127.0.0.1:2", "127.0.0.1:3"), `"name":"n0"`, `"name":"n0","mgmt":"`+mgmt+`"`, 1)), 0o600)
	text := fmt.Sprintf("[limits]\nlisten = %q\ntls_certificate = %q\ntls_key = %q\ntls_authority = %q\n", at, files.Certificate, files.Key, files.Authority)
	os.WriteFile(operator, []byte(text), 0o600)
	c := program("serve", "-c", config, "--operator", operator)
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	defer c.Process.Kill()
	room := func(words ...string) (string, error) {
		out, err := program(append(words, "billing", "--at", at, "room", "0000000000000005", "team")...).CombinedOutput()
		return string(out), err
	}
	secure := []string{"--tls-certificate", files.Certificate, "--tls-key", files.Key, "--tls-authority", files.Authority}
	until(t, "an answer", func() bool { out, _ := room(secure...); return strings.Contains(out, "unknown command") }) // billing is off
	if out, err := room(); err == nil || strings.Contains(out, "unknown command") {
		t.Errorf("plain: %v, %s", err, out)
	}
	os.WriteFile(operator, []byte(strings.Replace(text, files.Key, "/nowhere", 1)), 0o600)
	if out, err := program("check", operator).CombinedOutput(); err == nil || !strings.Contains(string(out), "op.toml:3: limits.tls_certificate cannot be used") {
		t.Errorf("%v, %s", err, out)
	}
}
