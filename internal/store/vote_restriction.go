package store

import (
	"errors"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"
)

// catchUpInterval lies between two looks whether the log has caught up: far below an election.
const catchUpInterval = 20 * time.Millisecond

// errCatchingUp answers a request for a vote that is withheld.
var errCatchingUp = errors.New("catching up after a restart: no votes")

// voteRestriction is Raft's transport with votes withheld while a replica catches up after a restart: it asks
// for none until its log has reached targetIndex, and gives none to a replica whose log has not. All else
// passes; a replica that is asked to stand for election at once while it catches up fails to win, since it
// asks for no votes.
//
// run is the owner of what passes between the transport and Raft. lifted may be read at any time.
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

// Consumer gives what other replicas ask of this one, except for votes that are withheld.
func (v *voteRestriction) Consumer() <-chan raft.RPC { return v.requests }

// run passes requests on until closed, and lifts the restriction once the log has caught up.
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

// liftIfCaughtUp lifts the restriction once the log up to targetIndex is here and committed.
func (v *voteRestriction) liftIfCaughtUp(node *raft.Raft) {
	if v.lifted.Load() {
		return
	}
	if node.LastIndex() >= v.targetIndex && node.CommitIndex() >= v.targetIndex {
		v.lifted.Store(true)
	}
}

// withholds reports whether a command asks for a vote for a candidate whose log lacks what this replica is to
// catch up with. One that has it all may be voted for: else a single up-to-date replica among such could
// never lead.
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

// RequestPreVote asks another replica whether it would give its vote.
func (v *voteRestriction) RequestPreVote(
	id raft.ServerID, address raft.ServerAddress,
	request *raft.RequestPreVoteRequest, response *raft.RequestPreVoteResponse,
) error {
	if !v.lifted.Load() {
		return errCatchingUp
	}
	return v.NetworkTransport.RequestPreVote(id, address, request, response)
}
