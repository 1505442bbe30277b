package store

import (
	"io"

	"github.com/hashicorp/raft"

	"fawnplank/internal/store/kv"
)

// fsm is the store as Raft's finite state machine. Raft calls Apply, Snapshot and Restore one at a time; the
// store's readers run beside them, under Store.mu.
type fsm Store

// applyResult is what a committed command came to.
type applyResult struct {
	index kv.Index
	err   error
}

// Apply carries out a committed command.
func (f *fsm) Apply(entry *raft.Log) any {
	index := kv.Index(entry.Index)
	f.mu.Lock()
	changed, err := f.state.Apply(index, entry.Data)
	f.mu.Unlock()
	if len(changed) > 0 && f.options.OnChange != nil {
		f.options.OnChange(changed)
	}
	return applyResult{index: index, err: err}
}

// Snapshot gives the state's bytes, which Raft writes while the state goes on.
func (f *fsm) Snapshot() (raft.FSMSnapshot, error) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	content, err := f.state.Snapshot()
	return fsmSnapshot(content), err
}

// Restore replaces the state by a snapshot, whole or not at all.
func (f *fsm) Restore(snapshot io.ReadCloser) error {
	defer func() {
		_ = snapshot.Close() // it was only read
	}()
	content, err := io.ReadAll(snapshot)
	if err != nil {
		return err
	}
	state, err := kv.Load(content)
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.state = state
	f.mu.Unlock()
	if f.options.OnChange != nil {
		f.options.OnChange(state.Keys(""))
	}
	return nil
}

// fsmSnapshot is a snapshot's bytes, as kv.State.Snapshot gives them.
type fsmSnapshot []byte

// Persist writes the snapshot. On an error, of a full disk say, Raft keeps the older snapshot and its log.
func (f fsmSnapshot) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(f); err != nil {
		_ = sink.Cancel() // the error of the write is the one that counts
		return err
	}
	return sink.Close()
}

// Release has nothing to free.
func (f fsmSnapshot) Release() {}
