package store

import (
	"errors"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"
)

// catchUpInterval is the time between two checks whether the log has caught up. It is far below the duration
// of an election.
const catchUpInterval = 20 * time.Millisecond

// errCatchingUp is the answer to a request for a vote that is withheld.
var errCatchingUp = errors.New("catching up after a restart: no votes")

// voteRestriction is Raft's transport, which withholds votes while a replica catches up after a restart: the
// replica requests no votes until its log has reached targetIndex, and gives none to a replica whose log has
// not. All other messages pass. A replica that is asked to stand for election at once while it catches up
// does not win, because it requests no votes.
//
// run owns what passes between the transport and Raft. lifted may be read at any time.
type voteRestriction struct {
	*raft.NetworkTransport
	targetIndex uint64
	lifted      atomic.Bool
	requests    chan raft.RPC
}

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
			if !v.lifted.Load() && v.withholds(request.Command) {
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

// withholds reports whether a command requests a vote for a candidate whose log lacks entries that this
// replica has yet to catch up with. A candidate that has them all may be voted for; otherwise a single
// up-to-date replica among replicas that are catching up could never lead.
func (v *voteRestriction) withholds(command any) bool {
	switch request := command.(type) {
	case *raft.RequestVoteRequest:
		return request.LastLogIndex < v.targetIndex
	case *raft.RequestPreVoteRequest:
		return request.LastLogIndex < v.targetIndex
	}
	return false
}

// RequestVote asks another replica for its vote.
func (v *voteRestriction) RequestVote(
	id raft.ServerID, address raft.ServerAddress,
	request *raft.RequestVoteRequest, response *raft.RequestVoteResponse,
) error {
	if !v.lifted.Load() {
		return errCatchingUp
	}
	return v.NetworkTransport.RequestVote(id, address, request, response)
}

// RequestPreVote asks another replica whether it would grant its vote.
func (v *voteRestriction) RequestPreVote(
	id raft.ServerID, address raft.ServerAddress,
	request *raft.RequestPreVoteRequest, response *raft.RequestPreVoteResponse,
) error {
	if !v.lifted.Load() {
		return errCatchingUp
	}
	return v.NetworkTransport.RequestPreVote(id, address, request, response)
}
