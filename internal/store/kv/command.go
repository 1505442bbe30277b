package kv

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// Index is a position in the replicated log. The index of a key is that of the command that last changed it.
type Index uint64

// Edit changes one key. Its JSON is both stored in the log and sent to the API.
type Edit struct {
	Key string `json:"key"`
	// Value is the key's new value, in JSON. No value, or null, deletes the key.
	Value json.RawMessage `json:"value,omitempty"`
	// Conditional means that the edit requires the key to be at ExpectedIndex. Otherwise ExpectedIndex is not
	// looked at.
	Conditional bool `json:"check,omitempty"`
	// ExpectedIndex is the index that the key must have; 0 means that the key must not exist.
	ExpectedIndex Index `json:"if,omitempty"`
}

// IsDeletion reports whether the edit deletes its key.
func (e Edit) IsDeletion() bool { return len(e.Value) == 0 || string(e.Value) == "null" }

// Command is a log entry. Either all its edits are applied, or none is.
type Command struct {
	Version int    `json:"v"`
	Edits   []Edit `json:"edits"`
}

// Version is the version of the format of commands and snapshots. Any other version is rejected.
const Version = 1

// Bounds of a command. Larger commands in the log would delay elections.
const (
	MaxEdits      = 1000
	MaxKeyBytes   = 256
	MaxValueBytes = 1 << 20
)

// ErrInvalid reports that a command is malformed: too many edits or none, a key or value out of bounds, a key
// twice, or no JSON. The text around it says which. The command is never written, and sending it again is useless.
var ErrInvalid = errors.New("not in form")

// VersionError reports that a command or a snapshot has another version than Version. Another
// version of the program wrote it, and reads it.
type VersionError struct {
	Version int
}

// Error names both versions.
func (e *VersionError) Error() string {
	return fmt.Sprintf("of version %d, and %d is read", e.Version, Version)
}

// ConflictError reports that a key's index is not the one that an edit expected, because somebody else has
// changed the key. It is empty if another replica found the conflict and its answer could not be read.
type ConflictError struct {
	Key              string
	Actual, Expected Index
}

// conflictFormat is the text of a conflict. Replicas send it to each other, so it must not change.
const conflictFormat = "key %s is of index %d, not %d: it was changed meanwhile"

// Error returns a message that names the key and both indices.
func (e ConflictError) Error() string {
	return fmt.Sprintf(conflictFormat, e.Key, e.Actual, e.Expected)
}

// ParseConflict returns the conflict that a text of ConflictError.Error names, and an empty one of any other text.
func ParseConflict(text string) ConflictError {
	var conflict ConflictError
	if _, err := fmt.Sscanf(text, conflictFormat, &conflict.Key, &conflict.Actual, &conflict.Expected); err != nil {
		return ConflictError{}
	}
	return conflict
}

// EncodeCommand checks edits and returns the encoded command for the log. An error wraps ErrInvalid.
func EncodeCommand(edits []Edit) ([]byte, error) {
	if err := validate(edits); err != nil {
		return nil, err
	}
	return json.Marshal(Command{Version: Version, Edits: edits})
}

// validate checks the form of a command's edits.
func validate(edits []Edit) error {
	if len(edits) == 0 || len(edits) > MaxEdits {
		return fmt.Errorf("%d edits, not 1 to %d: %w", len(edits), MaxEdits, ErrInvalid)
	}
	seen := map[string]bool{}
	for _, edit := range edits {
		if err := validateKey(edit.Key); err != nil {
			return err
		}
		if seen[edit.Key] {
			return fmt.Errorf("key %s stands twice: %w", edit.Key, ErrInvalid)
		}
		seen[edit.Key] = true
		if err := validateValue(edit); err != nil {
			return err
		}
	}
	return nil
}

// validateKey checks a key's length, and that it is printable ASCII without spaces. A client has to escape the
// characters ?, # and %, which are allowed, where a key is a part of a URL's path.
func validateKey(key string) error {
	isUnprintable := func(r rune) bool { return r <= ' ' || r > '~' }
	if key == "" || len(key) > MaxKeyBytes || strings.ContainsFunc(key, isUnprintable) {
		return fmt.Errorf("key %.40q is not 1 to %d printable characters: %w", key, MaxKeyBytes, ErrInvalid)
	}
	return nil
}

// validateValue checks the length of an edit's value, and that it is JSON.
func validateValue(edit Edit) error {
	if len(edit.Value) > MaxValueBytes {
		return fmt.Errorf("key %s: %d bytes, above %d: %w", edit.Key, len(edit.Value), MaxValueBytes, ErrInvalid)
	}
	if len(edit.Value) > 0 && !json.Valid(edit.Value) {
		return fmt.Errorf("key %s: its value is no JSON: %w", edit.Key, ErrInvalid)
	}
	return nil
}
