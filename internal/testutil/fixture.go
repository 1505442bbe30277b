// Package testutil holds helpers that the tests of several packages share. No program imports it.
package testutil

import (
	"archive/tar"
	"bytes"
	"compress/gzip"
	"errors"
	"flag"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var updateFixtures = flag.Bool("update-fixtures", false, "write the fixtures under testdata that are missing; one that is there is never replaced")

// Fixture gives a path in a folder of the test's own with a copy of testdata/v0/NAME, so that a test may
// write to it. A name that ends in .tar.gz stands for a folder.
//
// With -update-fixtures a fixture that is not there is written first, by write. One that is there stays: it
// proves what the version before wrote, and this version's bytes prove nothing about that one.
func Fixture(tb testing.TB, name string, write func(path string)) string {
	tb.Helper()
	fixture, err := filepath.Abs(filepath.Join("testdata", "v0", name)) // write may change the directory
	if err != nil {
		tb.Fatal(err)
	}
	scratch := tb.TempDir()
	plain := filepath.Join(scratch, strings.TrimSuffix(name, ".tar.gz"))
	if _, err := os.Stat(fixture); errors.Is(err, fs.ErrNotExist) && *updateFixtures {
		made := filepath.Join(tb.TempDir(), filepath.Base(plain))
		write(made)
		store(tb, made, fixture)
	}
	packed, err := os.ReadFile(fixture)
	if err != nil {
		tb.Fatalf("%v; -update-fixtures writes fixtures that are missing", err)
	}
	if strings.HasSuffix(name, ".tar.gz") {
		unpack(tb, packed, plain)
		return plain
	}
	if err := os.WriteFile(plain, packed, 0o600); err != nil {
		tb.Fatal(err)
	}
	return plain
}

func store(tb testing.TB, made, fixture string) {
	tb.Helper()
	if err := os.MkdirAll(filepath.Dir(fixture), 0o755); err != nil {
		tb.Fatal(err)
	}
	var packed []byte
	var err error
	if strings.HasSuffix(fixture, ".tar.gz") {
		packed, err = pack(made)
	} else {
		packed, err = os.ReadFile(made)
	}
	if err != nil {
		tb.Fatal(err)
	}
	if err := os.WriteFile(fixture, packed, 0o644); err != nil {
		tb.Fatal(err)
	}
}

func pack(folder string) ([]byte, error) {
	var out bytes.Buffer
	z := gzip.NewWriter(&out)
	w := tar.NewWriter(z)
	if err := w.AddFS(os.DirFS(folder)); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	if err := z.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

func unpack(tb testing.TB, packed []byte, folder string) {
	tb.Helper()
	z, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		tb.Fatal(err)
	}
	for r := tar.NewReader(z); ; {
		h, err := r.Next()
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			tb.Fatal(err)
		}
		if !filepath.IsLocal(h.Name) {
			tb.Fatalf("%s lies outside the folder", h.Name)
		}
		path := filepath.Join(folder, h.Name)
		if h.FileInfo().IsDir() {
			continue
		}
		content, err := io.ReadAll(r)
		if err == nil {
			err = os.MkdirAll(filepath.Dir(path), 0o700)
		}
		if err == nil {
			err = os.WriteFile(path, content, 0o600)
		}
		if err != nil {
			tb.Fatal(err)
		}
	}
}
