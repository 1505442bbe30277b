package store

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/hashicorp/raft"
)

// corruptMarker changes one byte of each occurrence of marker in a file, and returns the number of occurrences.
func corruptMarker(t *testing.T, path, marker string) int {
	t.Helper()
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	corrupted := strings.Replace(marker, "MARKER", "XARKER", 1)
	count := bytes.Count(content, []byte(marker))
	content = bytes.ReplaceAll(content, []byte(marker), []byte(corrupted))
	if err := os.WriteFile(path, content, dirMode); err != nil {
		t.Fatal(err)
	}
	return count
}

// TestOpen_RejectsCorruptEntry guards against serving a value that no client wrote. If a byte of a log entry changed on
// the disk, the entry was applied and the changed byte was served as a part of the value.
func TestOpen_RejectsCorruptEntry(t *testing.T) {
	c := newCluster(t, nil)
	c.writeUntilCommitted("a", "z/secret", `"AAAAMARKERAAAA"`)
	c.awaitConvergence()
	c.stop("c")
	path := filepath.Join(c.dir, "c", raftLogFile)
	if corruptMarker(t, path, "AAAAMARKERAAAA") == 0 {
		t.Fatal("the value is not in the file")
	}
	restarted, err := c.open("c")
	if err == nil {
		c.running["c"] = restarted
		c.awaitConvergence()
		entry, _ := restarted.ReadLocal("z/secret")
		t.Fatalf("the replica starts with a corrupt log entry, and serves %s", entry.Value)
	}
	var corruptEntry *CorruptEntryError
	if !errors.As(err, &corruptEntry) || !strings.Contains(err.Error(), path) {
		t.Errorf("%v", err)
	}
}

// TestChecksumLog_ReadsEntriesWithoutChecksum checks that entries of an earlier version, which wrote no checksums, are
// read without verification.
func TestChecksumLog_ReadsEntriesWithoutChecksum(t *testing.T) {
	inner := raft.NewInmemStore()
	if err := inner.StoreLog(&raft.Log{Index: 1, Term: 1, Data: []byte("old")}); err != nil {
		t.Fatal(err)
	}
	log := checksumLog{inner}
	if err := log.StoreLogs([]*raft.Log{{Index: 2, Term: 1, Data: []byte("new")}}); err != nil {
		t.Fatal(err)
	}
	for index, want := range []string{1: "old", 2: "new"} {
		var entry raft.Log
		if want == "" {
			continue
		}
		if err := log.GetLog(uint64(index), &entry); err != nil || string(entry.Data) != want || entry.Extensions != nil {
			t.Errorf("entry %d: %+v, %v", index, entry, err)
		}
	}
	if err := log.verifyAll(); err != nil {
		t.Error(err)
	}
}
