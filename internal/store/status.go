package store

import "fawnplank/internal/store/kv"

// Status describes a replica from its own point of view. Indices are positions in the log.
type Status struct {
	ID           string   `json:"id"`
	State        string   `json:"state"`  // Follower, Candidate, Leader or Shutdown
	Leader       string   `json:"leader"` // the leader's ID; empty if none is known
	Term         uint64   `json:"term"`
	LastIndex    uint64   `json:"last"`   // index of the log's last entry
	CommitIndex  uint64   `json:"commit"` // index of the last entry that is known to be committed
	AppliedIndex kv.Index `json:"at"`     // index of the last command that was applied to the state
	Fingerprint  string   `json:"print"`  // hash of the keys and values; equal on replicas with equal content
	// CanVote is false while the replica catches up after a restart. During that time it votes only for candidates
	// that have the entries that it lacks.
	CanVote bool   `json:"votes"`
	Peers   []Peer `json:"peers"`
}

// Status returns the replica's current status.
func (s *Store) Status() Status {
	_, leader := s.raft.LeaderWithID()
	status := Status{
		ID:          s.options.Self.ID,
		State:       s.raft.State().String(),
		Leader:      string(leader),
		Term:        s.raft.CurrentTerm(),
		LastIndex:   s.raft.LastIndex(),
		CommitIndex: s.raft.CommitIndex(),
		CanVote:     s.restriction.lifted.Load(),
	}
	if future := s.raft.GetConfiguration(); future.Error() == nil {
		for _, server := range future.Configuration().Servers {
			id := string(server.ID)
			peer := Peer{ID: id, Raft: string(server.Address), API: s.apiAddress(id)}
			status.Peers = append(status.Peers, peer)
		}
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	status.AppliedIndex = s.state.AppliedIndex()
	status.Fingerprint = s.state.Fingerprint()
	return status
}
