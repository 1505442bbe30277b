// Package store is the small replicated key-value store in which the gateway instances of one installation
// keep their plans and classes, the DNS zone and the billing accounts, if they may talk to each other. It uses
// hashicorp's implementation of Raft (Ongaro and Ousterhout, 2014) with its log in a bbolt file, snapshots
// next to that file, and package kv as the replicated state machine.
//
// A Store is one replica. It owns its folder, the connections between replicas and the HTTP API (api.go). It
// does not interpret values: its owner checks them with Options.Validate and follows them with
// Options.OnChange. All methods of an open Store may be called concurrently; Close may be called more than
// once.
//
// raft.go starts Raft, and rejoin.go what precedes it in a folder that was used before. leader.go has what only
// a leader with a quorum can do: commits and linearizable reads. Any replica does the rest by itself, or
// forwards it to the leader (forward.go).
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
	// Dir is the replica's folder. It is created if it does not exist.
	Dir string
	// Self is this replica.
	Self Peer
	// Peers lists all replicas, including this one. With a new folder they become the first configuration of the
	// cluster; without peers, the replica waits to be added. A folder that is in use knows the members itself, but
	// rejoin asks only Peers for their positions. Give them at every later start too: without them, a replica that
	// starts from an old copy of its folder is not noticed.
	Peers []Peer
	// Validate, if set, checks each value that is written through the API. An error keeps the value out of the
	// log. Edits that this process commits as the leader (Edit, and the peers' addresses) are not checked.
	Validate func(key string, value json.RawMessage) error
	// OnChange, if set, is called on every replica with the keys that changed, in the order of the log. After a
	// snapshot has replaced the state, it is called with the keys of both, so with those that vanished too. It must
	// not block.
	OnChange func(keys []string)
	// TLS, if set, protects both addresses and the connections to other replicas. Each side presents a
	// certificate of the authority that TLS names.
	TLS *tlsconfig.CertificateSource
	// TimeoutUnit is the unit of Raft's timeouts for the leader's heartbeats, for an election and for the leader's
	// lease; see raft.go. It is longer than the interval between heartbeats. 0 means 200 ms, many times the delay
	// of a loopback or a rack.
	TimeoutUnit time.Duration
}

// logComponent names this package in the log.
const logComponent = "store"

const (
	defaultTimeoutUnit = 200 * time.Millisecond
	// quorumTimeout bounds what needs an answer of a quorum: a commit, a change of membership, a linearizable
	// read. It outlasts an election, which takes a second at most on a loopback.
	quorumTimeout = 5 * time.Second
	// folderMode gives only the gateway's user access to a replica's folder.
	folderMode = 0o700
	// apiMaxIdleConns is how many idle connections to each other replica's API are reused.
	apiMaxIdleConns = 8
	// apiIdleTimeout is how long an idle connection to another replica's API is kept; see idleTimeout.
	apiIdleTimeout = time.Minute
)

// Store is one replica. All its methods may be called concurrently.
type Store struct {
	options   Options
	logStore  *raftboltdb.BoltStore // Raft's log, term and vote
	transport *raft.NetworkTransport
	votes     *voteRestriction

	mu    sync.RWMutex // guards state, and raft until it is set
	raft  *raft.Raft   // nil while the replica starts; once isStarted is true, read without mu
	state *kv.State

	listener net.Listener // listener of the API
	server   *http.Server
	client   *http.Client // calls other replicas' APIs
	scheme   string       // URL scheme of the replicas' APIs: http or https

	closed     chan struct{}
	closeOnce  sync.Once
	background sync.WaitGroup // goroutines that end when closed is closed or the server ends
}

// Open starts a replica in its folder, and its API. A folder that was used before is first compared with the
// other replicas; see rejoin.
func Open(options Options) (*Store, error) {
	if options.TimeoutUnit == 0 {
		options.TimeoutUnit = defaultTimeoutUnit
	}
	if err := os.MkdirAll(options.Dir, folderMode); err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	s := &Store{options: options, state: kv.New(), closed: make(chan struct{})}
	s.configureClient()
	if err := s.open(); err != nil {
		s.Close()
		return nil, fmt.Errorf("store: %w", err)
	}
	return s, nil
}

// configureClient sets how this replica calls the others' APIs: over TLS if the options ask for it.
func (s *Store) configureClient() {
	transport := &http.Transport{MaxIdleConnsPerHost: apiMaxIdleConns, IdleConnTimeout: apiIdleTimeout}
	s.scheme = "http"
	if s.options.TLS != nil {
		s.scheme = "https"
		transport.TLSClientConfig = s.options.TLS.ClientConfig()
	}
	s.client = &http.Client{Timeout: forwardTimeout, Transport: transport}
}

// Close stops the replica. Its data stays in its folder.
//
// Close ignores errors of the parts that it closes: nothing follows that could act on them, and what was
// committed is already on disk.
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

// ReadLocal reads a key's entry as this replica has it, and reports whether the key exists. The entry is always
// a committed one, but may not be the latest.
func (s *Store) ReadLocal(key string) (kv.Entry, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.state.Get(key)
}

// ReadLocalValue reads a key's value as this replica has it, and reports whether the key exists; see ReadLocal.
func (s *Store) ReadLocalValue(key string) (json.RawMessage, bool) {
	entry, ok := s.ReadLocal(key)
	return entry.Value, ok
}

// ReadPrefix returns the values of the keys with a prefix as this replica has them, by the part of the key
// that follows the prefix.
func (s *Store) ReadPrefix(prefix string) map[string]json.RawMessage {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.state.Values(prefix)
}
