package kv

import (
	"bytes"
	"encoding/json"
	"os"
	"reflect"
	"testing"

	"fawnplank/internal/testutil"
)

// version0Commands are the commands in the fixtures. Together they use each field of an edit.
var version0Commands = []struct {
	fixture string
	at      Index
	edits   []Edit
}{
	{
		fixture: "command-put.json",
		at:      3,
		edits: []Edit{
			{Key: "plans/basic", Value: json.RawMessage(`{"name":"basic","quota-rate":5}`)},
			{Key: "x/old", Value: json.RawMessage(`"short-lived"`)},
		},
	},
	{
		fixture: "command-check.json",
		at:      7,
		edits: []Edit{
			{
				Key:           "plans/basic",
				Value:         json.RawMessage(`{"name":"basic","quota-rate":9}`),
				Conditional:   true,
				ExpectedIndex: 3,
			},
			{Key: "x/new", Value: json.RawMessage(`[1,2.5,"ñ"]`), Conditional: true},
			{Key: "x/old"},
		},
	},
}

// readFixture returns the content of a fixture. If the fixture is missing and the flag -update-fixtures is set, it is
// first written with the bytes that encode returns.
func readFixture(t *testing.T, name string, encode func() ([]byte, error)) []byte {
	t.Helper()
	path := testutil.Fixture(t, name, func(path string) {
		content, err := encode()
		if err == nil {
			err = os.WriteFile(path, content, 0o600)
		}
		if err != nil {
			t.Fatal(err)
		}
	})
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return content
}

// TestEncodeCommand_GivesVersion0Bytes decodes commands from the logs of replicas of an earlier version. It checks that
// the same edits are encoded as the same bytes, which such replicas can read.
func TestEncodeCommand_GivesVersion0Bytes(t *testing.T) {
	for _, c := range version0Commands {
		t.Run(c.fixture, func(t *testing.T) {
			text := readFixture(t, c.fixture, func() ([]byte, error) { return EncodeCommand(c.edits) })
			var got Command
			if err := json.Unmarshal(text, &got); err != nil || !reflect.DeepEqual(got, Command{1, c.edits}) {
				t.Errorf("decoded %+v, %v", got, err)
			}
			if reencoded, err := EncodeCommand(c.edits); err != nil || !bytes.Equal(reencoded, text) {
				t.Errorf("encoded again (%v):\n%s\nwant the fixture:\n%s", err, reencoded, text)
			}
		})
	}
}

// TestDecodeSnapshot_ReadsVersion0Snapshot decodes a snapshot of an earlier version. It checks that the state equals
// the state that the same commands give now, and that both are encoded as the same bytes.
func TestDecodeSnapshot_ReadsVersion0Snapshot(t *testing.T) {
	current := New()
	for _, c := range version0Commands {
		text, err := EncodeCommand(c.edits)
		if err == nil {
			_, err = current.Apply(c.at, text)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	text := readFixture(t, "snapshot", current.Snapshot)
	decoded, err := DecodeSnapshot(text)
	if err != nil {
		t.Fatal(err)
	}
	want := map[string]Entry{
		"plans/basic": {Value: json.RawMessage(`{"name":"basic","quota-rate":9}`), Index: 7},
		"x/new":       {Value: json.RawMessage(`[1,2.5,"ñ"]`), Index: 7},
	}
	if decoded.AppliedIndex() != 7 || !reflect.DeepEqual(decoded.entries, want) ||
		decoded.Fingerprint() != current.Fingerprint() {
		t.Errorf("state at index %d: %+v", decoded.AppliedIndex(), decoded.entries)
	}
	for name, state := range map[string]*State{"as read": decoded, "as applied": current} {
		if reencoded, err := state.Snapshot(); err != nil || !bytes.Equal(reencoded, text) {
			t.Errorf("%s, encoded again (%v):\n%s\nwant the fixture:\n%s", name, err, reencoded, text)
		}
	}
}

// TestStoredTypes_HaveTags checks that the name of each stored field is set by a tag, so that renaming the Go field
// does not change the stored data.
func TestStoredTypes_HaveTags(t *testing.T) {
	testutil.CheckJSONTags(t, Command{}, snapshot{})
}
