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

// version0Dir returns the directory of a replica of an earlier version, with some commands, a snapshot, and later
// commands. The replica was the only member of its cluster, so a replica with its ID elects itself, whatever its
// address.
func version0Dir(t *testing.T) string {
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
		c.eventually("the replica's own address to be recorded", func() bool {
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

// TestOpen_ReadsVersion0Dir starts a replica in a directory of an earlier version. It checks that the replica has the
// same entries at the same indices, and accepts writes.
func TestOpen_ReadsVersion0Dir(t *testing.T) {
	options := Options{Dir: version0Dir(t), Self: newPeer(t, "a"), TimeoutUnit: testTimeoutUnit}
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
		t.Errorf("got keys %q", slices.Sorted(maps.Keys(values)))
	}
	for key, wantEntry := range want {
		got, ok := s.ReadLocal(key)
		if !ok || got.Index != wantEntry.Index || !bytes.Equal(got.Value, wantEntry.Value) {
			t.Errorf("key %s: got %s at index %d, want %s at index %d",
				key, got.Value, got.Index, wantEntry.Value, wantEntry.Index)
		}
	}
	edit := kv.Edit{Key: "x/before", Value: json.RawMessage(`2`), Conditional: true, ExpectedIndex: 5}
	if err := s.Edit([]kv.Edit{edit}); err != nil {
		t.Error(err)
	}
}

// TestVersion0Dir_ReencodesToSameBytes reads the log and the snapshot of the directory with only Raft's own stores and
// package kv. It checks that each command, and the snapshot, is encoded again as the same bytes.
func TestVersion0Dir_ReencodesToSameBytes(t *testing.T) {
	dir := version0Dir(t)
	logStore, err := raftboltdb.NewBoltStore(filepath.Join(dir, "raft.db"))
	if err != nil {
		t.Fatal(err)
	}
	defer closeOrFail(t, logStore)
	content := readVersion0Snapshot(t, dir)
	snapshot, err := kv.DecodeSnapshot(content)
	if err != nil {
		t.Fatal(err)
	}
	if reencoded, err := snapshot.Snapshot(); err != nil || !bytes.Equal(reencoded, content) {
		t.Errorf("snapshot, encoded again (%v):\n%s\nwant the fixture:\n%s", err, reencoded, content)
	}
	want := `{"id":"a","raft":"127.0.0.1:7001","api":"127.0.0.1:7101"}`
	if entry, ok := snapshot.Get(peerPrefix + "a"); !ok || string(entry.Value) != want {
		t.Errorf("recorded address of the replica: %s", entry.Value)
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
			t.Errorf("the commands up to index %d do not give the state of the snapshot", n)
		}
	}
	if commands != 5 || fmt.Sprint(replayed.Keys("")) != "[_peer/a plans/basic x/after x/before]" {
		t.Errorf("the %d commands give keys %q", commands, replayed.Keys(""))
	}
}

// readVersion0Snapshot returns the bytes of the only snapshot in the directory.
func readVersion0Snapshot(t *testing.T, dir string) []byte {
	t.Helper()
	snapshots, err := raft.NewFileSnapshotStore(dir, 2, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	list, err := snapshots.List()
	if err != nil || len(list) != 1 || list[0].Index != 5 {
		t.Fatalf("got snapshots %+v, %v", list, err)
	}
	_, file, err := snapshots.Open(list[0].ID)
	if err != nil {
		t.Fatal(err)
	}
	defer closeOrFail(t, file)
	content, err := io.ReadAll(file)
	if err != nil {
		t.Fatal(err)
	}
	return content
}

// replayVersion0Command applies a command of the log, and checks that its edits are encoded again as the same bytes.
func replayVersion0Command(t *testing.T, state *kv.State, entry raft.Log) {
	t.Helper()
	var command kv.Command
	if err := json.Unmarshal(entry.Data, &command); err != nil {
		t.Fatal(err)
	}
	if reencoded, err := kv.EncodeCommand(command.Edits); err != nil || !bytes.Equal(reencoded, entry.Data) {
		t.Errorf("command %d, encoded again (%v):\n%s\nwant the fixture:\n%s", entry.Index, err, reencoded, entry.Data)
	}
	if _, err := state.Apply(kv.Index(entry.Index), entry.Data); err != nil {
		t.Error(err)
	}
}

func closeOrFail(t *testing.T, closer io.Closer) {
	t.Helper()
	if err := closer.Close(); err != nil {
		t.Error(err)
	}
}

// TestAPI_KeepsJSONForms checks the JSON forms of the API. Replicas of earlier versions and operators' tools read them.
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
				t.Errorf("got %s, %v; want %s", text, err, test.want)
			}
		})
	}
}

// TestStoredTypes_HaveTags checks that the name of each field of the API and of stored data is set by a tag, so that
// renaming the Go field does not change it.
func TestStoredTypes_HaveTags(t *testing.T) {
	testutil.CheckJSONTags(t, kv.Entry{}, kv.Edit{}, Peer{}, logPosition{}, Status{})
}
