package kv

import (
	"bytes"
	"encoding/json"
	"os"
	"reflect"
	"testing"

	"fawnplank/internal/testutil"
)

// version0Commands are the commands that the fixtures contain. Together they use each field of an edit.
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

// readFixture returns the bytes of a fixture. encode returns those to write if it is missing, which only
// -update-fixtures does.
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

// TestCommand_IsEncodedAsVersion0Bytes decodes commands from the logs of replicas of an earlier version, and
// encodes the same edits as the same bytes, which such replicas read.
func TestCommand_IsEncodedAsVersion0Bytes(t *testing.T) {
	for _, c := range version0Commands {
		t.Run(c.fixture, func(t *testing.T) {
			text := readFixture(t, c.fixture, func() ([]byte, error) { return EncodeCommand(c.edits) })
			var got Command
			if err := json.Unmarshal(text, &got); err != nil || !reflect.DeepEqual(got, Command{1, c.edits}) {
				t.Errorf("%+v, %v", got, err)
			}
			if again, err := EncodeCommand(c.edits); err != nil || !bytes.Equal(again, text) {
				t.Errorf("written anew (%v):\n%s\nthe fixture:\n%s", err, again, text)
			}
		})
	}
}

// TestLoad_ReadsVersion0Snapshot loads a snapshot of an earlier version, compares it with the state that the
// commands give today, and encodes both as the same bytes.
func TestLoad_ReadsVersion0Snapshot(t *testing.T) {
	now := New()
	for _, c := range version0Commands {
		text, err := EncodeCommand(c.edits)
		if err == nil {
			_, err = now.Apply(c.at, text)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	text := readFixture(t, "snapshot", now.Snapshot)
	s, err := DecodeSnapshot(text)
	if err != nil {
		t.Fatal(err)
	}
	want := map[string]Entry{
		"plans/basic": {Value: json.RawMessage(`{"name":"basic","quota-rate":9}`), Index: 7},
		"x/new":       {Value: json.RawMessage(`[1,2.5,"ñ"]`), Index: 7},
	}
	if s.AppliedIndex() != 7 || !reflect.DeepEqual(s.entries, want) || s.Fingerprint() != now.Fingerprint() {
		t.Errorf("at %d: %+v", s.AppliedIndex(), s.entries)
	}
	for name, state := range map[string]*State{"as read": s, "as applied": now} {
		if again, err := state.Snapshot(); err != nil || !bytes.Equal(again, text) {
			t.Errorf("%s, written anew (%v):\n%s\nthe fixture:\n%s", name, err, again, text)
		}
	}
}

// TestStoredTypes_HaveTags checks that a tag, and not the Go field name, names each stored field.
func TestStoredTypes_HaveTags(t *testing.T) {
	testutil.CheckJSONTags(t, Command{}, snapshot{})
}
