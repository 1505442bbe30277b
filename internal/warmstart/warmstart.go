// Package warmstart preserves an instance's measurements of the backends in a file across a restart, if the
// folder survives it. The file has a version and a checksum. It is written in full under another name in the
// same folder and then renamed into place, and it is read completely or not at all. The decisions determine
// what the state is worth after a time.
//
// Save and Load may be called by several processes at once: a reader gets one complete state, that of the
// last writer.
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

// Version is the version of the file's format. A file of another version is rejected.
const Version = 1

const (
	// magic is the first line of the file. It is stored, so its text must not change.
	magic         = "fawnplank learned\n"
	checksumBytes = 8
	// fileMode gives only the gateway access to the file.
	fileMode = 0o600
	// maxBytes bounds the size of the file. It allows some hundred thousand backends.
	maxBytes = 16 << 20
	// maxClockSkew is more than the clocks of one machine differ. A file from further in the future than that is
	// not trusted.
	maxClockSkew = time.Minute
)

// Reasons for which Load rejects a file. Load wraps them with the file's path.
var (
	ErrCutShort = errors.New("no file of this kind, or one cut short")
	ErrDamaged  = errors.New("damaged: its checksum does not fit")
)

// body is the content of the file after the magic line and the checksum (xxhash, big-endian) of the body.
type body struct {
	Version       int                   `json:"v"`
	SavedUnixNano int64                 `json:"saved_unix_ns"`
	State         policy.WarmStartState `json:"learned"`
}

// Save writes the file under another name in its folder, syncs it, renames it over the old file, and then
// syncs the folder. On an error, such as a full disk, the old file stays unchanged.
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

// syncFolder makes a rename in the folder survive a crash of the machine.
func syncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = folder.Close() }() // the folder was only read
	return folder.Sync()
}

// Load reads the file and returns the state and its age. If the file does not exist, the error is
// os.ErrNotExist. A file that is truncated, damaged, of another version or from the future is rejected with
// an error that says so.
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

// parse checks a file's content from the outside in: magic line, checksum, JSON form, version.
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
