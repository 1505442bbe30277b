package warmstart

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"fawnplank/internal/monotime"
	"fawnplank/internal/testutil"
	"fawnplank/policy"
)

// TestLoad_ReadsVersion0File checks that a file of an earlier version is read, and that its state is saved as the same
// bytes.
func TestLoad_ReadsVersion0File(t *testing.T) {
	saved := time.Unix(1_800_000_000, 123_456_789)
	want := policy.WarmStartState{
		Latency: 12_500_000.25,
		Samples: 30,
		Backends: []policy.BackendWarmStart{
			{Backend: 1, StartedAt: monotime.FromNanos(1_799_990_000_000_000_001), Latency: 11_000_000.5, Samples: 29.75},
			{Backend: 7, StartedAt: monotime.FromNanos(1_799_995_000_000_000_000), Latency: 99_000_000, Samples: 0.125},
		},
	}
	path := testutil.Fixture(t, "learned", func(path string) {
		if err := Save(path, want, saved); err != nil {
			t.Fatal(err)
		}
	})
	got, age, err := Load(path, saved.Add(90*time.Second))
	if err != nil || age != 90*time.Second || !reflect.DeepEqual(got, want) {
		t.Fatalf("got state %+v, age %v, error %v", got, age, err)
	}
	copyPath := filepath.Join(t.TempDir(), "again")
	if err := Save(copyPath, got, saved); err != nil {
		t.Fatal(err)
	}
	original, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if resaved, err := os.ReadFile(copyPath); err != nil || !bytes.Equal(resaved, original) {
		t.Errorf("saved again (%v):\n%s\nwant the fixture:\n%s", err, resaved, original)
	}
}

// TestStoredTypes_HaveTags checks that the name of each stored field is set by a tag, so that renaming the Go field
// does not change the file.
func TestStoredTypes_HaveTags(t *testing.T) {
	testutil.CheckJSONTags(t, body{})
}
