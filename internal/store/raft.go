package store

import (
	"errors"
	"fmt"
	"path/filepath"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"
)

const (
	// raftLogFile is the name of the file with Raft's log, term and vote.
	raftLogFile = "raft.db"
	// snapshotThreshold is the number of log entries after which Raft writes a snapshot. Raft checks the number every
	// snapshotInterval, so a restart may replay somewhat more entries.
	snapshotThreshold = 1024
	snapshotInterval  = 10 * time.Second
	// retainedSnapshots is how many snapshots are kept: the latest, and its predecessor in case the latest is corrupt.
	retainedSnapshots = 2
	// commitTimeout is the time after which the leader sends a new commit index to the followers in a message of its
	// own, if no further entry has carried it.
	commitTimeout = 5 * time.Millisecond
	// dirLockTimeout is short, so that a second process on the same directory fails instead of waiting for the lock.
	dirLockTimeout = time.Second
)

// Raft's timeouts, in units of Options.TimeoutUnit. Raft randomizes the heartbeat timeout and the election timeout
// between one and two times the configured value. The leader sends heartbeats at intervals of a tenth to a fifth of
// the heartbeat timeout. The leader's lease must be shorter than the election timeout, so that a leader that has lost
// its quorum steps down before the other replicas elect a new leader.
const (
	heartbeatTimeoutUnits = 3 // time without a heartbeat after which a follower starts an election
	electionTimeoutUnits  = 3 // time without a majority after which a candidate starts another election
	leaderLeaseUnits      = 2 // time without contact to a quorum after which a leader steps down
)

// open opens and starts the parts of a replica in order. If it returns an error, the caller closes the parts that
// were opened.
func (s *Store) open() error {
	if err := s.listenAPI(); err != nil {
		return fmt.Errorf("listen on the API address: %w", err)
	}
	if err := s.openLog(); err != nil {
		return err
	}
	logger := newRaftLogger()
	snapshots, err := raft.NewFileSnapshotStoreWithLogger(s.options.Dir, retainedSnapshots, logger)
	if err != nil {
		return fmt.Errorf("open the snapshots in %s: %w", s.options.Dir, err)
	}
	hasState, err := raft.HasExistingState(s.logStore, s.logStore, snapshots)
	if err != nil {
		return fmt.Errorf("read the Raft state in %s: %w", s.options.Dir, err)
	}
	s.serveAPI() // other replicas can request this replica's log position from here on
	findTargetIndex := s.rejoin
	if !hasState {
		findTargetIndex = s.rejoinWithEmptyDir
	}
	targetIndex, err := findTargetIndex()
	if err != nil {
		return fmt.Errorf("compare term and log in %s with the other replicas: %w", s.options.Dir, err)
	}
	if s.transport, err = s.newTransport(logger); err != nil {
		return fmt.Errorf("listen on the Raft address: %w", err)
	}
	s.restriction = newVoteRestriction(s.transport, targetIndex)
	config := s.raftConfig(logger)
	if !hasState && targetIndex == 0 {
		if err := s.bootstrap(config, snapshots); err != nil {
			return fmt.Errorf("write the first configuration of the cluster: %w", err)
		}
	}
	return s.startRaft(config, snapshots)
}

// raftLog returns the log that Raft uses, with checksums.
func (s *Store) raftLog() checksumLog { return checksumLog{s.logStore} }

// openLog opens the file in which Raft stores its log, term and vote, locks it for this process, and verifies the
// entries of the log.
func (s *Store) openLog() error {
	path := filepath.Join(s.options.Dir, raftLogFile)
	logStore, err := raftboltdb.New(raftboltdb.Options{
		Path:        path,
		BoltOptions: &bbolt.Options{Timeout: dirLockTimeout},
	})
	if errors.Is(err, bbolterrors.ErrTimeout) {
		return fmt.Errorf("%s: another process has it open; stop that process or choose another directory: %w",
			path, err)
	}
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	s.logStore = logStore
	if err := s.raftLog().verifyAll(); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

// raftConfig returns Raft's configuration for this replica.
func (s *Store) raftConfig(logger hclog.Logger) *raft.Config {
	unit := s.options.TimeoutUnit
	config := raft.DefaultConfig()
	config.LocalID = raft.ServerID(s.options.Self.ID)
	config.Logger = logger
	config.HeartbeatTimeout = heartbeatTimeoutUnits * unit
	config.ElectionTimeout = electionTimeoutUnits * unit
	config.LeaderLeaseTimeout = leaderLeaseUnits * unit
	config.CommitTimeout = commitTimeout
	config.SnapshotThreshold = snapshotThreshold
	config.SnapshotInterval = snapshotInterval
	config.TrailingLogs = snapshotThreshold
	return config
}

// bootstrap writes the first configuration of the cluster into a new directory. Without peers it writes nothing, and
// the replica waits until it is added to a cluster.
func (s *Store) bootstrap(config *raft.Config, snapshots raft.SnapshotStore) error {
	var servers []raft.Server
	for _, peer := range s.options.Peers {
		server := raft.Server{ID: raft.ServerID(peer.ID), Address: raft.ServerAddress(peer.Raft)}
		servers = append(servers, server)
	}
	if len(servers) == 0 {
		return nil
	}
	cluster := raft.Configuration{Servers: servers}
	return raft.BootstrapCluster(config, s.raftLog(), s.logStore, snapshots, s.restriction, cluster)
}

// startRaft starts Raft, and the goroutines that process vote requests and record the replicas' addresses.
func (s *Store) startRaft(config *raft.Config, snapshots raft.SnapshotStore) error {
	stableStore := retryingStableStore{StableStore: s.logStore, closed: s.closed}
	raftNode, err := raft.NewRaft(config, (*fsm)(s), s.raftLog(), stableStore, snapshots, s.restriction)
	if err != nil {
		return fmt.Errorf("start Raft: %w", err)
	}
	s.mu.Lock()
	s.raft = raftNode
	s.mu.Unlock()
	s.background.Go(func() { s.restriction.run(raftNode, s.closed) })
	// Close does not wait for these goroutines, because Raft never completes a write or a barrier that is still in its
	// queue when it shuts down.
	go s.recordPeersOnElection()
	go s.confirmState()
	return nil
}
