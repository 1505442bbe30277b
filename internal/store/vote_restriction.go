package store

import (
	"errors"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"
)

// gatedTransport keeps a replica that catches up after a restart out of elections: it asks for no votes until its
// log has reached target, and gives none to a replica whose log has not. All else passes.
type voteRestriction struct {
	*raft.NetworkTransport
	targetIndex uint64
	lifted      atomic.Bool
	requests    chan raft.RPC
}

var errCatchingUp = errors.New("catching up after a restart: no votes")

func newVoteRestriction(t *raft.NetworkTransport, target uint64) *voteRestriction {
	g := &voteRestriction{NetworkTransport: t, targetIndex: target, requests: make(chan raft.RPC)}
	g.lifted.Store(target == 0)
	return g
}

// Consumer gives what others ask of this replica, but for votes while it catches up.
func (g *voteRestriction) Consumer() <-chan raft.RPC { return g.requests }

// watch passes requests on, and opens the gate once the log has caught up.
func (g *voteRestriction) watch(r *raft.Raft, closed <-chan struct{}) {
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-closed:
			return
		case <-tick.C:
			if !g.lifted.Load() && r.LastIndex() >= g.targetIndex && r.CommitIndex() >= g.targetIndex {
				g.lifted.Store(true)
			}
		case rpc := <-g.NetworkTransport.Consumer():
			if !g.lifted.Load() && g.withheld(rpc.Command) {
				rpc.Respond(nil, errCatchingUp)
				continue
			}
			select {
			case g.requests <- rpc:
			case <-closed:
				return
			}
		}
	}
}

// withheld says whether what is asked for is a vote for one whose log lacks what this replica is to catch up with. One
// that has it all may be voted for: else a single up-to-date replica among such could never lead.
func (g *voteRestriction) withheld(command any) bool {
	switch x := command.(type) {
	case *raft.RequestVoteRequest:
		return x.LastLogIndex < g.targetIndex
	case *raft.RequestPreVoteRequest:
		return x.LastLogIndex < g.targetIndex
	}
	return false
}

// RequestVote asks for a vote.
func (g *voteRestriction) RequestVote(id raft.ServerID, at raft.ServerAddress, args *raft.RequestVoteRequest, resp *raft.RequestVoteResponse) error {
	if !g.lifted.Load() {
		return errCatchingUp
	}
	return g.NetworkTransport.RequestVote(id, at, args, resp)
}

// RequestPreVote asks whether a vote would be given.
func (g *voteRestriction) RequestPreVote(id raft.ServerID, at raft.ServerAddress, args *raft.RequestPreVoteRequest, resp *raft.RequestPreVoteResponse) error {
	if !g.lifted.Load() {
		return errCatchingUp
	}
	return g.NetworkTransport.RequestPreVote(id, at, args, resp)
}

// TimeoutNow tells another to stand at once; a replica that is told so while it catches up fails to win.
func (g *voteRestriction) TimeoutNow(id raft.ServerID, at raft.ServerAddress, args *raft.TimeoutNowRequest, resp *raft.TimeoutNowResponse) error {
	return g.NetworkTransport.TimeoutNow(id, at, args, resp)
}
