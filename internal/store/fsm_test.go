package store

import (
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"testing"

	"fawnplank/internal/store/kv"
)

// TestFSMRestore_ReportsDeletedKeys guards against a gateway that keeps a deleted plan. Keys that a restored snapshot
// lacks were not reported as changed.
func TestFSMRestore_ReportsDeletedKeys(t *testing.T) {
	var reported []string
	replica := &Store{
		options: Options{OnChange: func(keys []string) { reported = append(reported, keys...) }},
		state:   kv.New(),
	}
	for n, key := range []string{"plans/kept", "plans/deleted"} {
		command, err := kv.EncodeCommand([]kv.Edit{{Key: key, Value: json.RawMessage("1")}})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := replica.state.Apply(kv.Index(n+1), command); err != nil {
			t.Fatal(err)
		}
	}
	command, err := kv.EncodeCommand([]kv.Edit{{Key: "plans/kept", Value: json.RawMessage("2")}})
	if err != nil {
		t.Fatal(err)
	}
	snapshotState := kv.New()
	if _, err := snapshotState.Apply(9, command); err != nil {
		t.Fatal(err)
	}
	content, err := snapshotState.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if err := (*fsm)(replica).Restore(io.NopCloser(bytes.NewReader(content))); err != nil {
		t.Fatal(err)
	}
	slices.Sort(reported)
	if !slices.Equal(reported, []string{"plans/deleted", "plans/kept"}) {
		t.Errorf("keys reported as changed: %v", reported)
	}
}
