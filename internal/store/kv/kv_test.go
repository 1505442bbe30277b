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

func apply(t *testing.T, s *State, at Index, edits ...Edit) error {
	t.Helper()
	text, err := EncodeCommand(edits)
	if err != nil {
		t.Fatal(err)
	}
	_, err = s.Apply(at, text)
	return err
}

func put(key, value string) Edit { return Edit{Key: key, Value: json.RawMessage(value)} }

func TestState_AppliesAllEditsOrNone(t *testing.T) {
	s := New()
	if err := apply(t, s, 1, put("a", "1"), put("b", "2")); err != nil {
		t.Fatal(err)
	}
	before := s.Fingerprint()
	var conflict ConflictError
	outdated := put("b", "9")
	outdated.Conditional = true
	outdated.ExpectedIndex = 7
	err := apply(t, s, 2, put("a", "9"), outdated)
	if !errors.As(err, &conflict) || conflict.Key != "b" || conflict.Actual != 1 ||
		s.Fingerprint() != before || s.AppliedIndex() != 2 {
		t.Errorf("%v, %s at %d", err, s.Fingerprint(), s.AppliedIndex())
	}
	absent := Edit{Key: "c", Value: json.RawMessage("3"), Conditional: true}
	if err := apply(t, s, 3, Edit{Key: "b", Conditional: true, ExpectedIndex: 1}, absent); err != nil {
		t.Error(err)
	}
	if _, found := s.Get("b"); found || strings.Join(s.Keys(""), ",") != "a,c" {
		t.Error(s.Keys(""))
	}
	for _, text := range []string{"", "{", `{"v":2,"edits":[{"key":"a","value":1}]}`, `{"v":1,"edits":[]}`} {
		before := s.Fingerprint()
		if _, err := s.Apply(4, []byte(text)); err == nil || s.Fingerprint() != before {
			t.Errorf("%q: %v", text, err)
		}
	}
}

func TestState_ValuesAreIndexedByTheRestOfTheKey(t *testing.T) {
	s := New()
	if err := apply(t, s, 1, put("plans/a", "1"), put("plans/b", "2"), put("plan", "3")); err != nil {
		t.Fatal(err)
	}
	values := s.Values("plans/")
	if len(values) != 2 || string(values["a"]) != "1" || string(values["b"]) != "2" {
		t.Errorf("%s", values)
	}
	if values := s.Values("classes/"); values == nil || len(values) != 0 {
		t.Errorf("without such a key: %v, want an empty map", values)
	}
}

func TestEncode_RefusesInvalidEdits(t *testing.T) {
	for name, edits := range map[string][]Edit{
		"none":           nil,
		"no key":         {put("", "1")},
		"space in a key": {put("a b", "1")},
		"no JSON":        {put("a", "{")},
		"a key twice":    {put("a", "1"), put("a", "2")},
		"key too long":   {put(strings.Repeat("k", MaxKeyBytes+1), "1")},
		"value too long": {put("a", `"`+strings.Repeat("x", MaxValueBytes)+`"`)},
		"too many":       make([]Edit, MaxEdits+1),
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := EncodeCommand(edits); !errors.Is(err, ErrInvalid) {
				t.Errorf("%.60v: %v", edits, err)
			}
		})
	}
}

// randomEdits returns one to three edits. Many are conditional, on the key's index or on the one after it.
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

// replicasAgree applies the same commands to two states, one of which is now and then replaced by its own
// snapshot, and reports whether they agree after each command.
func replicasAgree(seed int64) bool {
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

// TestState_ReplicasAgree checks that the same commands give the same state, wherever a snapshot comes
// between.
func TestState_ReplicasAgree(t *testing.T) {
	config := &quick.Config{MaxCount: 100, Rand: rand.New(rand.NewSource(4))}
	if err := quick.Check(replicasAgree, config); err != nil {
		t.Error(err)
	}
}

// TestLoad_RefusesDamagedSnapshots changes a snapshot at each byte, and cuts it at each byte.
func TestLoad_RefusesDamagedSnapshots(t *testing.T) {
	s := New()
	if err := apply(t, s, 1, put("plans/team", `{"name":"team"}`), put("b", "2")); err != nil {
		t.Fatal(err)
	}
	content, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	for n := range content {
		if _, err := DecodeSnapshot(content[:n]); !errors.Is(err, ErrTruncated) && !errors.Is(err, ErrCorrupt) {
			t.Fatalf("cut at %d of %d: %v", n, len(content), err)
		}
		damaged := append([]byte(nil), content...)
		damaged[n] ^= 1 << (n % 8)
		if _, err := DecodeSnapshot(damaged); !errors.Is(err, ErrTruncated) && !errors.Is(err, ErrCorrupt) {
			t.Fatalf("byte %d changed: %v", n, err)
		}
	}
	if loaded, err := DecodeSnapshot(content); err != nil || loaded.Fingerprint() != s.Fingerprint() {
		t.Error(err)
	}
}
