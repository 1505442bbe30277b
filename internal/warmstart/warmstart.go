// Package warmstart saves an instance's measurements of the backends in a file, so that they are available after a
// restart if the directory survives it. The file has a version and a checksum. It is written completely under
// another name in the same directory and then renamed, and it is read completely or not at all. Package policy decides
// how a state of a given age is used.
//
// Save and Load are safe for concurrent use, also by several processes: a reader gets one complete state,
// that of the last writer. Their errors begin with "learned", the key for the file in the operator file.
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
	// fileMode gives only the gateway's user access to the file.
	fileMode = 0o600
	// maxFileBytes bounds the size of the file. The bound allows several hundred thousand backends.
	maxFileBytes = 16 << 20
	// maxClockSkew bounds how far in the future the time of writing may be. A file beyond the bound is rejected.
	// Clock readings on one machine differ by less.
	maxClockSkew = time.Minute
)

// Reasons for which Load rejects a file. Load wraps them with the file's path.
var (
	// ErrTruncated reports that the file is truncated or is not a warm-start file.
	ErrTruncated = errors.New("not a warm-start file, or truncated")
	// ErrCorrupt reports that the checksum of the file does not match its content.
	ErrCorrupt = errors.New("corrupt warm-start file: the checksum does not match")
)

// VersionError reports that a file has another format version than Version.
type VersionError struct {
	Version int
}

// Error returns a message with both versions.
func (e *VersionError) Error() string {
	return fmt.Sprintf("format version %d is not supported, want version %d", e.Version, Version)
}

// body is the JSON body of the file. It follows the magic line and the checksum (xxhash, big-endian) of the body.
type body struct {
	Version       int                   `json:"v"`
	SavedUnixNano int64                 `json:"saved_unix_ns"` // by the wall clock of the writer
	State         policy.WarmStartState `json:"learned"`
}

// Save replaces the file durably. If it cannot write the new content, for example to a full disk, the old file stays
// unchanged; see durable.WriteFile for errors after that.
func Save(path string, state policy.WarmStartState, now time.Time) error {
	if err := save(path, state, now); err != nil {
		return fmt.Errorf("learned: %w", err)
	}
	return nil
}

func save(path string, state policy.WarmStartState, now time.Time) error {
	encoded, err := json.Marshal(body{Version: Version, SavedUnixNano: now.UnixNano(), State: state})
	if err != nil {
		return err
	}
	content := binary.BigEndian.AppendUint64([]byte(magic), xxhash.Sum64(encoded))
	content = append(content, encoded...)
	return durable.WriteFile(path, content, fileMode)
}

// Load reads the file and returns the state and its age. If the file does not exist, the error wraps
// os.ErrNotExist. A file that is truncated (ErrTruncated), corrupt (ErrCorrupt), of another version
// (*VersionError), too large or written in the future is rejected with an error that states the reason.
func Load(path string, now time.Time) (state policy.WarmStartState, age time.Duration, err error) {
	saved, err := load(path)
	if err != nil {
		return state, 0, fmt.Errorf("learned: %w", err)
	}
	age = now.Sub(time.Unix(0, saved.SavedUnixNano))
	if age < -maxClockSkew {
		return state, 0, fmt.Errorf("learned: %s has a time of writing %v in the future", path, -age)
	}
	return saved.State, max(age, 0), nil
}

// load reads and decodes a file of at most maxFileBytes.
func load(path string) (body, error) {
	info, err := os.Stat(path)
	if err != nil {
		return body{}, err
	}
	if info.Size() > maxFileBytes {
		return body{}, fmt.Errorf("%s has %d bytes, more than the limit of %d", path, info.Size(), maxFileBytes)
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return body{}, err
	}
	saved, err := decode(content)
	if err != nil {
		return body{}, fmt.Errorf("%s: %w", path, err)
	}
	return saved, nil
}

// decode checks the magic line and the checksum of a file, decodes its JSON body, and checks the version.
func decode(content []byte) (body, error) {
	const headerBytes = len(magic) + checksumBytes
	if len(content) < headerBytes || string(content[:len(magic)]) != magic {
		return body{}, ErrTruncated
	}
	encoded := content[headerBytes:]
	if xxhash.Sum64(encoded) != binary.BigEndian.Uint64(content[len(magic):]) {
		return body{}, ErrCorrupt
	}
	var saved body
	if err := json.Unmarshal(encoded, &saved); err != nil {
		return body{}, err
	}
	if saved.Version != Version {
		return body{}, &VersionError{Version: saved.Version}
	}
	return saved, nil
}
