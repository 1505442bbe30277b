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
	text, err := Encode(edits)
	if err != nil {
		t.Fatal(err)
	}
	_, err = s.Apply(at, text)
	return err
}

func put(key, value string) Edit { return Edit{Key: key, Value: json.RawMessage(value)} }

func TestEditsLandTogetherOrNotAtAll(t *testing.T) {
	s := New()
	if err := apply(t, s, 1, put("a", "1"), put("b", "2")); err != nil {
		t.Fatal(err)
	}
	before := s.Fingerprint()
	var c ConflictError
	err := apply(t, s, 2, put("a", "9"), Edit{Key: "b", Value: json.RawMessage("9"), Check: true, If: 7})
	if !errors.As(err, &c) || c.Key != "b" || c.Actual != 1 || s.Fingerprint() != before || s.AppliedIndex() != 2 {
		t.Errorf("%v, %s at %d", err, s.Fingerprint(), s.AppliedIndex())
	}
	if err := apply(t, s, 3, Edit{Key: "b", Check: true, If: 1}, Edit{Key: "c", Value: json.RawMessage("3"), Check: true}); err != nil {
		t.Error(err)
	}
	if _, there := s.Get("b"); there || strings.Join(s.Keys(""), ",") != "a,c" {
		t.Error(s.Keys(""))
	}
	for _, text := range []string{"", "{", `{"v":2,"edits":[{"key":"a","value":1}]}`, `{"v":1,"edits":[]}`} {
		before := s.Fingerprint()
		if _, err := s.Apply(4, []byte(text)); err == nil || s.Fingerprint() != before {
			t.Errorf("%q: %v", text, err)
		}
	}
}

func TestWhatIsNotInFormIsNotWritten(t *testing.T) {
	for _, edits := range [][]Edit{nil, {put("", "1")}, {put("a b", "1")}, {put("a", "{")}, {put("a", "1"), put("a", "2")},
		{put(strings.Repeat("k", MaxKey+1), "1")}, {put("a", `"`+strings.Repeat("x", MaxValue)+`"`)}, make([]Edit, MaxEdits+1)} {
		if _, err := Encode(edits); !errors.Is(err, ErrInvalid) {
			t.Errorf("%.60v: %v", edits, err)
		}
	}
}

// The same commands give the same state, also over a snapshot taken anywhere between.
func TestReplicasAgree(t *testing.T) {
	agree := func(seed int64) bool {
		chance := rand.New(rand.NewSource(seed))
		a, b := New(), New()
		for n := range Index(200) {
			var edits []Edit
			for k := range 1 + chance.Intn(3) {
				e := put(fmt.Sprintf("k%d-%d", k, chance.Intn(5)), fmt.Sprint(chance.Intn(100)))
				if chance.Intn(4) == 0 {
					e.Value = nil
				}
				if chance.Intn(3) == 0 {
					old, _ := a.Get(e.Key)
					e.Check, e.If = true, old.Index+Index(chance.Intn(2))
				}
				edits = append(edits, e)
			}
			text, _ := Encode(edits)
			_, err1 := a.Apply(n+1, text)
			_, err2 := b.Apply(n+1, text)
			if (err1 == nil) != (err2 == nil) || a.Fingerprint() != b.Fingerprint() {
				return false
			}
			if chance.Intn(20) == 0 {
				snap, _ := b.Snapshot()
				var err error
				if b, err = Load(snap); err != nil || b.AppliedIndex() != a.AppliedIndex() {
					return false
				}
			}
		}
		return true
	}
	if err := quick.Check(agree, &quick.Config{MaxCount: 100, Rand: rand.New(rand.NewSource(4))}); err != nil {
		t.Error(err)
	}
}

// A snapshot with any byte changed, or cut anywhere, is refused.
func TestDamagedSnapshotsAreRefused(t *testing.T) {
	s := New()
	apply(t, s, 1, put("plans/team", `{"name":"team"}`), put("b", "2"))
	snap, _ := s.Snapshot()
	for n := range snap {
		if _, err := Load(snap[:n]); err == nil {
			t.Fatalf("cut at %d of %d: taken", n, len(snap))
		}
		bad := append([]byte(nil), snap...)
		bad[n] ^= 1 << (n % 8)
		if _, err := Load(bad); err == nil {
			t.Fatalf("byte %d changed: taken", n)
		}
	}
	if back, err := Load(snap); err != nil || back.Fingerprint() != s.Fingerprint() {
		t.Error(err)
	}
}
