package store

import (
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"
)

// catchUpCheckInterval is the time between two checks whether the log has caught up. It is much shorter than an
// election.
const catchUpCheckInterval = 20 * time.Millisecond

// voteRestriction wraps Raft's transport and withholds votes while a replica catches up after a restart. Until its own
// log has reached targetIndex, the replica requests no votes, and grants no vote to a candidate whose log ends before
// targetIndex. All other messages pass through. If the leader transfers its leadership to the replica while the replica
// catches up, the replica starts an election at once but cannot win it, because it requests no votes.
//
// Only run forwards requests from the transport to Raft. lifted may be read at any time, and changes only once.
type voteRestriction struct {
	*raft.NetworkTransport
	targetIndex uint64 // log index at which the restriction ends; 0 if there is none
	lifted      atomic.Bool
	forwarded   chan raft.RPC
}

// newVoteRestriction returns a restriction that lasts until the log has reached targetIndex. If targetIndex is 0,
// votes are not restricted.
func newVoteRestriction(transport *raft.NetworkTransport, targetIndex uint64) *voteRestriction {
	v := &voteRestriction{
		NetworkTransport: transport,
		targetIndex:      targetIndex,
		forwarded:        make(chan raft.RPC),
	}
	v.lifted.Store(targetIndex == 0)
	return v
}

// Consumer returns the channel of requests from other replicas, without the requests for votes that are withheld.
func (v *voteRestriction) Consumer() <-chan raft.RPC { return v.forwarded }

// run forwards requests to Raft until closed is closed, and lifts the restriction once the log has caught up.
func (v *voteRestriction) run(raftNode *raft.Raft, closed <-chan struct{}) {
	ticker := time.NewTicker(catchUpCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-closed:
			return
		case <-ticker.C:
			v.liftIfCaughtUp(raftNode)
		case request := <-v.NetworkTransport.Consumer():
			if v.withholdsVote(request.Command) {
				request.Respond(nil, errCatchingUp)
				continue
			}
			select {
			case v.forwarded <- request:
			case <-closed:
				return
			}
		}
	}
}

// liftIfCaughtUp lifts the restriction once the log contains all entries up to targetIndex and they are
// committed.
func (v *voteRestriction) liftIfCaughtUp(raftNode *raft.Raft) {
	if v.lifted.Load() {
		return
	}
	if raftNode.LastIndex() >= v.targetIndex && raftNode.CommitIndex() >= v.targetIndex {
		v.lifted.Store(true)
	}
}

// withholdsVote reports whether a command requests a vote that this replica must not grant yet, because the
// candidate's log ends before targetIndex. A candidate whose log has reached targetIndex may receive the vote;
// otherwise the only up-to-date replica among replicas that are catching up could never become the leader.
func (v *voteRestriction) withholdsVote(command any) bool {
	if v.lifted.Load() {
		return false
	}
	switch request := command.(type) {
	case *raft.RequestVoteRequest:
		return request.LastLogIndex < v.targetIndex
	case *raft.RequestPreVoteRequest:
		return request.LastLogIndex < v.targetIndex
	default:
		return false
	}
}

// checkMayRequestVotes returns errCatchingUp while this replica must not request votes, and nil afterwards.
func (v *voteRestriction) checkMayRequestVotes() error {
	if v.lifted.Load() {
		return nil
	}
	return errCatchingUp
}

// RequestVote sends a request for a vote to another replica. It returns errCatchingUp while votes are restricted.
func (v *voteRestriction) RequestVote(
	id raft.ServerID, address raft.ServerAddress,
	request *raft.RequestVoteRequest, response *raft.RequestVoteResponse,
) error {
	if err := v.checkMayRequestVotes(); err != nil {
		return err
	}
	return v.NetworkTransport.RequestVote(id, address, request, response)
}

// RequestPreVote sends a request for a pre-vote to another replica, which answers whether it would grant its vote. It
// returns errCatchingUp while votes are restricted.
func (v *voteRestriction) RequestPreVote(
	id raft.ServerID, address raft.ServerAddress,
	request *raft.RequestPreVoteRequest, response *raft.RequestPreVoteResponse,
) error {
	if err := v.checkMayRequestVotes(); err != nil {
		return err
	}
	return v.NetworkTransport.RequestPreVote(id, address, request, response)
}
