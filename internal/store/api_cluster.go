package store

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/hashicorp/raft"

	"fawnplank/internal/store/kv"
)

// handleAddPeer makes a replica a voter of the cluster, and writes where its API is.
func (s *Store) handleAddPeer(w http.ResponseWriter, _ *http.Request, body []byte) error {
	var peer Peer
	if err := json.Unmarshal(body, &peer); err != nil {
		return fmt.Errorf("peer: %w: %w", err, kv.ErrInvalid)
	}
	if _, err := ParsePeer(peer.ID + "@" + peer.Raft + "@" + peer.API); err != nil {
		return fmt.Errorf("%w: %w", err, kv.ErrInvalid)
	}
	future := s.raft.AddVoter(raft.ServerID(peer.ID), raft.ServerAddress(peer.Raft), 0, writeTimeout)
	if err := asNotLeader(future.Error()); err != nil {
		return err
	}
	value, err := json.Marshal(peer)
	if err != nil {
		return err // a struct of strings: it always marshals
	}
	return s.write(w, []kv.Edit{{Key: peerPrefix + peer.ID, Value: value}})
}

// handleRemovePeer takes a replica out of the cluster, and deletes where its API is.
func (s *Store) handleRemovePeer(w http.ResponseWriter, r *http.Request, _ []byte) error {
	id := r.PathValue("id")
	future := s.raft.RemoveServer(raft.ServerID(id), 0, writeTimeout)
	if err := asNotLeader(future.Error()); err != nil {
		return err
	}
	return s.write(w, []kv.Edit{{Key: peerPrefix + id}})
}

// handleBackup answers with a snapshot of the leader's state.
func (s *Store) handleBackup(w http.ResponseWriter, _ *http.Request, _ []byte) error {
	if _, _, err := s.read(""); err != nil { // a read of any key waits for all that was written before
		return err
	}
	s.mu.RLock()
	content, err := s.state.Snapshot()
	s.mu.RUnlock()
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	// A client that is gone is not waited for; one that has half a snapshot cannot restore it.
	_, _ = w.Write(content)
	return nil
}

// handleRestore writes the edits that make the state what a snapshot held. Replicas stay as they are now, not
// as they were then.
func (s *Store) handleRestore(w http.ResponseWriter, _ *http.Request, body []byte) error {
	backup, err := kv.Load(body)
	if err != nil {
		return fmt.Errorf("%w: %w", err, kv.ErrInvalid)
	}
	return s.write(w, s.restoreEdits(backup))
}

// restoreEdits are deletions of keys that a backup lacks, and then its own keys.
func (s *Store) restoreEdits(backup *kv.State) []kv.Edit {
	var edits []kv.Edit
	s.mu.RLock()
	for _, key := range s.state.Keys("") {
		if _, found := backup.Get(key); !found && !strings.HasPrefix(key, peerPrefix) {
			edits = append(edits, kv.Edit{Key: key})
		}
	}
	s.mu.RUnlock()
	for _, key := range backup.Keys("") {
		if strings.HasPrefix(key, peerPrefix) {
			continue
		}
		entry, _ := backup.Get(key)
		edits = append(edits, kv.Edit{Key: key, Value: entry.Value})
	}
	return edits
}
