package store

import (
	"runtime"
	"time"

	"github.com/hashicorp/raft"

	"fawnplank/internal/logging"
)

// stableRetryInterval is the time between two attempts to write. It is so short that the replica goes on as soon
// as an operator has freed disk space.
const stableRetryInterval = 100 * time.Millisecond

// retryingStableStore is the store in which Raft keeps its term and vote. If they cannot be written, Raft
// ends the process, because it may not vote without them; in a gateway, a full disk would then be a reason to
// stop serving. This store logs the fault instead and retries until the write succeeds. In the meantime the
// replica pauses and votes for nobody, and the others continue without it. That is as safe as ending, because
// no vote and no term leaves the replica before it is durable.
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

// retry calls write until it succeeds. It logs once per outage. After Close it ends the calling goroutine,
// which is one of Raft's: an error would end the process, and a success would claim a vote that is not durable.
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
