package store

import (
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"testing"

	"fawnplank/internal/store/kv"
)

// TestRestore_ReportsKeysThatVanished guards against a deleted plan that a gateway keeps: keys that a snapshot no
// longer holds were not reported as changed.
func TestRestore_ReportsKeysThatVanished(t *testing.T) {
	var reported []string
	s := &Store{options: Options{OnChange: func(keys []string) { reported = append(reported, keys...) }}, state: kv.New()}
	for n, key := range []string{"plans/kept", "plans/deleted"} {
		command, err := kv.EncodeCommand([]kv.Edit{{Key: key, Value: json.RawMessage("1")}})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := s.state.Apply(kv.Index(n+1), command); err != nil {
			t.Fatal(err)
		}
	}
	command, err := kv.EncodeCommand([]kv.Edit{{Key: "plans/kept", Value: json.RawMessage("2")}})
	if err != nil {
		t.Fatal(err)
	}
	other := kv.New()
	if _, err := other.Apply(9, command); err != nil {
		t.Fatal(err)
	}
	content, err := other.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if err := (*fsm)(s).Restore(io.NopCloser(bytes.NewReader(content))); err != nil {
		t.Fatal(err)
	}
	slices.Sort(reported)
	if !slices.Equal(reported, []string{"plans/deleted", "plans/kept"}) {
		t.Errorf("reported: %v", reported)
	}
}
