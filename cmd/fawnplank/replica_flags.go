package main

import (
	"errors"
	"fmt"
	"slices"

	"github.com/spf13/cobra"

	"fawnplank/internal/store"
	"fawnplank/internal/tlsconfig"
)

// replicaFlags holds the flags that configure a replica of the store.
type replicaFlags struct {
	dir   string   // data directory; empty for no store
	self  string   // this replica as id@raft-address@api-address, the format of store.ParsePeer
	peers []string // all replicas of the first start, in the same format
}

func (f *replicaFlags) register(command *cobra.Command) {
	flags := command.Flags()
	flags.StringVar(&f.dir, "store", "", "data directory of this replica of the store; no store if not set")
	flags.StringVar(&f.self, "me", "", "this replica: id@raft-address@api-address")
	flags.StringSliceVar(&f.peers, "peers", nil,
		"all replicas of the first start, including this one; if not set, the replica waits to be added")
}

// options returns the options for store.Open. An error in a flag names that flag.
func (f *replicaFlags) options(files tlsconfig.Files) (store.Options, error) {
	source, err := replicaTLS(files)
	if err != nil {
		return store.Options{}, err
	}
	self, err := store.ParsePeer(f.self)
	if err != nil {
		return store.Options{}, fmt.Errorf("--me: %w", err)
	}
	peers, err := f.parsePeers(self)
	if err != nil {
		return store.Options{}, fmt.Errorf("--peers: %w", err)
	}
	return store.Options{Dir: f.dir, TLS: source, Self: self, Peers: peers}, nil
}

// parsePeers parses the replicas of the first start. The list must include self, unless it is empty.
func (f *replicaFlags) parsePeers(self store.Peer) ([]store.Peer, error) {
	var peers []store.Peer
	for _, text := range f.peers {
		peer, err := store.ParsePeer(text)
		if err != nil {
			return nil, err
		}
		peers = append(peers, peer)
	}
	if len(peers) > 0 && !slices.Contains(peers, self) {
		return nil, fmt.Errorf("%s is not among them", f.self)
	}
	return peers, nil
}

// replicaTLS returns the source of a replica's certificate, or nil if TLS is not used.
func replicaTLS(files tlsconfig.Files) (*tlsconfig.CertificateSource, error) {
	if !files.Enabled() {
		return nil, nil
	}
	source, err := tlsconfig.New(files)
	if err != nil {
		return nil, err
	}
	if files.Authority == "" {
		return nil, errors.New("--tls-authority is missing: replicas need it to verify each other's certificates")
	}
	return source, nil
}
