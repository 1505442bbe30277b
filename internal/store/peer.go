package store

import (
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"strings"

	"github.com/hashicorp/raft"

	"fawnplank/internal/logging"
	"fawnplank/internal/store/kv"
)

// peerPrefix is the prefix of the store's own keys. Each of them holds one replica as a Peer.
const peerPrefix = "_peer/"

// Peer describes a replica. Addresses have a host and a port.
type Peer struct {
	ID   string `json:"id"`
	Raft string `json:"raft"` // the address at which the others' Raft reaches it
	API  string `json:"api"`  // the address of its API
}

// peerParts is the number of parts of a peer's text, which peerSeparator separates.
const (
	peerParts     = 3
	peerSeparator = "@"
)

// text returns the peer in the form that ParsePeer parses.
func (p Peer) text() string { return p.ID + peerSeparator + p.Raft + peerSeparator + p.API }

// ParsePeer parses "id@raft-address@api-address". Its error names the text and what is wrong with it.
func ParsePeer(text string) (Peer, error) {
	parts := strings.Split(text, peerSeparator)
	if len(parts) != peerParts || parts[0] == "" {
		return Peer{}, fmt.Errorf("peer %q is not of the form id@raft-address@api-address", text)
	}
	for _, address := range parts[1:] {
		if _, port, err := net.SplitHostPort(address); err != nil || port == "" || port == "0" {
			return Peer{}, fmt.Errorf("peer %q: %q is no host and port", text, address)
		}
	}
	return Peer{ID: parts[0], Raft: parts[1], API: parts[2]}, nil
}

// apiAddress returns the address of a replica's API: the one that the leader recorded, or else the one in
// Options.Peers. It is empty if neither names the replica.
func (s *Store) apiAddress(id string) string {
	if value, ok := s.ReadLocalValue(peerPrefix + id); ok {
		var peer Peer
		if json.Unmarshal(value, &peer) == nil {
			return peer.API
		}
	}
	for _, peer := range s.options.Peers {
		if peer.ID == id {
			return peer.API
		}
	}
	return ""
}

// recordPeersAsLeader records the addresses of the replicas' APIs whenever this replica becomes the leader, so
// that any replica can forward requests. Raft never closes the channel of leadership changes, so the loop ends
// with Close.
func (s *Store) recordPeersAsLeader() {
	for {
		select {
		case <-s.closed:
			return
		case isLeader := <-s.raft.LeaderCh():
			if isLeader {
				s.recordPeers()
			}
		}
	}
}

// recordPeers records the replicas whose addresses the state lacks, and this replica if the state has another
// address for it.
func (s *Store) recordPeers() {
	var edits []kv.Edit
	for _, peer := range s.options.Peers {
		value, err := json.Marshal(peer)
		if err != nil {
			continue // a struct of strings always marshals
		}
		recorded, found := s.ReadLocalValue(peerPrefix + peer.ID)
		isOwnAddressNew := peer.ID == s.options.Self.ID && string(recorded) != string(value)
		if isOwnAddressNew || !found && s.isMember(peer.ID) {
			edits = append(edits, kv.Edit{Key: peerPrefix + peer.ID, Value: value})
		}
	}
	if len(edits) == 0 {
		return
	}
	if _, err := s.apply(edits); err != nil {
		logging.For(logComponent).WithError(err).Warn("peer addresses not written")
	}
}

// isMember reports whether Raft counts a replica as a member of the cluster.
func (s *Store) isMember(id string) bool {
	future := s.raft.GetConfiguration()
	if future.Error() != nil {
		return false
	}
	return slices.ContainsFunc(future.Configuration().Servers, func(server raft.Server) bool {
		return string(server.ID) == id
	})
}
