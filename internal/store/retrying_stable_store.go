package store

import (
	"runtime"
	"time"

	"github.com/hashicorp/raft"

	"fawnplank/internal/logging"
)

// stableRetryInterval is the time between two attempts to write. It is short, so that the replica resumes as soon as
// an operator has freed disk space.
const stableRetryInterval = 100 * time.Millisecond

// retryingStableStore is the store in which Raft stores its term and vote. If a write returns an error, Raft
// terminates the process, because it must not vote unless the vote is stored. In a gateway, a full disk would then end
// the service. This store instead logs the error and retries until the write succeeds. Meanwhile Raft is blocked on
// this replica, which casts no votes, and the other replicas continue without it. This is as safe as terminating the
// process, because the replica sends no vote and no term before it is durable.
type retryingStableStore struct {
	raft.StableStore
	closed <-chan struct{}
}

// Set writes a value.
func (s retryingStableStore) Set(key, value []byte) error {
	return s.retry(func() error { return s.StableStore.Set(key, value) })
}

// SetUint64 writes an unsigned integer.
func (s retryingStableStore) SetUint64(key []byte, value uint64) error {
	return s.retry(func() error { return s.StableStore.SetUint64(key, value) })
}

// retry calls write until it succeeds. It logs the first error of a series of failures, and the recovery. After Close
// it ends the calling goroutine, which belongs to Raft: on an error Raft would terminate the process, and on a nil
// error it would send a vote that is not durable.
func (s retryingStableStore) retry(write func() error) error {
	for failing := false; ; failing = true {
		err := write()
		if err == nil {
			if failing {
				logging.For(logComponent).Warn("term and vote written again")
			}
			return nil
		}
		if !failing {
			logging.For(logComponent).WithError(err).Error("term and vote not written; replica paused")
		}
		select {
		case <-s.closed:
			runtime.Goexit()
		case <-time.After(stableRetryInterval):
		}
	}
}
