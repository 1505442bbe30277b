package durable

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
)

func TestWriteFile_ReplacesContentWithoutTemporaryFiles(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "state")
	for _, text := range []string{"a longer first text", "second"} {
		if err := WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}

	if content, err := os.ReadFile(path); err != nil || string(content) != "second" {
		t.Errorf("content of the file: %q (%v), want the second text", content, err)
	}
	if info, err := os.Stat(path); err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("file info: %v (%v), want mode 0600", info, err)
	}
	if entries, err := os.ReadDir(dir); err != nil || len(entries) != 1 {
		t.Errorf("entries of the directory: %v (%v), want only the file", entries, err)
	}
}

func TestWriteFile_DoesNotReplaceDirectory(t *testing.T) {
	path := filepath.Join(t.TempDir(), "state")
	if err := os.Mkdir(path, 0o700); err != nil { // a file cannot be renamed over a directory
		t.Fatal(err)
	}
	if err := WriteFile(path, []byte("text"), 0o600); err == nil {
		t.Error("no error when the path is a directory")
	}
	if info, err := os.Stat(path); err != nil || !info.IsDir() {
		t.Errorf("path info: %v (%v), want a directory", info, err)
	}
}

func TestSyncDir_ReportsUnopenableDirectory(t *testing.T) {
	err := syncDir(filepath.Join(t.TempDir(), "absent"))
	if _, ok := errors.AsType[*DirOpenError](err); !ok || !errors.Is(err, os.ErrNotExist) {
		t.Errorf("got %v, want a DirOpenError that wraps os.ErrNotExist", err)
	}
}
