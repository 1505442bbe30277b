package store

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/hashicorp/raft"

	"fawnplank/internal/store/kv"
)

// handleAddPeer makes a replica a voter of the cluster, and then records the address of its API. If the address
// cannot be recorded (status 503), the replica is a voter nevertheless, and repeating the call records the address.
func (s *Store) handleAddPeer(w http.ResponseWriter, _ *http.Request, body []byte) error {
	var peer Peer
	if err := json.Unmarshal(body, &peer); err != nil {
		return fmt.Errorf("peer: %w: %w", err, kv.ErrInvalid)
	}
	if _, err := ParsePeer(peer.format()); err != nil {
		return fmt.Errorf("%w: %w", err, kv.ErrInvalid)
	}
	future := s.raft.AddVoter(raft.ServerID(peer.ID), raft.ServerAddress(peer.Raft), 0, quorumTimeout)
	if err := translateNotLeader(future.Error()); err != nil {
		return err
	}
	value, err := json.Marshal(peer)
	if err != nil {
		return err // a struct of strings always marshals
	}
	return s.commitAndAnswer(w, []kv.Edit{{Key: peerPrefix + peer.ID, Value: value}})
}

// handleRemovePeer removes a replica from the cluster, and then deletes the record of its API address. If the
// deletion fails (status 503), the replica is removed nevertheless, and repeating the call deletes the record.
func (s *Store) handleRemovePeer(w http.ResponseWriter, r *http.Request, _ []byte) error {
	id := r.PathValue("id")
	future := s.raft.RemoveServer(raft.ServerID(id), 0, quorumTimeout)
	if err := translateNotLeader(future.Error()); err != nil {
		return err
	}
	return s.commitAndAnswer(w, []kv.Edit{{Key: peerPrefix + id}})
}

// handleBackup answers with a snapshot of the leader's state.
func (s *Store) handleBackup(w http.ResponseWriter, _ *http.Request, _ []byte) error {
	if err := s.confirmLeadership(); err != nil {
		return err
	}
	s.mu.RLock()
	content, err := s.state.Snapshot()
	s.mu.RUnlock()
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	// A write error is ignored, because the client has disconnected. It cannot restore a truncated snapshot.
	_, _ = w.Write(content)
	return nil
}

// handleRestore commits edits that return the state to that of a snapshot. The records of the replicas stay as they
// are now, not as they were at the time of the snapshot.
//
// Up to kv.MaxEdits edits are one command, which is applied completely or not at all. More edits are split into
// several commands, the writes before the deletions. If a command fails, the earlier ones stay applied, and repeating
// the call restores the rest.
func (s *Store) handleRestore(w http.ResponseWriter, _ *http.Request, body []byte) error {
	backup, err := kv.DecodeSnapshot(body)
	if err != nil {
		return fmt.Errorf("%w: %w", err, kv.ErrInvalid)
	}
	if err := s.confirmLeadership(); err != nil { // the edits are computed from the local state
		return err
	}
	edits := s.restoreEdits(backup)
	if err := s.validate(edits); err != nil {
		return err
	}
	for len(edits) > kv.MaxEdits {
		if _, err := s.apply(edits[:kv.MaxEdits]); err != nil {
			return fmt.Errorf("restored in part; restore again: %w", err)
		}
		edits = edits[kv.MaxEdits:]
	}
	return s.commitAndAnswer(w, edits)
}

// restoreEdits returns writes of the keys in a backup, followed by deletions of the keys that the backup lacks.
func (s *Store) restoreEdits(backup *kv.State) []kv.Edit {
	var edits []kv.Edit
	for _, key := range backup.Keys("") {
		if strings.HasPrefix(key, peerPrefix) {
			continue
		}
		entry, _ := backup.Get(key)
		edits = append(edits, kv.Edit{Key: key, Value: entry.Value})
	}
	for _, key := range s.localKeys("") {
		if _, found := backup.Get(key); !found && !strings.HasPrefix(key, peerPrefix) {
			edits = append(edits, kv.Edit{Key: key})
		}
	}
	return edits
}
