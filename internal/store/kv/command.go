package kv

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// Index is a position in the replicated log. The index of a key is that of the command that last changed it.
type Index uint64

// Edit changes one key. Its JSON form is stored in the log and is also used by the HTTP API.
type Edit struct {
	Key string `json:"key"`
	// Value is the key's new value, in JSON. An empty value or null deletes the key.
	Value json.RawMessage `json:"value,omitempty"`
	// Conditional means that the edit requires the key to be at ExpectedIndex. Otherwise ExpectedIndex is ignored.
	Conditional bool `json:"check,omitempty"`
	// ExpectedIndex is the index that the key must have; 0 means that the key must not exist.
	ExpectedIndex Index `json:"if,omitempty"`
}

// IsDeletion reports whether the edit deletes its key.
func (e Edit) IsDeletion() bool { return len(e.Value) == 0 || string(e.Value) == "null" }

// Command is the content of a log entry. Either all its edits are applied, or none.
type Command struct {
	Version int    `json:"v"`
	Edits   []Edit `json:"edits"`
}

// Version is the version of the format of commands and snapshots. Any other version is rejected.
const Version = 1

// Bounds of a command. Larger log entries would delay elections.
const (
	MaxEdits      = 1000
	MaxKeyBytes   = 256
	MaxValueBytes = 1 << 20
)

// ErrInvalid reports that a command is malformed: it has too many edits or none, a key or value out of bounds, a
// duplicate key, or a value that is not JSON. The text of the wrapping error states the fault. The command is not
// written to the log, and sending it again gives the same error.
var ErrInvalid = errors.New("not in form")

// VersionError reports that a command or a snapshot has another format version than Version. Another version of the
// program wrote it and can read it.
type VersionError struct {
	Version int
}

// Error returns a message with both versions.
func (e *VersionError) Error() string {
	return fmt.Sprintf("of version %d, and %d is read", e.Version, Version)
}

// ConflictError reports that a key's index differs from the index that an edit expects, because another writer has
// changed the key. It is empty if another replica reported the conflict and its answer could not be parsed.
type ConflictError struct {
	Key              string
	Actual, Expected Index
}

// conflictFormat is the text of a conflict. Replicas send it to each other, so it must not change.
const conflictFormat = "key %s is of index %d, not %d: it was changed meanwhile"

// Error returns a message with the key and both indices.
func (e ConflictError) Error() string {
	return fmt.Sprintf(conflictFormat, e.Key, e.Actual, e.Expected)
}

// ParseConflict parses a text that ConflictError.Error returned. For any other text it returns an empty ConflictError.
func ParseConflict(text string) ConflictError {
	var conflict ConflictError
	if _, err := fmt.Sscanf(text, conflictFormat, &conflict.Key, &conflict.Actual, &conflict.Expected); err != nil {
		return ConflictError{}
	}
	return conflict
}

// EncodeCommand validates edits and returns the encoded command for the log. If the edits are not valid, the error
// wraps ErrInvalid.
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

// validateKey checks a key's length, and that it is printable ASCII without spaces. The characters ?, # and % are
// allowed; a client has to escape them in the path of a URL.
func validateKey(key string) error {
	isForbidden := func(r rune) bool { return r <= ' ' || r > '~' }
	if key == "" || len(key) > MaxKeyBytes || strings.ContainsFunc(key, isForbidden) {
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
