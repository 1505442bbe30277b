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

// peerPrefix is the prefix of the keys that the store writes for itself. The value of each is the Peer of one replica.
const peerPrefix = "_peer/"

// Peer describes a replica. Addresses have a host and a port.
type Peer struct {
	ID   string `json:"id"`
	Raft string `json:"raft"` // the address for Raft's messages between replicas
	API  string `json:"api"`  // the address of the HTTP API
}

// peerFieldCount is the number of fields in the text form of a peer, and peerSeparator the separator between them.
const (
	peerFieldCount = 3
	peerSeparator  = "@"
)

// format returns the text form of the peer, which ParsePeer parses.
func (p Peer) format() string { return p.ID + peerSeparator + p.Raft + peerSeparator + p.API }

// ParsePeer parses "id@raft-address@api-address". An error quotes the text and states what is wrong with it.
func ParsePeer(text string) (Peer, error) {
	fields := strings.Split(text, peerSeparator)
	if len(fields) != peerFieldCount || fields[0] == "" {
		return Peer{}, fmt.Errorf("peer %q is not of the form id@raft-address@api-address", text)
	}
	for _, address := range fields[1:] {
		if _, port, err := net.SplitHostPort(address); err != nil || port == "" || port == "0" {
			return Peer{}, fmt.Errorf("peer %q: %q is no host and port", text, address)
		}
	}
	return Peer{ID: fields[0], Raft: fields[1], API: fields[2]}, nil
}

// apiAddress returns the address of a replica's API: the address that the leader recorded, or else the address in
// Options.Peers. It is empty if neither contains the replica.
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

// recordPeersOnElection records the addresses of the replicas' APIs each time this replica becomes the leader, so
// that any replica can forward requests. Raft never closes the channel of leadership changes; the loop ends when
// the store is closed.
func (s *Store) recordPeersOnElection() {
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

// recordPeers records the members of the cluster whose addresses the state lacks, and this replica if the recorded
// addresses are not its current ones.
func (s *Store) recordPeers() {
	var edits []kv.Edit
	for _, peer := range s.options.Peers {
		value, err := json.Marshal(peer)
		if err != nil {
			continue // a struct of strings always marshals
		}
		recorded, found := s.ReadLocalValue(peerPrefix + peer.ID)
		ownAddressChanged := peer.ID == s.options.Self.ID && string(recorded) != string(value)
		if ownAddressChanged || !found && s.isMember(peer.ID) {
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

// isMember reports whether Raft's configuration contains a replica.
func (s *Store) isMember(id string) bool {
	future := s.raft.GetConfiguration()
	if future.Error() != nil {
		return false
	}
	return slices.ContainsFunc(future.Configuration().Servers, func(server raft.Server) bool {
		return string(server.ID) == id
	})
}
