// Package store is the small replicated key-value store in which the gateway instances of one installation
// keep their settings, where they may talk to each other. It is hashicorp's Raft (Ongaro and Ousterhout,
// 2014) with its log in a bbolt file, snapshots beside it, and package kv as the state machine that is
// replicated.
//
// A Store is one replica. It owns its folder, the connections between replicas and the HTTP API (api.go).
// What a value means is no concern of it: Options.Validate and Options.OnChange are how its owner judges and
// follows values. All methods of an open Store may be called concurrently; Close may be called more than
// once.
package store

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"

	"fawnplank/internal/store/kv"
	"fawnplank/internal/tlsconfig"
)

// Options are what a replica is started with.
type Options struct {
	// Dir is the replica's folder; it is made where it is not there.
	Dir string
	// Self is this replica.
	Self Peer
	// Peers are all replicas of the first start, this one too. A folder in use already knows them itself;
	// without peers a replica with a new folder waits to be added.
	Peers []Peer
	// Validate, where set, judges a value before it is written: an error keeps it out of the log.
	Validate func(key string, value json.RawMessage) error
	// OnChange, where set, is called with the keys that changed, in order of the log, on every replica. It
	// must not block.
	OnChange func(keys []string)
	// TLS, where set, protects both addresses and the connections to other replicas: each side shows a
	// certificate of the authority that it names.
	TLS *tlsconfig.Source
	// HeartbeatInterval is Raft's heartbeat; an election takes a few. 0: 200 ms, many times the delay of a
	// loopback or a rack.
	HeartbeatInterval time.Duration
}

const (
	defaultHeartbeatInterval = 200 * time.Millisecond
	// writeTimeout bounds a write: elections on a loopback take a second at most.
	writeTimeout = 5 * time.Second
	// apiMaxIdleConns is how many idle connections to each other replica's API are reused.
	apiMaxIdleConns = 8
)

// Store is one replica.
type Store struct {
	options   Options
	logStore  *raftboltdb.BoltStore // Raft's log, term and vote
	transport *raft.NetworkTransport
	votes     *voteRestriction

	// mu guards raft until Open returns, and state.
	mu    sync.RWMutex
	raft  *raft.Raft // nil while the replica starts
	state *kv.State

	listener net.Listener // of the API
	server   *http.Server
	client   *http.Client // of other replicas' APIs
	scheme   string       // of the replicas' APIs

	closed     chan struct{}
	closeOnce  sync.Once
	background sync.WaitGroup // goroutines that end with closed or with the server
}

// Open starts a replica in its folder, and its API. A folder that was in use before is compared with the
// other replicas first: see rejoin.
func Open(options Options) (*Store, error) {
	if options.HeartbeatInterval == 0 {
		options.HeartbeatInterval = defaultHeartbeatInterval
	}
	if err := os.MkdirAll(options.Dir, 0o700); err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	s := &Store{options: options, state: kv.New(), closed: make(chan struct{})}
	transport := &http.Transport{MaxIdleConnsPerHost: apiMaxIdleConns}
	s.scheme = "http://"
	if options.TLS != nil {
		s.scheme = "https://"
		transport.TLSClientConfig = options.TLS.ClientConfig()
	}
	s.client = &http.Client{Timeout: writeTimeout + time.Second, Transport: transport}
	if err := s.open(); err != nil {
		s.Close()
		return nil, fmt.Errorf("store: %w", err)
	}
	return s, nil
}

// Close ends the replica; what it held stays in its folder.
//
// Errors of the parts that it closes are left aside: nothing follows that could act on them, and what was
// committed is on disk already.
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
			_ = s.listener.Close() // the server has closed it, where there is one
		}
		s.background.Wait()
		if s.logStore != nil {
			_ = s.logStore.Close()
		}
	})
}

// ReadLocal reads a key's entry as this replica has it: never what was not committed, but perhaps not the
// latest.
func (s *Store) ReadLocal(key string) (kv.Entry, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.state.Get(key)
}

// ReadLocalValue reads a key's value as this replica has it; see ReadLocal.
func (s *Store) ReadLocalValue(key string) (json.RawMessage, bool) {
	entry, ok := s.ReadLocal(key)
	return entry.Value, ok
}

// ReadPrefix gives the values of the keys with a prefix, by what follows it, as this replica has them.
func (s *Store) ReadPrefix(prefix string) map[string]json.RawMessage {
	s.mu.RLock()
	defer s.mu.RUnlock()
	values := map[string]json.RawMessage{}
	for _, key := range s.state.Keys(prefix) {
		entry, _ := s.state.Get(key)
		values[strings.TrimPrefix(key, prefix)] = entry.Value
	}
	return values
}

// Status is what a replica reports of itself.
type Status struct {
	ID           string   `json:"id"`
	State        string   `json:"state"`
	Leader       string   `json:"leader"` // the leader's ID; empty: none is known
	Term         uint64   `json:"term"`
	LastIndex    uint64   `json:"last"`   // of the log's last entry
	CommitIndex  uint64   `json:"commit"` // of the last entry that a quorum has
	AppliedIndex kv.Index `json:"at"`     // of the last command that the state holds
	Fingerprint  string   `json:"print"`  // of the state; the same on replicas that hold the same
	CanVote      bool     `json:"votes"`  // not catching up after a restart
	Peers        []Peer   `json:"peers"`
}

// Status reports the replica as it is now.
func (s *Store) Status() Status {
	_, leader := s.raft.LeaderWithID()
	status := Status{
		ID:          s.options.Self.ID,
		State:       s.raft.State().String(),
		Leader:      string(leader),
		Term:        s.raft.CurrentTerm(),
		LastIndex:   s.raft.LastIndex(),
		CommitIndex: s.raft.CommitIndex(),
		CanVote:     s.votes.lifted.Load(),
	}
	if future := s.raft.GetConfiguration(); future.Error() == nil {
		for _, server := range future.Configuration().Servers {
			id := string(server.ID)
			peer := Peer{ID: id, Raft: string(server.Address), API: s.apiAddress(id)}
			status.Peers = append(status.Peers, peer)
		}
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	status.AppliedIndex = s.state.AppliedIndex()
	status.Fingerprint = s.state.Fingerprint()
	return status
}
