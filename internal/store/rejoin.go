package store

import (
	"context"
	"encoding/binary"
	"errors"
	"sync"
	"time"

	raftboltdb "github.com/hashicorp/raft-boltdb/v2"

	"fawnplank/internal/logging"
)

const (
	// rejoinTimeout is how long a starting replica waits for the log positions of the other replicas. An answer takes
	// milliseconds, and a replica that is down must not delay the start for long.
	rejoinTimeout = time.Second
	// rejoinRetryInterval is the time between two requests for the position of the same replica. The requests are
	// repeated because that replica may also be starting.
	rejoinRetryInterval = 50 * time.Millisecond
)

// Keys under which Raft stores its term and vote in its stable store.
const (
	currentTermKey       = "CurrentTerm"
	lastVoteTermKey      = "LastVoteTerm"
	lastVoteCandidateKey = "LastVoteCand"
)

// placeholderCandidate is stored as the candidate of a vote that no replica receives. No replica has this ID.
const placeholderCandidate = "spent at a restart"

// logPosition is the term and the last index of a replica's log. Replicas report it to a replica that is starting.
type logPosition struct {
	Term      uint64 `json:"term"`
	LastIndex uint64 `json:"last"` // index of the last log entry
}

// elementwiseMax returns a position with the higher of the two terms and the higher of the two indices.
func (p logPosition) elementwiseMax(other logPosition) logPosition {
	return logPosition{
		Term:      max(p.Term, other.Term),
		LastIndex: max(p.LastIndex, other.LastIndex),
	}
}

// rejoin compares the log in an existing directory with the logs of the other replicas before Raft starts. Raft
// assumes that its directory is durable. A replica whose directory was restored from an old copy could vote a second
// time in a term, or help to elect a replica that lacks entries that it had helped to commit. Newer state would then
// be overwritten. Therefore, if any reachable replica is in a later term, this replica adopts that term and marks its
// vote in it as cast. If any reachable replica has a longer log, this replica does not stand for election until it has
// caught up with that log, and votes only for candidates whose logs are at least as long (voteRestriction). This is
// sufficient while the other replicas are up: three replicas tolerate one failure, and the old directory counts as
// that failure.
//
// rejoin requests positions only from the replicas in Options.Peers, not from the members in the stored configuration.
// Without Options.Peers, a replica that starts from an old copy is not detected.
//
// It returns the index that the log must reach before this replica votes without restriction, or 0 if there is no
// restriction.
func (s *Store) rejoin() (uint64, error) {
	term, err := s.logStore.GetUint64([]byte(currentTermKey))
	if err != nil && !errors.Is(err, raftboltdb.ErrKeyNotFound) {
		return 0, err
	}
	lastIndex, err := s.logStore.LastIndex()
	if err != nil {
		return 0, err
	}
	highest := s.highestPeerPosition()
	if highest.Term > term {
		if err := s.markVoteCast(highest.Term); err != nil {
			return 0, err
		}
	}
	if highest.LastIndex > lastIndex {
		missingEntries := highest.LastIndex - lastIndex
		logging.For(logComponent).WithField("behind", missingEntries).
			Warn("catching up before voting")
		return highest.LastIndex, nil
	}
	return 0, nil
}

// bootstrapIndex is the log index of the first configuration, which each replica of a new cluster writes for itself.
const bootstrapIndex = 1

// rejoinWithEmptyDir requests the positions of the other replicas, before the first configuration is written into a new
// directory, to find out whether the cluster already runs. If it runs, this replica has lost its directory. It then
// does not bootstrap a cluster, but waits for the leader to send it the log. Its vote in the current term is marked as
// cast, and it votes only for candidates that have all entries of the other replicas, because it may have helped to
// commit these entries before its directory was lost.
//
// It returns the index that the log must reach before this replica votes without restriction, or 0 if the cluster is
// new.
func (s *Store) rejoinWithEmptyDir() (uint64, error) {
	highest := s.highestPeerPosition()
	if highest.LastIndex <= bootstrapIndex {
		return 0, nil
	}
	if err := s.markVoteCast(highest.Term); err != nil {
		return 0, err
	}
	logging.For(logComponent).WithField("behind", highest.LastIndex).
		Warn("folder empty, catching up with the cluster")
	return highest.LastIndex, nil
}

// highestPeerPosition requests the positions of the other replicas, for at most rejoinTimeout, and returns the
// highest term and the highest index that any of them reported.
func (s *Store) highestPeerPosition() logPosition {
	ctx, cancel := context.WithTimeout(context.Background(), rejoinTimeout)
	defer cancel()
	var (
		mu       sync.Mutex
		highest  logPosition
		requests sync.WaitGroup
	)
	for _, peer := range s.options.Peers {
		if peer.ID == s.options.Self.ID {
			continue
		}
		requests.Go(func() {
			position, ok := s.fetchPosition(ctx, peer)
			if !ok {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			highest = highest.elementwiseMax(position)
		})
	}
	requests.Wait()
	return highest
}

// fetchPosition requests a replica's position until the replica answers or ctx ends.
func (s *Store) fetchPosition(ctx context.Context, peer Peer) (logPosition, bool) {
	for ctx.Err() == nil {
		var position logPosition
		if err := s.getJSON(ctx, peer.API, positionPath, &position); err == nil {
			return position, true
		}
		time.Sleep(rejoinRetryInterval)
	}
	return logPosition{}, false
}

// markVoteCast advances this replica to a term and stores that it has already voted in that term. Raft must not be
// running.
func (s *Store) markVoteCast(term uint64) error {
	encodedTerm := binary.BigEndian.AppendUint64(nil, term)
	for _, entry := range []struct {
		key   string
		value []byte
	}{
		{currentTermKey, encodedTerm},
		{lastVoteTermKey, encodedTerm},
		{lastVoteCandidateKey, []byte(placeholderCandidate)},
	} {
		if err := s.logStore.Set([]byte(entry.key), entry.value); err != nil {
			return err
		}
	}
	return nil
}

// localPosition returns the position of this replica's log. Before Raft runs, the position is read from the log file.
func (s *Store) localPosition() logPosition {
	s.mu.RLock()
	raftNode := s.raft
	s.mu.RUnlock()
	if raftNode != nil {
		return logPosition{Term: raftNode.CurrentTerm(), LastIndex: raftNode.LastIndex()}
	}
	// A log file without a term, or one that cannot be read, counts as empty, so that the positions of the other
	// replicas decide.
	term, _ := s.logStore.GetUint64([]byte(currentTermKey))
	lastIndex, _ := s.logStore.LastIndex()
	return logPosition{Term: term, LastIndex: lastIndex}
}
