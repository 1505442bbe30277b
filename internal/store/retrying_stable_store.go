package store

import (
	"runtime"
	"time"

	"github.com/hashicorp/raft"

	"fawnplank/internal/logging"
)

// stableRetryInterval lies between two attempts to write: an operator who frees the disk does not notice it.
const stableRetryInterval = 100 * time.Millisecond

// retryingStableStore is Raft's store of its term and vote. Raft ends the process where they cannot be
// written, since it may not vote without; in a gateway a full disk would then be a reason to stop serving.
// This one logs the fault and retries until the write succeeds: the replica stands still meanwhile, votes for
// nobody, and the others go on without it.
type retryingStableStore struct {
	raft.StableStore
	closed <-chan struct{}
}

// Set writes a value.
func (s retryingStableStore) Set(key, value []byte) error {
	return s.retry(func() error { return s.StableStore.Set(key, value) })
}

// SetUint64 writes a number.
func (s retryingStableStore) SetUint64(key []byte, value uint64) error {
	return s.retry(func() error { return s.StableStore.SetUint64(key, value) })
}

// retry calls write until it succeeds. It logs once an outage. After Close it ends the calling goroutine, one
// of Raft's: an error would end the process, and success would be a lie.
func (s retryingStableStore) retry(write func() error) error {
	for failing := false; ; failing = true {
		err := write()
		if err == nil {
			if failing {
				logging.For("store").Warn("term and vote written again")
			}
			return nil
		}
		if !failing {
			logging.For("store").WithError(err).Error("term and vote not written; replica paused")
		}
		select {
		case <-s.closed:
			runtime.Goexit()
		case <-time.After(stableRetryInterval):
		}
	}
}
