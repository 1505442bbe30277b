package kv

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// snapshot is the JSON body of an encoded state, which follows the checksum.
type snapshot struct {
	Version      int              `json:"v"`
	AppliedIndex Index            `json:"at"`
	Entries      map[string]Entry `json:"keys"`
}

// Reasons for which DecodeSnapshot rejects its input.
var (
	// ErrTruncated reports that the input is truncated or is not a snapshot.
	ErrTruncated = errors.New("no snapshot of this store, or one cut short")
	// ErrCorrupt reports that the checksum of a snapshot does not match its content.
	ErrCorrupt = errors.New("a damaged snapshot: its checksum does not fit")
)

const (
	// magic is the first line of a snapshot and identifies its format. It is stored, so its text must not change.
	magic = "fawnplank store\n"
	// checksumBytes is the length of the checksum that follows magic.
	checksumBytes = 8
)

// Snapshot encodes the state: the line in magic, the checksum (xxhash, big-endian) of the body, and the body in JSON.
// The result does not change when further commands are applied to the state.
func (s *State) Snapshot() ([]byte, error) {
	body, err := json.Marshal(snapshot{Version: Version, AppliedIndex: s.appliedIndex, Entries: s.entries})
	if err != nil {
		return nil, err
	}
	content := binary.BigEndian.AppendUint64([]byte(magic), xxhash.Sum64(body))
	return append(content, body...), nil
}

// DecodeSnapshot decodes a snapshot completely or not at all. It rejects a snapshot that is truncated (ErrTruncated),
// corrupt (ErrCorrupt) or of another version (*VersionError).
func DecodeSnapshot(content []byte) (*State, error) {
	const headerBytes = len(magic) + checksumBytes
	if len(content) < headerBytes || string(content[:len(magic)]) != magic {
		return nil, ErrTruncated
	}
	checksum := binary.BigEndian.Uint64(content[len(magic):])
	body := content[headerBytes:]
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
