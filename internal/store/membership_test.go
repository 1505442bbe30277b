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
	c.writeUntilCommitted("a", "k", "1")
	added := newPeer(t, "d")
	c.peers = append(c.peers, added)
	replica, err := Open(Options{ // without peers, the replica waits until it is added
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
	if status, text := c.callAPI("b", "POST", "/v1/peers", string(body)); status != 200 {
		t.Fatal(status, text)
	}
	c.awaitConvergence()
	c.writeUntilCommitted("d", "from-d", "2")
	removed := "a"
	if c.leader() == "a" {
		removed = "b"
	}
	if status, text := c.callAPI("d", "DELETE", "/v1/peers/"+removed, ""); status != 200 {
		t.Fatal(status, text)
	}
	c.stop(removed)
	c.writeUntilCommitted("d", "after", "3")
	c.awaitConvergence()
	status := c.running["d"].Status()
	isUnexpected := func(peer Peer) bool { return peer.ID == removed || peer.API == "" }
	if len(status.Peers) != 3 || slices.ContainsFunc(status.Peers, isUnexpected) {
		t.Errorf("%+v", status.Peers)
	}
}

func TestOpen_RejectsDirInUse(t *testing.T) {
	c := newCluster(t, nil)
	_, err := Open(Options{Dir: filepath.Join(c.dir, "a"), Self: newPeer(t, "a")})
	if err == nil || !strings.Contains(err.Error(), "raft.db") ||
		!strings.Contains(err.Error(), "another process has it open") {
		t.Errorf("error of a second replica in the directory: %v", err)
	}
}

func TestParsePeer_RejectsIncompletePeers(t *testing.T) {
	for _, text := range []string{
		"", "a", "a@b@c", "a@127.0.0.1:1", "@127.0.0.1:1@127.0.0.1:2", "a@127.0.0.1:0@127.0.0.1:1",
	} {
		if _, err := ParsePeer(text); err == nil {
			t.Errorf("no error for peer %q", text)
		}
	}
}

func TestOpen_RejectsCorruptLogFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "raft.db")
	corrupt := []byte("no database at all, but long enough to look like one for a moment")
	if err := os.WriteFile(file, corrupt, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(Options{Dir: filepath.Dir(file), Self: newPeer(t, "x")}); err == nil {
		t.Error("no error for a corrupt log file")
	}
}
