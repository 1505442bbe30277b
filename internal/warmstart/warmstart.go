// Package warmstart preserves an instance's measurements of the backends in a file across a restart, if the
// folder survives it. The file has a version and a checksum. It is written in full under another name in the
// same folder and then renamed into place, and it is read completely or not at all. Package policy decides
// what a state of a given age is still good for.
//
// Save and Load are safe for concurrent use, also by several processes: a reader gets one complete state,
// that of the last writer. Their errors begin with "learned", the name of the operator's key for the file.
package warmstart

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/cespare/xxhash/v2"

	"fawnplank/internal/durable"
	"fawnplank/policy"
)

// Version is the version of the file's format. A file of another version is rejected.
const Version = 1

const (
	// magic is the first line of the file. It is stored, so its text must not change.
	magic = "fawnplank learned\n"
	// checksumBytes is the length of the checksum that follows magic.
	checksumBytes = 8
	// fileMode gives only the gateway access to the file.
	fileMode = 0o600
	// maxFileBytes bounds the size of the file. It allows some hundred thousand backends.
	maxFileBytes = 16 << 20
	// maxClockSkew bounds how far in the future a file may have been written; one beyond that is not trusted.
	// The clocks of one machine differ by less.
	maxClockSkew = time.Minute
)

// Reasons for which Load rejects a file. Load wraps them with the file's path.
var (
	// ErrTruncated is also reported for a file of another kind.
	ErrTruncated = errors.New("no file of this kind, or one cut short")
	// ErrCorrupt reports that the content has been changed.
	ErrCorrupt = errors.New("damaged: its checksum does not fit")
)

// VersionError reports that a file has another version than Version.
type VersionError struct {
	Version int
}

// Error names both versions.
func (e *VersionError) Error() string {
	return fmt.Sprintf("of version %d, and %d is read", e.Version, Version)
}

// body is the content of the file after the magic line and the checksum (xxhash, big-endian) of the body.
type body struct {
	Version       int                   `json:"v"`
	SavedUnixNano int64                 `json:"saved_unix_ns"` // by the wall clock of the writer
	State         policy.WarmStartState `json:"learned"`
}

// Save replaces the file durably. On an error, such as a full disk, the old file stays unchanged.
func Save(path string, state policy.WarmStartState, now time.Time) error {
	if err := save(path, state, now); err != nil {
		return fmt.Errorf("learned: %w", err)
	}
	return nil
}

func save(path string, state policy.WarmStartState, now time.Time) error {
	text, err := json.Marshal(body{Version: Version, SavedUnixNano: now.UnixNano(), State: state})
	if err != nil {
		return err
	}
	content := binary.BigEndian.AppendUint64([]byte(magic), xxhash.Sum64(text))
	content = append(content, text...)
	return durable.WriteFile(path, content, fileMode)
}

// Load reads the file and returns the state and its age. If the file does not exist, the error wraps
// os.ErrNotExist. A file that is truncated (ErrTruncated), damaged (ErrCorrupt), of another version
// (*VersionError), too large or from the future is rejected with an error that says so.
func Load(path string, now time.Time) (state policy.WarmStartState, age time.Duration, err error) {
	saved, err := load(path)
	if err != nil {
		return state, 0, fmt.Errorf("learned: %w", err)
	}
	age = now.Sub(time.Unix(0, saved.SavedUnixNano))
	if age < -maxClockSkew {
		return state, 0, fmt.Errorf("learned: %s was written %v from now", path, -age)
	}
	return saved.State, max(age, 0), nil
}

// load reads a file of a bounded size.
func load(path string) (body, error) {
	info, err := os.Stat(path)
	if err != nil {
		return body{}, err
	}
	if info.Size() > maxFileBytes {
		return body{}, fmt.Errorf("%s has %d bytes, above %d", path, info.Size(), maxFileBytes)
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return body{}, err
	}
	saved, err := parse(content)
	if err != nil {
		return body{}, fmt.Errorf("%s: %w", path, err)
	}
	return saved, nil
}

// parse checks a file's content from the outside in: magic line, checksum, JSON form, version.
func parse(content []byte) (body, error) {
	const headBytes = len(magic) + checksumBytes
	if len(content) < headBytes || string(content[:len(magic)]) != magic {
		return body{}, ErrTruncated
	}
	text := content[headBytes:]
	if xxhash.Sum64(text) != binary.BigEndian.Uint64(content[len(magic):]) {
		return body{}, ErrCorrupt
	}
	var saved body
	if err := json.Unmarshal(text, &saved); err != nil {
		return body{}, err
	}
	if saved.Version != Version {
		return body{}, &VersionError{Version: saved.Version}
	}
	return saved, nil
}
