package store

import (
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

func TestMembership_ReplicasAreAddedAndRemoved(t *testing.T) {
	c := newCluster(t, nil)
	c.write("a", "k", "1")
	added := newPeer(t, "d")
	c.peers = append(c.peers, added)
	replica, err := Open(Options{ // without peers, so it waits to be added
		Dir:         filepath.Join(c.dir, added.ID),
		Self:        added,
		TimeoutUnit: testTimeoutUnit,
	})
	if err != nil {
		t.Fatal(err)
	}
	c.running[added.ID] = replica
	body, err := json.Marshal(added)
	if err != nil {
		t.Fatal(err)
	}
	if status, text := c.call("b", "POST", "/v1/peers", string(body)); status != 200 {
		t.Fatal(status, text)
	}
	c.converge()
	c.write("d", "from-d", "2")
	removed := "a"
	if c.leader() == "a" {
		removed = "b"
	}
	if status, text := c.call("d", "DELETE", "/v1/peers/"+removed, ""); status != 200 {
		t.Fatal(status, text)
	}
	c.stop(removed)
	c.write("d", "after", "3")
	c.converge()
	status := c.running["d"].Status()
	isWrong := func(peer Peer) bool { return peer.ID == removed || peer.API == "" }
	if len(status.Peers) != 3 || slices.ContainsFunc(status.Peers, isWrong) {
		t.Errorf("%+v", status.Peers)
	}
}

func TestOpen_RefusesFolderInUse(t *testing.T) {
	c := newCluster(t, nil)
	_, err := Open(Options{Dir: filepath.Join(c.dir, "a"), Self: newPeer(t, "a")})
	if err == nil || !strings.Contains(err.Error(), "raft.db") ||
		!strings.Contains(err.Error(), "another process has it open") {
		t.Errorf("a second replica in the folder: %v", err)
	}
}

func TestParsePeer_RefusesIncompletePeers(t *testing.T) {
	for _, text := range []string{
		"", "a", "a@b@c", "a@127.0.0.1:1", "@127.0.0.1:1@127.0.0.1:2", "a@127.0.0.1:0@127.0.0.1:1",
	} {
		if _, err := ParsePeer(text); err == nil {
			t.Errorf("%q was accepted", text)
		}
	}
}

func TestOpen_RefusesDamagedLog(t *testing.T) {
	file := filepath.Join(t.TempDir(), "raft.db")
	damaged := []byte("no database at all, but long enough to look like one for a moment")
	if err := os.WriteFile(file, damaged, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(Options{Dir: filepath.Dir(file), Self: newPeer(t, "x")}); err == nil {
		t.Error("a damaged log was accepted")
	}
}
