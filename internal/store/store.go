// Package store is a small replicated key-value store. The gateway instances of an installation keep their plans and
// classes, the DNS zone and the billing accounts in it, if the instances are allowed to communicate with each other.
// It uses hashicorp's implementation of Raft (Ongaro and Ousterhout, 2014) with the log in a bbolt file, snapshots
// next to that file, and package kv as the replicated state machine.
//
// A Store is one replica. It owns its directory, the connections to other replicas and the HTTP API (api.go). It does
// not interpret values: the owner of the Store validates them with Options.Validate and is notified of changes through
// Options.OnChange. All methods of an open Store may be called concurrently; Close may be called more than once.
//
// raft.go starts Raft, and rejoin.go compares the log with other replicas before that. After the start, confirmation.go
// brings the state up to date with the leader's. leader.go contains the operations that need the leader and a quorum:
// commits and linearizable reads. Every replica serves the other operations from its own state; requests for the leader
// are forwarded to it (forward.go).
package store

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"

	"fawnplank/internal/store/kv"
	"fawnplank/internal/tlsconfig"
)

// Options configures a replica.
type Options struct {
	// Dir is the replica's data directory. It is created if it does not exist.
	Dir string
	// Self is this replica.
	Self Peer
	// Peers lists all replicas, including this one. In a new directory they become the first configuration of the
	// cluster; without peers, the replica waits until it is added to a cluster. An existing directory contains the
	// configuration, but rejoin requests log positions only from Peers. Set Peers at every later start too: without
	// them, a replica that starts from an old copy of its directory is not detected.
	Peers []Peer
	// Validate, if set, checks each value that is written through the API. A value that it rejects is not written to
	// the log. Edits that this process commits as the leader (Edit, and the peers' addresses) are not checked.
	Validate func(key string, value json.RawMessage) error
	// OnChange, if set, is called on every replica with the keys that changed, in the order of the log. After a
	// snapshot, or the leader's state after the start (Confirmed), has replaced the state, it is called with the keys
	// whose entries differ, which include the deleted keys. It must not block. Calls may overlap.
	OnChange func(keys []string)
	// TLS, if set, secures the connections to both addresses of this replica and to those of the other replicas. Both
	// sides of a connection present a certificate that was issued by the authority in TLS.
	TLS *tlsconfig.CertificateSource
	// TimeoutUnit is the unit of Raft's heartbeat timeout, election timeout and leader lease; see raft.go. It is
	// longer than the interval between heartbeats. 0 means 200 ms, many times the network delay on a loopback
	// interface or within a rack.
	TimeoutUnit time.Duration
}

// logComponent is the name of this package in the log.
const logComponent = "store"

const (
	defaultTimeoutUnit = 200 * time.Millisecond
	// quorumTimeout bounds each operation that needs answers of a quorum: a commit, a change of membership or a
	// linearizable read. It is longer than an election, which takes at most a second on a loopback interface.
	quorumTimeout = 5 * time.Second
	// dirMode gives only the gateway's user access to a replica's directory.
	dirMode = 0o700
	// apiMaxIdleConns is how many idle connections to the API of each other replica are kept.
	apiMaxIdleConns = 8
	// apiIdleTimeout is how long an idle connection to the API of another replica is kept; see idleTimeout.
	apiIdleTimeout = time.Minute
)

// Store is one replica. All its methods may be called concurrently.
type Store struct {
	options     Options
	logStore    *raftboltdb.BoltStore // Raft's log, term and vote
	transport   *raft.NetworkTransport
	restriction *voteRestriction

	mu    sync.RWMutex // guards state and leaderState, and raft until it is set
	raft  *raft.Raft   // nil while the replica starts; once isStarted is true, read without mu
	state *kv.State    // as applied by Raft; reads use readableState
	// leaderState is the leader's state as fetched last. It is nil before that, and once Raft has applied as much.
	leaderState *kv.State
	confirmed   chan struct{} // closed once the state is confirmed; see Confirmed

	listener net.Listener // listener of the API
	server   *http.Server
	client   *http.Client // calls other replicas' APIs
	scheme   string       // URL scheme of the replicas' APIs: http or https

	closed     chan struct{}
	closeOnce  sync.Once
	background sync.WaitGroup // goroutines that end when closed is closed or the server ends
}

// Open starts a replica and its API. Before Raft starts, the log in the replica's directory is compared with the
// logs of the other replicas; see rejoin.
func Open(options Options) (*Store, error) {
	if options.TimeoutUnit == 0 {
		options.TimeoutUnit = defaultTimeoutUnit
	}
	if err := os.MkdirAll(options.Dir, dirMode); err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	s := &Store{
		options:   options,
		state:     kv.New(),
		confirmed: make(chan struct{}),
		closed:    make(chan struct{}),
	}
	s.configureClient()
	if err := s.open(); err != nil {
		s.Close()
		return nil, fmt.Errorf("store: %w", err)
	}
	return s, nil
}

// configureClient sets the client for the APIs of the other replicas. It uses TLS if Options.TLS is set.
func (s *Store) configureClient() {
	transport := &http.Transport{MaxIdleConnsPerHost: apiMaxIdleConns, IdleConnTimeout: apiIdleTimeout}
	s.scheme = "http"
	if s.options.TLS != nil {
		s.scheme = "https"
		transport.TLSClientConfig = s.options.TLS.ClientConfig()
	}
	s.client = &http.Client{Timeout: forwardTimeout, Transport: transport}
}

// Close stops the replica. Its data stays in its directory.
//
// Close ignores errors of the parts that it closes: no later step depends on them, and all committed entries are
// already on disk.
func (s *Store) Close() {
	s.closeOnce.Do(func() {
		close(s.closed)
		if s.raft != nil {
			_ = s.raft.Shutdown().Error()
		}
		if s.transport != nil {
			_ = s.transport.Close()
		}
		if s.server != nil {
			_ = s.server.Close()
		}
		if s.listener != nil {
			_ = s.listener.Close() // if there is a server, it has already closed the listener
		}
		s.background.Wait()
		if s.logStore != nil {
			_ = s.logStore.Close()
		}
	})
}

// ReadLocal reads a key's entry in this replica's state, and reports whether the key exists. The entry is always
// committed, but may be outdated.
func (s *Store) ReadLocal(key string) (kv.Entry, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.readableState().Get(key)
}

// ReadLocalValue reads a key's value in this replica's state, and reports whether the key exists; see ReadLocal.
func (s *Store) ReadLocalValue(key string) (json.RawMessage, bool) {
	entry, ok := s.ReadLocal(key)
	return entry.Value, ok
}

// ReadLocalPrefix returns the values of the keys with a prefix in this replica's state. The map is keyed by the part of
// the key that follows the prefix; see ReadLocal.
func (s *Store) ReadLocalPrefix(prefix string) map[string]json.RawMessage {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.readableState().Values(prefix)
}

// AppliedIndex returns the position in the log of the last command that the state read by ReadLocal includes.
func (s *Store) AppliedIndex() kv.Index {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.readableState().AppliedIndex()
}
