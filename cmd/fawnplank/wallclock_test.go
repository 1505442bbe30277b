package main

import (
	"encoding/binary"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// wallClock steps the wall clock of one process, which keeps its monotonic clock. It preloads
// testdata/wallclock.c into the process.
type wallClock struct{ library, offsetFile string }

func newWallClock(t *testing.T) *wallClock {
	t.Helper()
	folder := t.TempDir()
	w := &wallClock{
		library:    filepath.Join(folder, "wallclock.so"),
		offsetFile: filepath.Join(folder, "offset"),
	}
	compiler := exec.CommandContext(t.Context(),
		"gcc", "-O2", "-Wall", "-Werror", "-shared", "-fPIC", "-o", w.library, "testdata/wallclock.c")
	if output, err := compiler.CombinedOutput(); err != nil {
		t.Fatalf("gcc: %v\n%s", err, output)
	}
	w.set(t, 0)
	return w
}

// environment is what the process needs in its environment.
func (w *wallClock) environment() []string {
	return []string{"LD_PRELOAD=" + w.library, "WALLCLOCK_OFFSET=" + w.offsetFile}
}

// set steps the clock to a distance from the machine's. The process maps the file, which is therefore written
// in place.
func (w *wallClock) set(t *testing.T, offset time.Duration) {
	t.Helper()
	file, err := os.OpenFile(w.offsetFile, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	defer hangUp(file)
	seconds := binary.LittleEndian.AppendUint64(nil, uint64(int64(offset/time.Second)))
	if _, err := file.WriteAt(seconds, 0); err != nil {
		t.Fatal(err)
	}
}
