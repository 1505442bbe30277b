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
	"time"

	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"

	"fawnplank/internal/store/kv"
	"fawnplank/internal/testutil"
)

// version0Folder gives a replica's folder as the version before left it: some commands, a snapshot, and commands
// behind that. The replica was alone, so that one of its name elects itself, at any address.
func version0Folder(t *testing.T) string {
	t.Helper()
	return testutil.Fixture(t, "replica.tar.gz", func(path string) {
		me := Peer{"a", "127.0.0.1:7001", "127.0.0.1:7101"}
		s, err := Open(Options{Dir: path, Self: me, Peers: []Peer{me}, HeartbeatInterval: 50 * time.Millisecond})
		if err != nil {
			t.Fatal(err)
		}
		c := &cluster{t: t, running: map[string]*Store{"a": s}}
		c.eventually("its own address to be written", func() bool { _, ok := s.ReadLocalValue(peerPrefix + "a"); return ok })
		land := func(edits ...kv.Edit) {
			if err := s.Edit(edits); err != nil {
				t.Fatal(err)
			}
		}
		land(kv.Edit{Key: "plans/basic", Value: json.RawMessage(`{"name":"basic","quota-rate":5}`)},
			kv.Edit{Key: "x/gone", Value: json.RawMessage(`1`)})
		land(kv.Edit{Key: "x/before", Value: json.RawMessage(`{"n":1}`), Check: true})
		if err := s.raft.Snapshot().Error(); err != nil {
			t.Fatal(err)
		}
		e, _ := s.ReadLocal("plans/basic")
		land(kv.Edit{Key: "plans/basic", Value: json.RawMessage(`{"name":"basic","quota-rate":9}`), Check: true, If: e.Index},
			kv.Edit{Key: "x/gone"})
		land(kv.Edit{Key: "x/after", Value: json.RawMessage(`["behind the snapshot"]`)})
		s.Close()
	})
}

// TestOpen_ReadsVersion0Folder starts a replica on a folder of the version before: it has what that one had, at the
// indices it had it, and takes writes.
func TestOpen_ReadsVersion0Folder(t *testing.T) {
	me := Peer{"a", freeAddress(t), freeAddress(t)}
	s, err := Open(Options{Dir: version0Folder(t), Self: me, HeartbeatInterval: 50 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	c := &cluster{t: t, running: map[string]*Store{"a": s}}
	c.eventually("a leader with the whole log", func() bool { _, ok := s.ReadLocalValue("x/after"); return ok && s.raft.State() == raft.Leader })
	want := map[string]kv.Entry{
		"plans/basic": {Value: json.RawMessage(`{"name":"basic","quota-rate":9}`), Index: 6},
		"x/before":    {Value: json.RawMessage(`{"n":1}`), Index: 5},
		"x/after":     {Value: json.RawMessage(`["behind the snapshot"]`), Index: 7},
	}
	if rows := s.ReadPrefix(""); len(rows) != len(want)+1 || rows[peerPrefix+"a"] == nil {
		t.Errorf("keys %q", slices.Sorted(maps.Keys(rows)))
	}
	for key, x := range want {
		if e, ok := s.ReadLocal(key); !ok || e.Index != x.Index || !bytes.Equal(e.Value, x.Value) {
			t.Errorf("%s: %s at %d, not %s at %d", key, e.Value, e.Index, x.Value, x.Index)
		}
	}
	if err := s.Edit([]kv.Edit{{Key: "x/before", Value: json.RawMessage(`2`), Check: true, If: 5}}); err != nil {
		t.Error(err)
	}
}

// TestVersion0Folder_Bytes reads the log and the snapshot of the folder with nothing but Raft's own stores and kv, and
// writes each command, and the snapshot, anew as the same bytes.
func TestVersion0Folder_Bytes(t *testing.T) {
	dir := version0Folder(t)
	bolt, err := raftboltdb.NewBoltStore(filepath.Join(dir, "raft.db"))
	if err != nil {
		t.Fatal(err)
	}
	defer bolt.Close()
	snaps, err := raft.NewFileSnapshotStore(dir, 2, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	list, err := snaps.List()
	if err != nil || len(list) != 1 || list[0].Index != 5 {
		t.Fatalf("snapshots %+v, %v", list, err)
	}
	_, file, err := snaps.Open(list[0].ID)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	text, err := io.ReadAll(file)
	if err != nil {
		t.Fatal(err)
	}
	snapshot, err := kv.Load(text)
	if err != nil {
		t.Fatal(err)
	}
	if again, err := snapshot.Snapshot(); err != nil || !bytes.Equal(again, text) {
		t.Errorf("the snapshot, written anew (%v):\n%s\nthe fixture:\n%s", err, again, text)
	}
	if e, ok := snapshot.Get(peerPrefix + "a"); !ok || string(e.Value) != `{"id":"a","raft":"127.0.0.1:7001","api":"127.0.0.1:7101"}` {
		t.Errorf("its address: %s", e.Value)
	}
	replayed, commands := kv.New(), 0
	for n := uint64(1); ; n++ {
		var l raft.Log
		if err := bolt.GetLog(n, &l); errors.Is(err, raft.ErrLogNotFound) {
			break
		} else if err != nil {
			t.Fatal(err)
		}
		if l.Type != raft.LogCommand {
			continue
		}
		commands++
		var c kv.Command
		if err := json.Unmarshal(l.Data, &c); err != nil {
			t.Fatal(err)
		}
		if again, err := kv.Encode(c.Edits); err != nil || !bytes.Equal(again, l.Data) {
			t.Errorf("command %d, written anew (%v):\n%s\nthe fixture:\n%s", n, err, again, l.Data)
		}
		if _, err := replayed.Apply(kv.Index(n), l.Data); err != nil {
			t.Error(err)
		}
		if kv.Index(n) == snapshot.AppliedIndex() && replayed.Fingerprint() != snapshot.Fingerprint() {
			t.Errorf("the log up to %d comes to something else than the snapshot", n)
		}
	}
	if commands != 5 || fmt.Sprint(replayed.Keys("")) != "[_peer/a plans/basic x/after x/before]" {
		t.Errorf("%d commands come to %q", commands, replayed.Keys(""))
	}
}

// TestAPI_JSONForms holds the API's forms, which replicas of the version before and operators' tools read.
func TestAPI_JSONForms(t *testing.T) {
	for name, c := range map[string]struct {
		value any
		want  string
	}{
		"entry":   {kv.Entry{Value: json.RawMessage(`{"n":1}`), Index: 4}, `{"value":{"n":1},"index":4}`},
		"edit":    {kv.Edit{Key: "k", Value: json.RawMessage(`1`), Check: true, If: 2}, `{"key":"k","value":1,"check":true,"if":2}`},
		"deletes": {kv.Edit{Key: "k"}, `{"key":"k"}`},
		"peer":    {Peer{"a", "r:1", "p:2"}, `{"id":"a","raft":"r:1","api":"p:2"}`},
		"witness": {logPosition{3, 9}, `{"term":3,"last":9}`},
		"status": {Status{ID: "a", State: "Leader", Leader: "b", Term: 1, LastIndex: 2, CommitIndex: 3, AppliedIndex: 4, Fingerprint: "p", CanVote: true,
			Peers: []Peer{{"a", "r:1", "p:2"}}}, `{"id":"a","state":"Leader","leader":"b","term":1,"last":2,"commit":3,"at":4,` +
			`"print":"p","votes":true,"peers":[{"id":"a","raft":"r:1","api":"p:2"}]}`},
	} {
		t.Run(name, func(t *testing.T) {
			if text, err := json.Marshal(c.value); err != nil || string(text) != c.want {
				t.Errorf("%s, %v; not %s", text, err, c.want)
			}
		})
	}
}

// TestStoredTypes_HaveTags holds that each field of the API and of what replicas keep has its name from a tag.
func TestStoredTypes_HaveTags(t *testing.T) {
	testutil.CheckTags(t, kv.Entry{}, kv.Edit{}, Peer{}, logPosition{}, Status{})
}
