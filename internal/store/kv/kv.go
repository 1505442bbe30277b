// Package kv is what the replicated store holds, as a pure state machine: commands go in, in the order of the log,
// and results come out. The same commands give the same state on every replica. It does no I/O and reads no clock.
package kv

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Index is a place in the replicated log; a key's is that of the command that last changed it.
type Index uint64

// Entry is a key's value. It is JSON, so that people can read what they edit.
type Entry struct {
	Value json.RawMessage `json:"value"`
	Index Index           `json:"index"`
}

// Edit changes one key. A nil Value deletes it. If is the index that the key must have (0: must not be there);
// without Check any will do.
type Edit struct {
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value,omitempty"`
	Check bool            `json:"check,omitempty"`
	If    Index           `json:"if,omitempty"`
}

// Command is a log entry: all its edits land, or none does.
type Command struct {
	Version int    `json:"v"`
	Edits   []Edit `json:"edits"`
}

// Version is of the form of commands and snapshots; another one is refused.
const Version = 1

// What a command may hold; beyond that the log would hold up elections.
const (
	MaxEdits = 1000
	MaxKey   = 256
	MaxValue = 1 << 20
)

// Conflict says that a key has another index than the edit asked for.
type ConflictError struct {
	Key              string
	Actual, Expected Index
}

func (c ConflictError) Error() string {
	return fmt.Sprintf("key %s is of index %d, not %d: it was changed meanwhile", c.Key, c.Actual, c.Expected)
}

// ErrForm says that a command is not in form.
var ErrInvalid = errors.New("not in form")

// Encode checks a command and gives its bytes for the log.
func Encode(edits []Edit) ([]byte, error) {
	if err := check(edits); err != nil {
		return nil, err
	}
	return json.Marshal(Command{Version, edits})
}

func check(edits []Edit) error {
	if len(edits) == 0 || len(edits) > MaxEdits {
		return fmt.Errorf("%d edits, not 1 to %d: %w", len(edits), MaxEdits, ErrInvalid)
	}
	seen := map[string]bool{}
	for _, e := range edits {
		if e.Key == "" || len(e.Key) > MaxKey || strings.ContainsFunc(e.Key, func(r rune) bool { return r <= ' ' || r > '~' }) {
			return fmt.Errorf("key %.40q is not 1 to %d printable characters: %w", e.Key, MaxKey, ErrInvalid)
		}
		if seen[e.Key] {
			return fmt.Errorf("key %s stands twice: %w", e.Key, ErrInvalid)
		}
		seen[e.Key] = true
		if len(e.Value) > MaxValue {
			return fmt.Errorf("key %s: %d bytes, above %d: %w", e.Key, len(e.Value), MaxValue, ErrInvalid)
		}
		if len(e.Value) > 0 && !json.Valid(e.Value) {
			return fmt.Errorf("key %s: its value is no JSON: %w", e.Key, ErrInvalid)
		}
	}
	return nil
}

// State is the store's content.
type State struct {
	entries      map[string]Entry
	appliedIndex Index // of the last command
}

// New is an empty state.
func New() *State { return &State{entries: map[string]Entry{}} }

// Apply carries a command out at its place in the log. The keys changed are told; an error means that nothing was
// changed. A command of another version is an error on every replica alike.
func (s *State) Apply(at Index, text []byte) (changed []string, err error) {
	s.appliedIndex = max(s.appliedIndex, at)
	var c Command
	if err := json.Unmarshal(text, &c); err != nil {
		return nil, fmt.Errorf("command at %d: %w", at, err)
	}
	if c.Version != Version {
		return nil, fmt.Errorf("command at %d is of version %d, and %d is read", at, c.Version, Version)
	}
	if err := check(c.Edits); err != nil {
		return nil, err
	}
	for _, e := range c.Edits {
		if is := s.entries[e.Key].Index; e.Check && is != e.If {
			return nil, ConflictError{e.Key, is, e.If}
		}
	}
	for _, e := range c.Edits {
		if len(e.Value) == 0 || string(e.Value) == "null" {
			delete(s.entries, e.Key)
		} else {
			s.entries[e.Key] = Entry{slices.Clone(e.Value), at}
		}
		changed = append(changed, e.Key)
	}
	return changed, nil
}

// Get gives a key's entry.
func (s *State) Get(key string) (Entry, bool) {
	e, ok := s.entries[key]
	return e, ok
}

// Keys gives the keys with a prefix, in order.
func (s *State) Keys(prefix string) []string {
	var all []string
	for k := range s.entries {
		if strings.HasPrefix(k, prefix) {
			all = append(all, k)
		}
	}
	sort.Strings(all)
	return all
}

// At is the place of the last command.
func (s *State) AppliedIndex() Index { return s.appliedIndex }

// Print is a fingerprint of the content, the same for the same content on any replica, however it got there.
func (s *State) Fingerprint() string {
	h := xxhash.New()
	for _, k := range s.Keys("") {
		e := s.entries[k]
		fmt.Fprintf(h, "%d %s %d %d ", len(k), k, e.Index, len(e.Value))
		h.Write(e.Value)
	}
	return fmt.Sprintf("%016x", h.Sum64())
}

// snapshot is a state's written form, behind its checksum.
type snapshot struct {
	Version      int              `json:"v"`
	AppliedIndex Index            `json:"at"`
	Entries      map[string]Entry `json:"keys"`
}

const magic = "fawnplank store\n"

// Snapshot is the state in bytes: a line that says what it is, the checksum (xxhash, big-endian) of what follows, and
// JSON. The state may go on while the bytes are written elsewhere.
func (s *State) Snapshot() ([]byte, error) {
	body, err := json.Marshal(snapshot{Version, s.appliedIndex, s.entries})
	if err != nil {
		return nil, err
	}
	out := binary.BigEndian.AppendUint64([]byte(magic), xxhash.Sum64(body))
	return append(out, body...), nil
}

// Load reads a snapshot whole or not at all: one cut short, damaged, or of another version is refused.
func Load(text []byte) (*State, error) {
	if len(text) < len(magic)+8 || string(text[:len(magic)]) != magic {
		return nil, errors.New("no snapshot of this store, or one cut short")
	}
	sum, body := binary.BigEndian.Uint64(text[len(magic):]), text[len(magic)+8:]
	if xxhash.Sum64(body) != sum {
		return nil, errors.New("a damaged snapshot: its checksum does not fit")
	}
	var x snapshot
	if err := json.Unmarshal(body, &x); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	if x.Version != Version {
		return nil, fmt.Errorf("a snapshot of version %d, and %d is read", x.Version, Version)
	}
	if x.Entries == nil {
		x.Entries = map[string]Entry{}
	}
	return &State{entries: x.Entries, appliedIndex: x.AppliedIndex}, nil
}
