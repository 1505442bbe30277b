package kv

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand"
	"strings"
	"testing"
	"testing/quick"
)

func encodeAndApply(t *testing.T, s *State, index Index, edits ...Edit) error {
	t.Helper()
	command, err := EncodeCommand(edits)
	if err != nil {
		t.Fatal(err)
	}
	_, err = s.Apply(index, command)
	return err
}

func put(key, value string) Edit { return Edit{Key: key, Value: json.RawMessage(value)} }

func TestState_AppliesAllEditsOrNone(t *testing.T) {
	s := New()
	if err := encodeAndApply(t, s, 1, put("a", "1"), put("b", "2")); err != nil {
		t.Fatal(err)
	}
	before := s.Fingerprint()
	var conflict ConflictError
	staleEdit := put("b", "9")
	staleEdit.Conditional = true
	staleEdit.ExpectedIndex = 7
	err := encodeAndApply(t, s, 2, put("a", "9"), staleEdit)
	if !errors.As(err, &conflict) || conflict.Key != "b" || conflict.Actual != 1 ||
		s.Fingerprint() != before || s.AppliedIndex() != 2 {
		t.Errorf("error %v, fingerprint %s, applied index %d", err, s.Fingerprint(), s.AppliedIndex())
	}
	createEdit := Edit{Key: "c", Value: json.RawMessage("3"), Conditional: true}
	if err := encodeAndApply(t, s, 3, Edit{Key: "b", Conditional: true, ExpectedIndex: 1}, createEdit); err != nil {
		t.Error(err)
	}
	if _, found := s.Get("b"); found || strings.Join(s.Keys(""), ",") != "a,c" {
		t.Error(s.Keys(""))
	}
	for _, text := range []string{"", "{", `{"v":2,"edits":[{"key":"a","value":1}]}`, `{"v":1,"edits":[]}`} {
		before := s.Fingerprint()
		if _, err := s.Apply(4, []byte(text)); err == nil || s.Fingerprint() != before {
			t.Errorf("command %q: error %v", text, err)
		}
	}
}

func TestState_ValuesAreKeyedBySuffix(t *testing.T) {
	s := New()
	if err := encodeAndApply(t, s, 1, put("plans/a", "1"), put("plans/b", "2"), put("plan", "3")); err != nil {
		t.Fatal(err)
	}
	values := s.Values("plans/")
	if len(values) != 2 || string(values["a"]) != "1" || string(values["b"]) != "2" {
		t.Errorf("%s", values)
	}
	if values := s.Values("classes/"); values == nil || len(values) != 0 {
		t.Errorf("values for a prefix without keys: %v, want an empty map", values)
	}
}

func TestEncodeCommand_RejectsInvalidEdits(t *testing.T) {
	for name, edits := range map[string][]Edit{
		"none":           nil,
		"empty key":      {put("", "1")},
		"space in a key": {put("a b", "1")},
		"value not JSON": {put("a", "{")},
		"duplicate key":  {put("a", "1"), put("a", "2")},
		"key too long":   {put(strings.Repeat("k", MaxKeyBytes+1), "1")},
		"value too long": {put("a", `"`+strings.Repeat("x", MaxValueBytes)+`"`)},
		"too many edits": make([]Edit, MaxEdits+1),
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := EncodeCommand(edits); !errors.Is(err, ErrInvalid) {
				t.Errorf("edits %.60v: got %v, want ErrInvalid", edits, err)
			}
		})
	}
}

// randomEdits returns one to three edits. A third are conditional; their expected index is the key's index or one more.
func randomEdits(random *rand.Rand, s *State) []Edit {
	var edits []Edit
	for k := range 1 + random.Intn(3) {
		edit := put(fmt.Sprintf("k%d-%d", k, random.Intn(5)), fmt.Sprint(random.Intn(100)))
		if random.Intn(4) == 0 {
			edit.Value = nil
		}
		if random.Intn(3) == 0 {
			entry, _ := s.Get(edit.Key)
			edit.Conditional = true
			edit.ExpectedIndex = entry.Index + Index(random.Intn(2))
		}
		edits = append(edits, edit)
	}
	return edits
}

// replicasConverge applies the same commands to two states, and reports whether they are equal after each command. One
// of the states is sometimes encoded as a snapshot and decoded again.
func replicasConverge(seed int64) bool {
	random := rand.New(rand.NewSource(seed))
	a, b := New(), New()
	for n := range Index(200) {
		command, err := EncodeCommand(randomEdits(random, a))
		if err != nil {
			return false
		}
		_, errA := a.Apply(n+1, command)
		_, errB := b.Apply(n+1, command)
		if (errA == nil) != (errB == nil) || a.Fingerprint() != b.Fingerprint() {
			return false
		}
		if random.Intn(20) != 0 {
			continue
		}
		content, err := b.Snapshot()
		if err != nil {
			return false
		}
		if b, err = DecodeSnapshot(content); err != nil || b.AppliedIndex() != a.AppliedIndex() {
			return false
		}
	}
	return true
}

// TestState_ReplicasConvergeAcrossSnapshots checks that the same commands give the same state, even if a replica
// restores a snapshot between them.
func TestState_ReplicasConvergeAcrossSnapshots(t *testing.T) {
	config := &quick.Config{MaxCount: 100, Rand: rand.New(rand.NewSource(4))}
	if err := quick.Check(replicasConverge, config); err != nil {
		t.Error(err)
	}
}

// TestDecodeSnapshot_RejectsCorruptSnapshots truncates a snapshot at each byte, and flips a bit in each byte.
func TestDecodeSnapshot_RejectsCorruptSnapshots(t *testing.T) {
	s := New()
	if err := encodeAndApply(t, s, 1, put("plans/team", `{"name":"team"}`), put("b", "2")); err != nil {
		t.Fatal(err)
	}
	content, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	for n := range content {
		if _, err := DecodeSnapshot(content[:n]); !errors.Is(err, ErrTruncated) && !errors.Is(err, ErrCorrupt) {
			t.Fatalf("snapshot truncated to %d of %d bytes: %v", n, len(content), err)
		}
		corrupt := append([]byte(nil), content...)
		corrupt[n] ^= 1 << (n % 8)
		if _, err := DecodeSnapshot(corrupt); !errors.Is(err, ErrTruncated) && !errors.Is(err, ErrCorrupt) {
			t.Fatalf("snapshot with byte %d changed: %v", n, err)
		}
	}
	if loaded, err := DecodeSnapshot(content); err != nil || loaded.Fingerprint() != s.Fingerprint() {
		t.Error(err)
	}
}
