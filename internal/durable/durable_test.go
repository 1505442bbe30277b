package durable

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
)

func TestWriteFile_ReplacesTheContentAndLeavesNothingElse(t *testing.T) {
	folder := t.TempDir()
	path := filepath.Join(folder, "state")
	for _, text := range []string{"a longer first text", "second"} {
		if err := WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}

	if content, err := os.ReadFile(path); err != nil || string(content) != "second" {
		t.Errorf("the file holds %q (%v), want the second text", content, err)
	}
	if info, err := os.Stat(path); err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("the file is %v (%v), want mode 0600", info, err)
	}
	if entries, err := os.ReadDir(folder); err != nil || len(entries) != 1 {
		t.Errorf("the folder holds %v (%v), want the file alone", entries, err)
	}
}

func TestWriteFile_LeavesWhatItCannotReplace(t *testing.T) {
	path := filepath.Join(t.TempDir(), "state")
	if err := os.Mkdir(path, 0o700); err != nil { // a file cannot be renamed over a folder
		t.Fatal(err)
	}
	if err := WriteFile(path, []byte("text"), 0o600); err == nil {
		t.Error("a folder was replaced by a file")
	}
	if info, err := os.Stat(path); err != nil || !info.IsDir() {
		t.Errorf("the folder is now %v (%v)", info, err)
	}
}

func TestSyncFolder_SaysThatTheFolderCannotBeOpened(t *testing.T) {
	err := syncFolder(filepath.Join(t.TempDir(), "absent"))
	if _, ok := errors.AsType[*DirOpenError](err); !ok || !errors.Is(err, os.ErrNotExist) {
		t.Errorf("got %v, want a DirOpenError that wraps os.ErrNotExist", err)
	}
}
