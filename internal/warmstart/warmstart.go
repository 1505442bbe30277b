// Package learned keeps what a front door learned of the backends in a file over a restart, where a folder lasts. The
// file is versioned and checksummed, written beside its place and put there whole, and read whole or not at all.
// What it is worth after a time is for the decisions to say.
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

// Version is of the form of the file; another one is refused.
const Version = 1

const magic = "fawnplank learned\n"

// body is the file behind the line that says what it is and the checksum (xxhash, big-endian) of the rest.
type body struct {
	Version int                   `json:"v"`
	Saved   int64                 `json:"saved_unix_ns"`
	Learned policy.WarmStartState `json:"learned"`
}

// Save writes the file: to another name in its folder, synced, and renamed over the old one, and the folder is synced
// then. On an error, a full disk's say, the old file stays as it was.
func Save(path string, l policy.WarmStartState, now time.Time) error {
	text, err := json.Marshal(body{Version, now.UnixNano(), l})
	if err != nil {
		return fmt.Errorf("learned: %w", err)
	}
	out := binary.BigEndian.AppendUint64([]byte(magic), xxhash.Sum64(text))
	if err := renameio.WriteFile(path, append(out, text...), 0o600); err != nil {
		return fmt.Errorf("learned: %w", err)
	}
	folder, err := os.Open(filepath.Dir(path))
	if err != nil {
		return fmt.Errorf("learned: %w", err)
	}
	defer folder.Close()
	if err := folder.Sync(); err != nil {
		return fmt.Errorf("learned: %w", err)
	}
	return nil
}

// mostBytes bounds the file: some hundred thousand backends.
const mostBytes = 16 << 20

// Load reads the file, and tells how old it is. A file that is not there is os.ErrNotExist; one cut short, damaged, of
// another version, or from the future, is refused by an error that says so.
func Load(path string, now time.Time) (l policy.WarmStartState, age time.Duration, err error) {
	info, err := os.Stat(path)
	if err != nil {
		return l, 0, fmt.Errorf("learned: %w", err)
	}
	if info.Size() > mostBytes {
		return l, 0, fmt.Errorf("learned: %s has %d bytes, above %d", path, info.Size(), mostBytes)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return l, 0, fmt.Errorf("learned: %w", err)
	}
	x, err := parse(text)
	if err != nil {
		return l, 0, fmt.Errorf("learned: %s: %w", path, err)
	}
	if age = now.Sub(time.Unix(0, x.Saved)); age < -time.Minute { // clocks of one machine differ by less
		return l, 0, fmt.Errorf("learned: %s was written %v from now", path, -age)
	}
	return x.Learned, max(age, 0), nil
}

func parse(text []byte) (x body, err error) {
	if len(text) < len(magic)+8 || string(text[:len(magic)]) != magic {
		return x, errors.New("no file of this kind, or one cut short")
	}
	if rest := text[len(magic)+8:]; xxhash.Sum64(rest) != binary.BigEndian.Uint64(text[len(magic):]) {
		return x, errors.New("damaged: its checksum does not fit")
	} else if err := json.Unmarshal(rest, &x); err != nil {
		return x, err
	}
	if x.Version != Version {
		return x, fmt.Errorf("of version %d, and %d is read", x.Version, Version)
	}
	return x, nil
}
