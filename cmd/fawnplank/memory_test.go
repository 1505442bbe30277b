package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestServe_MemoryStaysBoundedAcrossConnections guards against memory that is not released when a client disconnects.
// The limit of this test is far below the program's memory limit, which would hide such a leak.
func TestServe_MemoryStaysBoundedAcrossConnections(t *testing.T) {
	address := freeAddress(t)
	file := filepath.Join(t.TempDir(), "config.json")
	writeFile(t, file, fmt.Sprintf(configuration, address, "127.0.0.1:2", "127.0.0.1:3"))
	process := startServing(t, file)
	before := residentKB(t, process.Process.Pid)
	for range 3000 {
		conn := dial(t, address)
		send(conn, wirePing)
		if _, err := io.ReadFull(conn, make([]byte, len("+PONG\r\n"))); err != nil {
			t.Fatal(err)
		}
		closeIgnoringError(conn)
	}
	if after := residentKB(t, process.Process.Pid); after > before+5<<10 {
		t.Errorf("resident memory grew from %d to %d kB", before, after)
	}
}

// residentKB returns the resident memory of a process in kB.
func residentKB(t *testing.T, pid int) (kb int) {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	_, rest, ok := strings.Cut(string(text), "VmRSS:")
	if _, scanErr := fmt.Sscan(rest, &kb); err != nil || !ok || scanErr != nil {
		t.Skip("cannot read the resident memory from /proc")
	}
	return kb
}
