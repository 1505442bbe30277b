package store

import (
	"io"

	"github.com/hashicorp/raft"

	"fawnplank/internal/store/kv"
)

// fsm implements Raft's finite state machine on a Store. Raft calls Apply, Snapshot and Restore one at a time. Reads
// of the state run concurrently with them and are guarded by Store.mu.
type fsm Store

// applyResult is the result of a committed command.
type applyResult struct {
	index kv.Index
	err   error
}

// Apply applies a committed command.
func (f *fsm) Apply(entry *raft.Log) any {
	index := kv.Index(entry.Index)
	f.mu.Lock()
	changed, err := f.state.Apply(index, entry.Data)
	(*Store)(f).dropOutdatedLeaderState()
	f.mu.Unlock()
	(*Store)(f).reportChanged(changed)
	return applyResult{index: index, err: err}
}

// Snapshot returns the encoded state. Raft writes it to disk while further commands are applied.
func (f *fsm) Snapshot() (raft.FSMSnapshot, error) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	content, err := f.state.Snapshot()
	return fsmSnapshot(content), err
}

// Restore replaces the state with that of a snapshot, completely or not at all.
func (f *fsm) Restore(snapshot io.ReadCloser) error {
	defer func() {
		_ = snapshot.Close() // the snapshot was only read
	}()
	content, err := io.ReadAll(snapshot)
	if err != nil {
		return err
	}
	state, err := kv.DecodeSnapshot(content)
	if err != nil {
		return err
	}
	f.mu.Lock()
	previous := f.state
	f.state = state
	(*Store)(f).dropOutdatedLeaderState()
	f.mu.Unlock()
	(*Store)(f).reportChanged(changedKeys(previous, state))
	return nil
}

// reportChanged calls Options.OnChange with the keys that have changed, if there are any.
func (s *Store) reportChanged(keys []string) {
	if len(keys) > 0 && s.options.OnChange != nil {
		s.options.OnChange(keys)
	}
}

// changedKeys returns the keys whose entries differ between the state before it was replaced and the state after it,
// which include the deleted keys.
func changedKeys(before, after *kv.State) []string {
	var changed []string
	for _, key := range after.Keys("") {
		entry, _ := after.Get(key)
		if previous, found := before.Get(key); !found || previous.Index != entry.Index {
			changed = append(changed, key)
		}
	}
	for _, key := range before.Keys("") {
		if _, found := after.Get(key); !found {
			changed = append(changed, key)
		}
	}
	return changed
}

// fsmSnapshot is an encoded snapshot, as returned by kv.State.Snapshot.
type fsmSnapshot []byte

// Persist writes the snapshot. After an error, such as a full disk, Raft keeps the previous snapshot and its log.
func (f fsmSnapshot) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(f); err != nil {
		_ = sink.Cancel() // the write error is the one to report
		return err
	}
	return sink.Close()
}

// Release does nothing, because a snapshot has no resources to free.
func (f fsmSnapshot) Release() {}
