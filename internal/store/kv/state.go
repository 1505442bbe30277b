package kv

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Entry is a key's value and index. The value is JSON, so that operators can read and edit it.
type Entry struct {
	Value json.RawMessage `json:"value"`
	Index Index           `json:"index"`
}

// State is the store's content. It is not safe for concurrent use.
type State struct {
	entries      map[string]Entry
	appliedIndex Index // position of the last command, including commands that were rejected
}

// New returns an empty state.
func New() *State { return &State{entries: map[string]Entry{}} }

// Apply applies a command at its position in the log and returns the keys that it changed. If it returns an error, no
// key was changed. The error is a ConflictError if a key is not at the expected index, a *VersionError, an error that
// wraps ErrInvalid, or a decoding error. It is the same on every replica.
func (s *State) Apply(index Index, encoded []byte) ([]string, error) {
	s.appliedIndex = max(s.appliedIndex, index)
	command, err := decode(index, encoded)
	if err != nil {
		return nil, err
	}
	if err := s.checkIndices(command.Edits); err != nil {
		return nil, err
	}
	var changed []string
	for _, edit := range command.Edits {
		if edit.IsDeletion() {
			delete(s.entries, edit.Key)
		} else {
			s.entries[edit.Key] = Entry{Value: slices.Clone(edit.Value), Index: index}
		}
		changed = append(changed, edit.Key)
	}
	return changed, nil
}

// decode decodes a command of this version. It validates the edits again, because another replica may have encoded
// the command.
func decode(index Index, encoded []byte) (Command, error) {
	var command Command
	if err := json.Unmarshal(encoded, &command); err != nil {
		return command, fmt.Errorf("command at %d: %w", index, err)
	}
	if command.Version != Version {
		return command, fmt.Errorf("command at %d is %w", index, &VersionError{Version: command.Version})
	}
	return command, validate(command.Edits)
}

// checkIndices returns a ConflictError for the first key whose index differs from the index that its edit expects.
func (s *State) checkIndices(edits []Edit) error {
	for _, edit := range edits {
		actual := s.entries[edit.Key].Index
		if edit.Conditional && actual != edit.ExpectedIndex {
			return ConflictError{Key: edit.Key, Actual: actual, Expected: edit.ExpectedIndex}
		}
	}
	return nil
}

// Get returns a key's entry, and whether the key exists.
func (s *State) Get(key string) (Entry, bool) {
	entry, ok := s.entries[key]
	return entry, ok
}

// Keys returns the keys with a prefix, in order.
func (s *State) Keys(prefix string) []string {
	var keys []string
	for key := range s.entries {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// Values returns the values of the keys with a prefix. The map is keyed by the part of the key that follows the
// prefix.
func (s *State) Values(prefix string) map[string]json.RawMessage {
	values := map[string]json.RawMessage{}
	for key, entry := range s.entries {
		if suffix, ok := strings.CutPrefix(key, prefix); ok {
			values[suffix] = entry.Value
		}
	}
	return values
}

// AppliedIndex returns the position of the last command, including commands that were rejected.
func (s *State) AppliedIndex() Index { return s.appliedIndex }

// Fingerprint returns a hash of all keys, values and indices. Replicas with equal content have equal fingerprints,
// even if one of them restored the content from a snapshot.
func (s *State) Fingerprint() string {
	hash := xxhash.New()
	for _, key := range s.Keys("") {
		entry := s.entries[key]
		// Writing to a hash never returns an error.
		_, _ = fmt.Fprintf(hash, "%d %s %d %d ", len(key), key, entry.Index, len(entry.Value))
		_, _ = hash.Write(entry.Value)
	}
	return fmt.Sprintf("%016x", hash.Sum64())
}
