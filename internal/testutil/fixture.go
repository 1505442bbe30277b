// Package testutil holds helpers for the tests of several packages. Only tests import it.
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

// archiveSuffix is the name suffix of fixtures that hold a folder.
const archiveSuffix = ".tar.gz"

var updateFixtures = flag.Bool("update-fixtures", false,
	"write missing fixtures under testdata; existing fixtures are never replaced")

// Fixture copies testdata/v0/NAME into a temporary folder and returns the path of the copy, which the test may
// modify. If the name ends in .tar.gz, the archive is unpacked and the path is that of a folder.
//
// With -update-fixtures, Fixture calls write to create a missing fixture. An existing fixture is never replaced:
// it holds data written by an earlier version of the program, which the current version cannot reproduce.
func Fixture(tb testing.TB, name string, write func(path string)) string {
	tb.Helper()
	// The path is absolute because write may change the working directory.
	fixture, err := filepath.Abs(filepath.Join("testdata", "v0", name))
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
		tb.Fatalf("reading the fixture: %v (-update-fixtures writes missing fixtures)", err)
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

// storeFixture stores the file at path as a fixture. If the fixture is an archive, path names a folder to pack.
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

// pack returns the contents of a folder as a compressed tar archive.
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

// unpack writes the files of a compressed tar archive into a folder.
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
			tb.Fatalf("archive entry %s is outside the target folder", header.Name)
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
