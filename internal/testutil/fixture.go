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

// archiveSuffix is the end of the name of a fixture that is a folder.
const archiveSuffix = ".tar.gz"

var updateFixtures = flag.Bool("update-fixtures", false,
	"write the fixtures under testdata that are missing; one that is there is never replaced")

// Fixture copies testdata/v0/NAME into a temporary folder and returns the path of the copy, to which the test
// may write. A name that ends in .tar.gz stands for a folder.
//
// With -update-fixtures, write first creates a fixture that is missing. An existing one is never replaced: it
// holds what an earlier version wrote, which the bytes of this version cannot stand in for.
func Fixture(tb testing.TB, name string, write func(path string)) string {
	tb.Helper()
	fixture, err := filepath.Abs(filepath.Join("testdata", "v0", name)) // write may change the directory
	if err != nil {
		tb.Fatal(err)
	}
	copyPath := filepath.Join(tb.TempDir(), strings.TrimSuffix(name, archiveSuffix))
	if _, err := os.Stat(fixture); errors.Is(err, fs.ErrNotExist) && *updateFixtures {
		written := filepath.Join(tb.TempDir(), filepath.Base(copyPath))
		write(written)
		storeFixture(tb, written, fixture)
	}
	content, err := os.ReadFile(fixture)
	if err != nil {
		tb.Fatalf("%v; -update-fixtures writes fixtures that are missing", err)
	}
	if strings.HasSuffix(name, archiveSuffix) {
		unpack(tb, content, copyPath)
		return copyPath
	}
	if err := os.WriteFile(copyPath, content, 0o600); err != nil {
		tb.Fatal(err)
	}
	return copyPath
}

// storeFixture makes a fixture of the file, or for an archive of the folder, at path.
func storeFixture(tb testing.TB, path, fixture string) {
	tb.Helper()
	if err := os.MkdirAll(filepath.Dir(fixture), 0o755); err != nil {
		tb.Fatal(err)
	}
	read := os.ReadFile
	if strings.HasSuffix(fixture, archiveSuffix) {
		read = pack
	}
	content, err := read(path)
	if err != nil {
		tb.Fatal(err)
	}
	if err := os.WriteFile(fixture, content, 0o644); err != nil {
		tb.Fatal(err)
	}
}

// pack returns a folder as a compressed archive.
func pack(folder string) ([]byte, error) {
	var out bytes.Buffer
	compressor := gzip.NewWriter(&out)
	archive := tar.NewWriter(compressor)
	if err := archive.AddFS(os.DirFS(folder)); err != nil {
		return nil, err
	}
	if err := archive.Close(); err != nil {
		return nil, err
	}
	if err := compressor.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// unpack writes the files of a compressed archive into a folder.
func unpack(tb testing.TB, packed []byte, folder string) {
	tb.Helper()
	decompressor, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		tb.Fatal(err)
	}
	for archive := tar.NewReader(decompressor); ; {
		header, err := archive.Next()
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			tb.Fatal(err)
		}
		if !filepath.IsLocal(header.Name) {
			tb.Fatalf("%s lies outside the folder", header.Name)
		}
		path := filepath.Join(folder, header.Name)
		if header.FileInfo().IsDir() {
			continue
		}
		content, err := io.ReadAll(archive)
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
