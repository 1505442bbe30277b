package store

import (
	"runtime"
	"time"

	"github.com/hashicorp/raft"

	"fawnplank/internal/logging"
)

// patient is Raft's store of its term and vote. Raft ends the process where they cannot be written, since it may not
// vote without; in a front door that would take a full disk for a reason to stop serving. This one says so, and
// tries until it can: the replica stands still meanwhile, votes for nobody, and the others go on without it.
type retryingStableStore struct {
	raft.StableStore
	closed <-chan struct{}
}

// again is the pause between tries: an operator who makes room does not see it.
const retryInterval = 100 * time.Millisecond

func (p retryingStableStore) retry(write func() error) error {
	for failing := false; ; failing = true {
		err := write()
		if err == nil {
			if failing {
				logging.For("store").Warn("term and vote can be written again")
			}
			return nil
		}
		if !failing {
			logging.For("store").WithError(err).Error("term and vote cannot be written; the replica stands still until they can")
		}
		select {
		case <-p.closed:
			runtime.Goexit() // not an error, which would end the process, and not success, which would be a lie
		case <-time.After(retryInterval):
		}
	}
}

// Set writes a value.
func (p retryingStableStore) Set(key, value []byte) error {
	return p.retry(func() error { return p.StableStore.Set(key, value) })
}

// SetUint64 writes a number.
func (p retryingStableStore) SetUint64(key []byte, value uint64) error {
	return p.retry(func() error { return p.StableStore.SetUint64(key, value) })
}
