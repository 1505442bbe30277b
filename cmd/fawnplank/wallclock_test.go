package main

import (
	"encoding/binary"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// wallClock steps the wall clock of one process without changing its monotonic clock. For this, the library compiled
// from testdata/wallclock.c is preloaded into the process.
type wallClock struct{ libraryFile, offsetFile string }

func newWallClock(t *testing.T) *wallClock {
	t.Helper()
	folder := t.TempDir()
	w := &wallClock{
		libraryFile: filepath.Join(folder, "wallclock.so"),
		offsetFile:  filepath.Join(folder, "offset"),
	}
	compiler := exec.CommandContext(t.Context(),
		"gcc", "-O2", "-Wall", "-Werror", "-shared", "-fPIC", "-o", w.libraryFile, "testdata/wallclock.c")
	if output, err := compiler.CombinedOutput(); err != nil {
		t.Fatalf("gcc: %v\n%s", err, output)
	}
	w.set(t, 0)
	return w
}

// environment returns the environment variables that the process needs.
func (w *wallClock) environment() []string {
	return []string{"LD_PRELOAD=" + w.libraryFile, "WALLCLOCK_OFFSET=" + w.offsetFile}
}

// set sets the offset of the process's wall clock from the machine's. The process maps the file into memory, so that it
// has to be written in place.
func (w *wallClock) set(t *testing.T, offset time.Duration) {
	t.Helper()
	file, err := os.OpenFile(w.offsetFile, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	defer closeIgnoringError(file)
	seconds := binary.LittleEndian.AppendUint64(nil, uint64(int64(offset/time.Second)))
	if _, err := file.WriteAt(seconds, 0); err != nil {
		t.Fatal(err)
	}
}
