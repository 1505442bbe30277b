package kv

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// snapshot is the encoded form of a state, which follows the checksum.
type snapshot struct {
	Version      int              `json:"v"`
	AppliedIndex Index            `json:"at"`
	Entries      map[string]Entry `json:"keys"`
}

// The reasons for which Load rejects bytes that are no snapshot.
var (
	// ErrTruncated is also reported for content of another kind.
	ErrTruncated = errors.New("no snapshot of this store, or one cut short")
	// ErrCorrupt reports that the content has been changed.
	ErrCorrupt = errors.New("a damaged snapshot: its checksum does not fit")
)

const (
	// magic is the first line of a snapshot and identifies its format. It is stored, so its text must not change.
	magic = "fawnplank store\n"
	// checksumBytes is the length of the checksum that follows magic.
	checksumBytes = 8
)

// Snapshot returns the state as bytes: an identifying line, the checksum (xxhash, big-endian) of what
// follows, and JSON. The state may change while the bytes are written elsewhere.
func (s *State) Snapshot() ([]byte, error) {
	body, err := json.Marshal(snapshot{Version: Version, AppliedIndex: s.appliedIndex, Entries: s.entries})
	if err != nil {
		return nil, err
	}
	content := binary.BigEndian.AppendUint64([]byte(magic), xxhash.Sum64(body))
	return append(content, body...), nil
}

// DecodeSnapshot decodes a snapshot completely or not at all. It rejects a snapshot that is truncated (ErrTruncated),
// damaged (ErrCorrupt) or of another version (*VersionError).
func DecodeSnapshot(content []byte) (*State, error) {
	const headBytes = len(magic) + checksumBytes
	if len(content) < headBytes || string(content[:len(magic)]) != magic {
		return nil, ErrTruncated
	}
	checksum := binary.BigEndian.Uint64(content[len(magic):])
	body := content[headBytes:]
	if xxhash.Sum64(body) != checksum {
		return nil, ErrCorrupt
	}
	var stored snapshot
	if err := json.Unmarshal(body, &stored); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	if stored.Version != Version {
		return nil, fmt.Errorf("a snapshot %w", &VersionError{Version: stored.Version})
	}
	if stored.Entries == nil {
		stored.Entries = map[string]Entry{}
	}
	return &State{entries: stored.Entries, appliedIndex: stored.AppliedIndex}, nil
}
