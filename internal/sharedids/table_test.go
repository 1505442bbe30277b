package sharedids

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"
)

const address = "127.0.0.1:6379"

// open opens the table of an address as another process does.
func open(t *testing.T, folder string, ids int) *Table {
	t.Helper()
	table, err := Open(folder, address, ids)
	if err != nil {
		t.Fatal(err)
	}
	return table
}

func (t *Table) mustClose(tb testing.TB) {
	tb.Helper()
	if err := t.Close(); err != nil {
		tb.Error(err)
	}
}

// TestTable_ClaimsHoldAtOtherProcess checks that an id that one process has claimed cannot be claimed by another, also
// by one that is configured for another number of ids, until it is released or expires.
func TestTable_ClaimsHoldAtOtherProcess(t *testing.T) {
	folder := t.TempDir()
	former, current := open(t, folder, 1000), open(t, folder, 9000)
	if !former.Claim("a", time.Minute) || current.Claim("a", time.Minute) || former.Claim("a", time.Minute) {
		t.Error("an id was not claimed exactly once")
	}
	if !current.Claim("b", time.Minute) || former.Claim("b", time.Minute) {
		t.Error("the former process does not see a claim of the new one")
	}
	if former.Release("a"); !current.Claim("a", time.Minute) {
		t.Error("a released id cannot be claimed")
	}
	current.Retain("b", 20*time.Millisecond)
	if former.Claim("b", time.Minute) {
		t.Error("a retained id was claimed")
	}
	if time.Sleep(25 * time.Millisecond); !former.Claim("b", time.Minute) {
		t.Error("an id cannot be claimed after its time")
	}
	former.mustClose(t)
	if current.Claim("b", time.Minute) {
		t.Error("a claim of a process that has ended was lost")
	}
	current.mustClose(t)
	if later := open(t, folder, 9000); later.Claim("b", time.Minute) {
		t.Error("a claim was lost with the last process")
	}
}

// TestTable_IsRemovedWhenUnused checks that the file is removed by the last process, and that all processes which open
// and close it meanwhile share one table.
func TestTable_IsRemovedWhenUnused(t *testing.T) {
	folder := t.TempDir()
	former, current := open(t, folder, 10), open(t, folder, 10)
	former.mustClose(t)
	if third := open(t, folder, 10); !third.Claim("a", time.Minute) || current.Claim("a", time.Minute) {
		t.Error("two processes have different tables")
	} else {
		third.Release("a")
		third.mustClose(t)
	}
	current.mustClose(t)
	if files, err := filepath.Glob(filepath.Join(folder, "*")); len(files) > 0 || err != nil {
		t.Errorf("left: %v, %v", files, err)
	}
}

// TestTable_FullTableTakesFurtherIDs checks that claims beyond the size replace those that expire first.
func TestTable_FullTableTakesFurtherIDs(t *testing.T) {
	table := open(t, t.TempDir(), 1)
	for n := range 10 * len(table.entries) {
		if id := fmt.Sprint(n); !table.Claim(id, time.Duration(n+1)*time.Minute) || table.Claim(id, time.Minute) {
			t.Fatalf("id %d of a full table was not claimed exactly once", n)
		}
	}
}

// TestOpen_Fails checks that a folder that cannot hold the file, or a link in its place, is an error, and that a nil
// table claims every id.
func TestOpen_Fails(t *testing.T) {
	if table, err := Open(filepath.Join(t.TempDir(), "missing"), address, 10); err == nil || table != nil {
		t.Errorf("%v, %v", table, err)
	}
	folder := t.TempDir()
	if err := os.Symlink("elsewhere", filepath.Join(folder, "fawnplank-127.0.0.1-6379.ids")); err != nil {
		t.Fatal(err)
	}
	table, err := Open(folder, address, 10)
	if err == nil {
		t.Error("a link was followed")
	}
	for range 2 {
		if !table.Claim("a", time.Minute) {
			t.Error("a nil table does not claim every id")
		}
	}
	table.mustClose(t)
}
