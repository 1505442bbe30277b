package store

import (
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"
)

// catchUpInterval is the time between two checks whether the log has caught up. It is far below the duration
// of an election.
const catchUpInterval = 20 * time.Millisecond

// voteRestriction is Raft's transport, which withholds votes while a replica catches up after a restart: the
// replica requests no votes until its log has reached targetIndex, and grants none to a candidate whose log has
// not. All other messages pass. A replica that is asked to stand for election at once while it catches up
// does not win, because it requests no votes.
//
// run owns what passes between the transport and Raft. lifted may be read at any time, and changes once.
type voteRestriction struct {
	*raft.NetworkTransport
	targetIndex uint64 // of the last log entry to catch up with; 0 if there is none
	lifted      atomic.Bool
	requests    chan raft.RPC
}

// newVoteRestriction returns a restriction that lasts until the log has reached targetIndex. For 0 it is lifted
// from the start.
func newVoteRestriction(transport *raft.NetworkTransport, targetIndex uint64) *voteRestriction {
	v := &voteRestriction{
		NetworkTransport: transport,
		targetIndex:      targetIndex,
		requests:         make(chan raft.RPC),
	}
	v.lifted.Store(targetIndex == 0)
	return v
}

// Consumer returns the channel of requests from other replicas, except for requests whose votes are withheld.
func (v *voteRestriction) Consumer() <-chan raft.RPC { return v.requests }

// run passes requests on until closed is closed, and lifts the restriction once the log has caught up.
func (v *voteRestriction) run(node *raft.Raft, closed <-chan struct{}) {
	ticker := time.NewTicker(catchUpInterval)
	defer ticker.Stop()
	for {
		select {
		case <-closed:
			return
		case <-ticker.C:
			v.liftIfCaughtUp(node)
		case request := <-v.NetworkTransport.Consumer():
			if v.withholds(request.Command) {
				request.Respond(nil, errCatchingUp)
				continue
			}
			select {
			case v.requests <- request:
			case <-closed:
				return
			}
		}
	}
}

// liftIfCaughtUp lifts the restriction once the log contains all entries up to targetIndex and they are
// committed.
func (v *voteRestriction) liftIfCaughtUp(node *raft.Raft) {
	if v.lifted.Load() {
		return
	}
	if node.LastIndex() >= v.targetIndex && node.CommitIndex() >= v.targetIndex {
		v.lifted.Store(true)
	}
}

// withholds reports whether a command requests a vote that this replica does not grant yet, because the log of
// the candidate lacks entries that it has itself yet to catch up with. A candidate that has them all may be
// voted for; otherwise a single up-to-date replica among replicas that are catching up could never lead.
func (v *voteRestriction) withholds(command any) bool {
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

// checkMayRequestVotes returns errCatchingUp while this replica may not stand for election.
func (v *voteRestriction) checkMayRequestVotes() error {
	if v.lifted.Load() {
		return nil
	}
	return errCatchingUp
}

// RequestVote asks another replica for its vote. It returns errCatchingUp while votes are withheld.
func (v *voteRestriction) RequestVote(
	id raft.ServerID, address raft.ServerAddress,
	request *raft.RequestVoteRequest, response *raft.RequestVoteResponse,
) error {
	if err := v.checkMayRequestVotes(); err != nil {
		return err
	}
	return v.NetworkTransport.RequestVote(id, address, request, response)
}

// RequestPreVote asks another replica whether it would grant its vote. It returns errCatchingUp while votes are
// withheld.
func (v *voteRestriction) RequestPreVote(
	id raft.ServerID, address raft.ServerAddress,
	request *raft.RequestPreVoteRequest, response *raft.RequestPreVoteResponse,
) error {
	if err := v.checkMayRequestVotes(); err != nil {
		return err
	}
	return v.NetworkTransport.RequestPreVote(id, address, request, response)
}
