// Package warmstart keeps what an instance measured of the backends in a file over a restart, where a folder
// lasts. The file is versioned and checksummed, written beside its place and renamed there whole, and read
// whole or not at all. What the state is worth after a time is for the decisions to say.
//
// Save and Load may be called by several processes at once: a reader gets one whole state, that of the last
// writer.
package warmstart

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/renameio/v2"

	"fawnplank/policy"
)

// Version is that of the file's form; a file of another one is refused.
const Version = 1

const (
	// magic is the first line of the file. It is stored, so its text stays.
	magic         = "fawnplank learned\n"
	checksumBytes = 8
	// fileMode: the file is for the gateway alone.
	fileMode = 0o600
	// maxBytes bounds the file: some hundred thousand backends.
	maxBytes = 16 << 20
	// maxClockSkew is more than clocks of one machine differ by: a file of a later time than that is not
	// trusted.
	maxClockSkew = time.Minute
)

// Reasons for which Load refuses a file; it wraps them with the file's path.
var (
	ErrCutShort = errors.New("no file of this kind, or one cut short")
	ErrDamaged  = errors.New("damaged: its checksum does not fit")
)

// body is the file behind the magic line and the checksum (xxhash, big-endian) of the rest.
type body struct {
	Version       int                   `json:"v"`
	SavedUnixNano int64                 `json:"saved_unix_ns"`
	State         policy.WarmStartState `json:"learned"`
}

// Save writes the file: under another name in its folder, synced and renamed over the old one; then the
// folder is synced. On an error, say of a full disk, the old file stays as it was.
func Save(path string, state policy.WarmStartState, now time.Time) error {
	text, err := json.Marshal(body{Version: Version, SavedUnixNano: now.UnixNano(), State: state})
	if err != nil {
		return fmt.Errorf("learned: %w", err)
	}
	content := binary.BigEndian.AppendUint64([]byte(magic), xxhash.Sum64(text))
	content = append(content, text...)
	if err := renameio.WriteFile(path, content, fileMode); err != nil {
		return fmt.Errorf("learned: %w", err)
	}
	if err := syncFolder(filepath.Dir(path)); err != nil {
		return fmt.Errorf("learned: %w", err)
	}
	return nil
}

// syncFolder makes a rename in the folder outlast a crash of the machine.
func syncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = folder.Close() }() // it was only read
	return folder.Sync()
}

// Load reads the file and returns how old it is. A file that is absent is os.ErrNotExist; one cut short,
// damaged, of another version or from the future is refused by an error that says so.
func Load(path string, now time.Time) (state policy.WarmStartState, age time.Duration, err error) {
	info, err := os.Stat(path)
	if err != nil {
		return state, 0, fmt.Errorf("learned: %w", err)
	}
	if info.Size() > maxBytes {
		return state, 0, fmt.Errorf("learned: %s has %d bytes, above %d", path, info.Size(), maxBytes)
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return state, 0, fmt.Errorf("learned: %w", err)
	}
	saved, err := parse(content)
	if err != nil {
		return state, 0, fmt.Errorf("learned: %s: %w", path, err)
	}
	age = now.Sub(time.Unix(0, saved.SavedUnixNano))
	if age < -maxClockSkew {
		return state, 0, fmt.Errorf("learned: %s was written %v from now", path, -age)
	}
	return saved.State, max(age, 0), nil
}

// parse checks a file's content from its outside in: magic line, checksum, form, version.
func parse(content []byte) (body, error) {
	const headBytes = len(magic) + checksumBytes
	if len(content) < headBytes || string(content[:len(magic)]) != magic {
		return body{}, ErrCutShort
	}
	text := content[headBytes:]
	if xxhash.Sum64(text) != binary.BigEndian.Uint64(content[len(magic):]) {
		return body{}, ErrDamaged
	}
	var saved body
	if err := json.Unmarshal(text, &saved); err != nil {
		return body{}, err
	}
	if saved.Version != Version {
		return body{}, fmt.Errorf("of version %d, and %d is read", saved.Version, Version)
	}
	return saved, nil
}
