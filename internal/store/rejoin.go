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
	// rejoinTimeout is how long a replica that starts waits for the others' positions: an answer takes
	// milliseconds, and one that is down must not hold up the start for long.
	rejoinTimeout = time.Second
	// rejoinRetryInterval lies between two requests for a replica's position: it may be starting too.
	rejoinRetryInterval = 50 * time.Millisecond
)

// Raft's own keys in its stable store.
const (
	currentTermKey       = "CurrentTerm"
	lastVoteTermKey      = "LastVoteTerm"
	lastVoteCandidateKey = "LastVoteCand"
)

// spentVote stands as the candidate of a vote that nobody gets. It is the name of no replica.
const spentVote = "spent at a restart"

// logPosition is how far a replica's log is, which it reports to one that starts.
type logPosition struct {
	Term      uint64 `json:"term"`
	LastIndex uint64 `json:"last"` // of the last log entry
}

// rejoin compares an existing folder with the other replicas before Raft starts. Raft takes its folder for
// durable: one put back from an old copy may vote a second time in a term, or help to elect a replica that
// lacks what it once helped to commit, and newer state would be overwritten. So where any replica that can be
// asked is in a later term, this one takes that term, with its vote spent; and where any has a longer log, it
// does not stand until it has caught up with it, and votes for nobody who has not (voteRestriction). With one
// replica's folder out of date the others are up, or more has failed than three replicas bear.
//
// It returns the index that the log must reach before this replica votes freely; 0: it may vote at once.
func (s *Store) rejoin() (uint64, error) {
	term, err := s.logStore.GetUint64([]byte(currentTermKey))
	if err != nil && !errors.Is(err, raftboltdb.ErrKeyNotFound) {
		return 0, err
	}
	lastIndex, err := s.logStore.LastIndex()
	if err != nil {
		return 0, err
	}
	highest := s.highestPosition()
	if highest.Term > term {
		if err := s.spendVote(highest.Term); err != nil {
			return 0, err
		}
	}
	if highest.LastIndex > lastIndex {
		behind := highest.LastIndex - lastIndex
		logging.For("store").WithField("behind", behind).Warn("catching up before voting")
		return highest.LastIndex, nil
	}
	return 0, nil
}

// highestPosition asks the other replicas for their positions, for rejoinTimeout at most, and gives the
// highest term and the highest index that any of them reported.
func (s *Store) highestPosition() logPosition {
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
			position, ok := s.positionOf(ctx, peer)
			if !ok {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			highest.Term = max(highest.Term, position.Term)
			highest.LastIndex = max(highest.LastIndex, position.LastIndex)
		})
	}
	requests.Wait()
	return highest
}

// positionOf asks a replica for its position until it answers or ctx is over.
func (s *Store) positionOf(ctx context.Context, peer Peer) (logPosition, bool) {
	for ctx.Err() == nil {
		var position logPosition
		err := s.getJSON(ctx, peer.API, "/v1/witness", &position)
		if err == nil {
			return position, true
		}
		time.Sleep(rejoinRetryInterval)
	}
	return logPosition{}, false
}

// spendVote moves this replica to a term in which it has voted already. Raft must not be running.
func (s *Store) spendVote(term uint64) error {
	encodedTerm := binary.BigEndian.AppendUint64(nil, term)
	for _, entry := range []struct {
		key   string
		value []byte
	}{
		{currentTermKey, encodedTerm},
		{lastVoteTermKey, encodedTerm},
		{lastVoteCandidateKey, []byte(spentVote)},
	} {
		if err := s.logStore.Set([]byte(entry.key), entry.value); err != nil {
			return err
		}
	}
	return nil
}

// position is how far this replica's log is; before Raft runs it is read from the folder.
func (s *Store) position() logPosition {
	s.mu.RLock()
	node := s.raft
	s.mu.RUnlock()
	if node != nil {
		return logPosition{Term: node.CurrentTerm(), LastIndex: node.LastIndex()}
	}
	// A folder without a term, or one that cannot be read, counts as empty: then it is the others' positions
	// that count.
	term, _ := s.logStore.GetUint64([]byte(currentTermKey))
	lastIndex, _ := s.logStore.LastIndex()
	return logPosition{Term: term, LastIndex: lastIndex}
}
