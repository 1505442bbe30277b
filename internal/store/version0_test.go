package store

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"path/filepath"
	"slices"
	"testing"

	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"

	"fawnplank/internal/store/kv"
	"fawnplank/internal/testutil"
)

// version0Folder returns the folder of a replica as an earlier version left it: some commands, a snapshot,
// and later commands. The replica was the only one, so that a replica of its ID elects itself at any address.
func version0Folder(t *testing.T) string {
	t.Helper()
	return testutil.Fixture(t, "replica.tar.gz", func(path string) {
		self := Peer{ID: "a", Raft: "127.0.0.1:7001", API: "127.0.0.1:7101"}
		s, err := Open(Options{
			Dir:         path,
			Self:        self,
			Peers:       []Peer{self},
			TimeoutUnit: testTimeoutUnit,
		})
		if err != nil {
			t.Fatal(err)
		}
		c := &cluster{t: t, running: map[string]*Store{"a": s}}
		c.eventually("its own address to be written", func() bool {
			_, ok := s.ReadLocalValue(peerPrefix + "a")
			return ok
		})
		commit := func(edits ...kv.Edit) {
			if err := s.Edit(edits); err != nil {
				t.Fatal(err)
			}
		}
		commit(
			kv.Edit{Key: "plans/basic", Value: json.RawMessage(`{"name":"basic","quota-rate":5}`)},
			kv.Edit{Key: "x/gone", Value: json.RawMessage(`1`)},
		)
		commit(kv.Edit{Key: "x/before", Value: json.RawMessage(`{"n":1}`), Conditional: true})
		if err := s.raft.Snapshot().Error(); err != nil {
			t.Fatal(err)
		}
		entry, _ := s.ReadLocal("plans/basic")
		changed := json.RawMessage(`{"name":"basic","quota-rate":9}`)
		commit(
			kv.Edit{Key: "plans/basic", Value: changed, Conditional: true, ExpectedIndex: entry.Index},
			kv.Edit{Key: "x/gone"},
		)
		commit(kv.Edit{Key: "x/after", Value: json.RawMessage(`["behind the snapshot"]`)})
		s.Close()
	})
}

// TestOpen_ReadsVersion0Folder starts a replica on a folder of an earlier version. It has the same entries at
// the same indices, and accepts writes.
func TestOpen_ReadsVersion0Folder(t *testing.T) {
	options := Options{Dir: version0Folder(t), Self: newPeer(t, "a"), TimeoutUnit: testTimeoutUnit}
	s, err := Open(options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	c := &cluster{t: t, running: map[string]*Store{"a": s}}
	c.eventually("a leader with the whole log", func() bool {
		_, ok := s.ReadLocalValue("x/after")
		return ok && s.raft.State() == raft.Leader
	})
	want := map[string]kv.Entry{
		"plans/basic": {Value: json.RawMessage(`{"name":"basic","quota-rate":9}`), Index: 6},
		"x/before":    {Value: json.RawMessage(`{"n":1}`), Index: 5},
		"x/after":     {Value: json.RawMessage(`["behind the snapshot"]`), Index: 7},
	}
	if values := s.ReadLocalPrefix(""); len(values) != len(want)+1 || values[peerPrefix+"a"] == nil {
		t.Errorf("keys %q", slices.Sorted(maps.Keys(values)))
	}
	for key, wanted := range want {
		got, ok := s.ReadLocal(key)
		if !ok || got.Index != wanted.Index || !bytes.Equal(got.Value, wanted.Value) {
			t.Errorf("%s: %s at %d, not %s at %d", key, got.Value, got.Index, wanted.Value, wanted.Index)
		}
	}
	edit := kv.Edit{Key: "x/before", Value: json.RawMessage(`2`), Conditional: true, ExpectedIndex: 5}
	if err := s.Edit([]kv.Edit{edit}); err != nil {
		t.Error(err)
	}
}

// TestVersion0Folder_IsWrittenAsTheSameBytes reads the log and the snapshot of the folder with Raft's own
// stores and package kv alone. Each command, and the snapshot, is encoded again as the same bytes.
func TestVersion0Folder_IsWrittenAsTheSameBytes(t *testing.T) {
	dir := version0Folder(t)
	logStore, err := raftboltdb.NewBoltStore(filepath.Join(dir, "raft.db"))
	if err != nil {
		t.Fatal(err)
	}
	defer closeChecked(t, logStore)
	content := readVersion0Snapshot(t, dir)
	snapshot, err := kv.DecodeSnapshot(content)
	if err != nil {
		t.Fatal(err)
	}
	if again, err := snapshot.Snapshot(); err != nil || !bytes.Equal(again, content) {
		t.Errorf("the snapshot, written anew (%v):\n%s\nthe fixture:\n%s", err, again, content)
	}
	want := `{"id":"a","raft":"127.0.0.1:7001","api":"127.0.0.1:7101"}`
	if entry, ok := snapshot.Get(peerPrefix + "a"); !ok || string(entry.Value) != want {
		t.Errorf("its address: %s", entry.Value)
	}
	replayed := kv.New()
	commands := 0
	for n := uint64(1); ; n++ {
		var entry raft.Log
		err := logStore.GetLog(n, &entry)
		if errors.Is(err, raft.ErrLogNotFound) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		if entry.Type != raft.LogCommand {
			continue
		}
		commands++
		replayVersion0Command(t, replayed, entry)
		if kv.Index(n) == snapshot.AppliedIndex() && replayed.Fingerprint() != snapshot.Fingerprint() {
			t.Errorf("the log up to %d comes to something else than the snapshot", n)
		}
	}
	if commands != 5 || fmt.Sprint(replayed.Keys("")) != "[_peer/a plans/basic x/after x/before]" {
		t.Errorf("%d commands come to %q", commands, replayed.Keys(""))
	}
}

// readVersion0Snapshot returns the bytes of the folder's only snapshot.
func readVersion0Snapshot(t *testing.T, dir string) []byte {
	t.Helper()
	snapshots, err := raft.NewFileSnapshotStore(dir, 2, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	list, err := snapshots.List()
	if err != nil || len(list) != 1 || list[0].Index != 5 {
		t.Fatalf("snapshots %+v, %v", list, err)
	}
	_, file, err := snapshots.Open(list[0].ID)
	if err != nil {
		t.Fatal(err)
	}
	defer closeChecked(t, file)
	content, err := io.ReadAll(file)
	if err != nil {
		t.Fatal(err)
	}
	return content
}

// replayVersion0Command applies a command of the log, and compares its bytes with its edits encoded again.
func replayVersion0Command(t *testing.T, state *kv.State, entry raft.Log) {
	t.Helper()
	var command kv.Command
	if err := json.Unmarshal(entry.Data, &command); err != nil {
		t.Fatal(err)
	}
	if again, err := kv.EncodeCommand(command.Edits); err != nil || !bytes.Equal(again, entry.Data) {
		t.Errorf("command %d, written anew (%v):\n%s\nthe fixture:\n%s", entry.Index, err, again, entry.Data)
	}
	if _, err := state.Apply(kv.Index(entry.Index), entry.Data); err != nil {
		t.Error(err)
	}
}

func closeChecked(t *testing.T, closer io.Closer) {
	t.Helper()
	if err := closer.Close(); err != nil {
		t.Error(err)
	}
}

// TestAPI_KeepsJSONForms checks the API's forms, which replicas of earlier versions and operators' tools read.
func TestAPI_KeepsJSONForms(t *testing.T) {
	for name, test := range map[string]struct {
		value any
		want  string
	}{
		"entry": {kv.Entry{Value: json.RawMessage(`{"n":1}`), Index: 4}, `{"value":{"n":1},"index":4}`},
		"edit": {
			kv.Edit{Key: "k", Value: json.RawMessage(`1`), Conditional: true, ExpectedIndex: 2},
			`{"key":"k","value":1,"check":true,"if":2}`,
		},
		"deletes": {kv.Edit{Key: "k"}, `{"key":"k"}`},
		"peer":    {Peer{"a", "r:1", "p:2"}, `{"id":"a","raft":"r:1","api":"p:2"}`},
		"witness": {logPosition{3, 9}, `{"term":3,"last":9}`},
		"status": {
			Status{
				ID:           "a",
				State:        "Leader",
				Leader:       "b",
				Term:         1,
				LastIndex:    2,
				CommitIndex:  3,
				AppliedIndex: 4,
				Fingerprint:  "p",
				CanVote:      true,
				Peers:        []Peer{{"a", "r:1", "p:2"}},
			},
			`{"id":"a","state":"Leader","leader":"b","term":1,"last":2,"commit":3,"at":4,` +
				`"print":"p","votes":true,"peers":[{"id":"a","raft":"r:1","api":"p:2"}]}`,
		},
	} {
		t.Run(name, func(t *testing.T) {
			if text, err := json.Marshal(test.value); err != nil || string(text) != test.want {
				t.Errorf("%s, %v; not %s", text, err, test.want)
			}
		})
	}
}

// TestStoredTypes_HaveTags checks that a tag names each field of the API and of stored data.
func TestStoredTypes_HaveTags(t *testing.T) {
	testutil.CheckJSONTags(t, kv.Entry{}, kv.Edit{}, Peer{}, logPosition{}, Status{})
}
