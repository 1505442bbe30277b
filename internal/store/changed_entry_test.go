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

// changeMarker changes one byte of each copy of a text in a file, and returns how many there were.
func changeMarker(t *testing.T, path, marker string) int {
	t.Helper()
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	changed := strings.Replace(marker, "MARKER", "XARKER", 1)
	count := bytes.Count(content, []byte(marker))
	content = bytes.ReplaceAll(content, []byte(marker), []byte(changed))
	if err := os.WriteFile(path, content, folderMode); err != nil {
		t.Fatal(err)
	}
	return count
}

// TestOpen_RefusesChangedEntry guards against a value that nobody wrote: a byte of an entry that changed on the
// disk was served as a part of the value.
func TestOpen_RefusesChangedEntry(t *testing.T) {
	c := newCluster(t, nil)
	c.write("a", "z/secret", `"AAAAMARKERAAAA"`)
	c.converge()
	c.stop("c")
	path := filepath.Join(c.dir, "c", logFile)
	if changeMarker(t, path, "AAAAMARKERAAAA") == 0 {
		t.Fatal("the value is not in the file")
	}
	replica, err := c.open("c")
	if err == nil {
		c.running["c"] = replica
		c.converge()
		entry, _ := replica.ReadLocal("z/secret")
		t.Fatalf("it starts, and serves %s", entry.Value)
	}
	var damaged *CorruptEntryError
	if !errors.As(err, &damaged) || !strings.Contains(err.Error(), path) {
		t.Errorf("%v", err)
	}
}

// TestCheckedLog_ReadsEntriesWithoutAChecksum: an earlier version wrote none, and the entries are read as they are.
func TestCheckedLog_ReadsEntriesWithoutAChecksum(t *testing.T) {
	inner := raft.NewInmemStore()
	if err := inner.StoreLog(&raft.Log{Index: 1, Term: 1, Data: []byte("old")}); err != nil {
		t.Fatal(err)
	}
	log := checkedLog{inner}
	if err := log.StoreLogs([]*raft.Log{{Index: 2, Term: 1, Data: []byte("new")}}); err != nil {
		t.Fatal(err)
	}
	for index, want := range []string{1: "old", 2: "new"} {
		var entry raft.Log
		if want == "" {
			continue
		}
		if err := log.GetLog(uint64(index), &entry); err != nil || string(entry.Data) != want || entry.Extensions != nil {
			t.Errorf("%d: %+v, %v", index, entry, err)
		}
	}
	if err := log.verify(); err != nil {
		t.Error(err)
	}
}
