package dnsserver

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/miekg/dns"

	"fawnplank/internal/dnszone"
	"fawnplank/internal/store/kv"
	"fawnplank/internal/testutil"
)

// version0File is the zone file behind the fixtures. One of its backends states when it started.
var version0File = zoneFileText(7, 2) + "n2 TXT fawnplank zone=north group=3 since=1790000000000\n"

// version0Updates are sent to a server by the version before: a backend comes, and one of the file's goes.
func version0Updates(t *testing.T, r *testServer) {
	t.Helper()
	for _, m := range []*dns.Msg{newUpdate(t, srvTo+"m1.calc.example.", "m1.calc.example. 30 IN A 127.1.0.1"),
		newUpdate(t, "-"+srvTo+"n1.calc.example.")} {
		if rcode, _ := r.exchange(t, "tcp", signed(m, testKey), testKey); rcode != dns.RcodeSuccess {
			t.Fatal(dns.RcodeToString[rcode])
		}
	}
}

// version0State checks what a journal or a store of the version before says.
func version0State(t *testing.T, s *storedZone) {
	t.Helper()
	if s.zone.Serial() != 9 || s.fileSum != "62ff89fddb841c2f" {
		t.Errorf("serial %d of the file %s", s.zone.Serial(), s.fileSum)
	}
	list := map[string]dnszone.Backend{}
	for _, b := range s.zone.Backends() {
		list[b.Name] = b
	}
	if names := slices.Sorted(maps.Keys(list)); fmt.Sprint(names) != "[m1.calc.example:7000 n2.calc.example:7000]" {
		t.Fatalf("backends %q", names)
	}
	old, fresh := list["n2.calc.example:7000"], list["m1.calc.example:7000"]
	if want := (dnszone.Provenance{File: "calc.zone", Line: 8, Serial: 7}); old.Provenance != want || old.StatedStartNanos != 1790000000000e6 || old.Zone != "north" || old.Group != 3 {
		t.Errorf("of the file: %+v", old)
	}
	if len(s.changes) != 2 {
		t.Fatalf("%d changes", len(s.changes))
	}
	come, gone := s.changes[0], s.changes[1]
	if want := (dnszone.Provenance{StartNanos: come.AtNanos, Key: "deploy.", Serial: 8}); fresh.Provenance != want {
		t.Errorf("of the update: %+v", fresh)
	}
	if come.FromSerial != 7 || come.ToSerial != 8 || len(come.Added) != 3 || len(come.Deleted) != 1 || gone.FromSerial != 8 || gone.ToSerial != 9 || len(gone.Deleted) != 2 {
		t.Errorf("changes %+v and %+v", come, gone)
	}
	if !slices.ContainsFunc(gone.Deleted, func(x string) bool { return strings.Contains(x, "n1.calc.example.") }) {
		t.Errorf("what went: %q", gone.Deleted)
	}
	for _, c := range s.changes {
		if c.Signature.KeyName != "deploy." || len(c.Signature.MAC) != 64 || c.Signature.SignedSeconds*1e9 > c.AtNanos || c.AtNanos-c.Signature.SignedSeconds*1e9 > 10e9 {
			t.Errorf("by %+v at %d", c.Signature, c.AtNanos)
		}
	}
}

func version0Journal(t *testing.T) string {
	t.Helper()
	return testutil.Fixture(t, "calc.journal", func(path string) {
		dir := t.TempDir()
		t.Chdir(dir) // what the journal says of the file holds no path then
		writeFile(t, "calc.zone", version0File)
		r := mustStart(t, Options{ZoneFile: "calc.zone", JournalFile: "calc.journal"})
		version0Updates(t, r)
		r.Close()
		if err := os.Rename("calc.journal", path); err != nil {
			t.Fatal(err)
		}
	})
}

// TestReadJournal_ReadsVersion0File reads a journal of the version before, and writes its lines anew as the
// same bytes.
func TestReadJournal_ReadsVersion0File(t *testing.T) {
	path := version0Journal(t)
	s, err := readJournal(path, testSettings)
	if err != nil {
		t.Fatal(err)
	}
	version0State(t, s)
	old, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	first, _, _ := bytes.Cut(old, []byte{'\n'})
	body, _ := decodeLine(first)
	var b zoneRecord
	if err := json.Unmarshal(body, &b); err != nil {
		t.Fatal(err)
	}
	z, err := dnszone.Restore(b.Snapshot, testSettings)
	if err != nil {
		t.Fatal(err)
	}
	again := &journal{path: filepath.Join(t.TempDir(), "again")}
	if again.lockFile, err = os.Create(again.path + ".lock"); err != nil {
		t.Fatal(err)
	}
	defer again.close()
	if err := again.rewrite(z, s.fileSum); err != nil {
		t.Fatal(err)
	}
	for _, c := range s.changes {
		if err := again.append(c); err != nil {
			t.Fatal(err)
		}
	}
	if now, err := os.ReadFile(again.path); err != nil || !bytes.Equal(now, old) {
		t.Errorf("written anew (%v):\n%s\nthe fixture:\n%s", err, now, old)
	}
}

// TestStart_GoesOnWithVersion0Journal starts a server on a journal of the version before and the zone file
// that it came from: the file, which was taken already, brings nothing back, and an update goes behind the
// others.
func TestStart_GoesOnWithVersion0Journal(t *testing.T) {
	path := version0Journal(t)
	t.Chdir(filepath.Dir(path))
	writeFile(t, "calc.zone", version0File)
	r := mustStart(t, Options{ZoneFile: "calc.zone", JournalFile: "calc.journal"})
	if r.Serial() != 9 || r.published.size() != 2 || r.published.has("n1") || !r.published.has("m1") {
		t.Errorf("serial %d, %v", r.Serial(), r.published.list)
	}
	if rcode, _ := r.exchange(t, "tcp", signed(newUpdate(t, "-"+srvTo+"m1.calc.example."), testKey), testKey); rcode != dns.RcodeSuccess || r.Serial() != 10 {
		t.Errorf("an update: %s, serial %d", dns.RcodeToString[rcode], r.Serial())
	}
}

// direct is a replica that applies each edit as it lands.
type direct struct {
	kv *kv.State
	at kv.Index
}

func (d *direct) ReadLocal(key string) (kv.Entry, bool) { return d.kv.Get(key) }

func (d *direct) Edit(edits []kv.Edit) error {
	c, err := kv.Encode(edits)
	if err == nil {
		d.at++
		_, err = d.kv.Apply(d.at, c)
	}
	return err
}

// version0Store is a store's snapshot of the version before.
func version0Store(t *testing.T) string {
	t.Helper()
	return testutil.Fixture(t, "store", func(path string) {
		dir := t.TempDir()
		t.Chdir(dir)
		writeFile(t, "calc.zone", version0File)
		d := &direct{kv: kv.New()}
		r := mustStart(t, Options{ZoneFile: "calc.zone", Replicated: &ReplicatedZone{d}})
		version0Updates(t, r)
		r.Close()
		text, err := d.kv.Snapshot()
		if err == nil {
			err = os.WriteFile(path, text, 0o600)
		}
		if err != nil {
			t.Fatal(err)
		}
	})
}

// TestReplicatedZone_ReadsVersion0Store reads the zone from a store's snapshot of the version before, and
// writes the same zone and changes into an empty store as the same bytes.
func TestReplicatedZone_ReadsVersion0Store(t *testing.T) {
	path := version0Store(t)
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	stored, err := kv.Load(text)
	if err != nil {
		t.Fatal(err)
	}
	if keys := stored.Keys(""); fmt.Sprint(keys) != "[dns/base/00000007/0 dns/change/00000007 dns/change/00000008 dns/head]" {
		t.Errorf("keys %q", keys)
	}
	shared := &ReplicatedZone{&direct{kv: stored, at: stored.AppliedIndex()}}
	if h, _, err := shared.readHead(); err != nil || h != (storeHead{Serial: 9, Base: 7, Pieces: 1, Changes: 2, Sum: "62ff89fddb841c2f"}) {
		t.Errorf("head %+v, %v", h, err)
	}
	s, err := shared.load(testSettings)
	if err != nil {
		t.Fatal(err)
	}
	version0State(t, s)

	piece, _ := stored.Get(pieceKey(7, 0))
	var inner string
	var b zoneRecord
	if err := json.Unmarshal(piece.Value, &inner); err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal([]byte(inner), &b); err != nil {
		t.Fatal(err)
	}
	z, err := dnszone.Restore(b.Snapshot, testSettings)
	if err != nil {
		t.Fatal(err)
	}
	again := &direct{kv: kv.New()}
	if err := (&ReplicatedZone{again}).initialize(z, s.fileSum); err != nil {
		t.Fatal(err)
	}
	for _, c := range s.changes {
		if err := (&ReplicatedZone{again}).append(c); err != nil {
			t.Fatal(err)
		}
	}
	if !reflect.DeepEqual(again.kv.Keys(""), stored.Keys("")) {
		t.Errorf("keys written anew: %q", again.kv.Keys(""))
	}
	for _, key := range stored.Keys("") {
		is, _ := again.kv.Get(key)
		was, _ := stored.Get(key)
		if !bytes.Equal(is.Value, was.Value) {
			t.Errorf("%s, written anew:\n%s\nthe fixture:\n%s", key, is.Value, was.Value)
		}
	}
}

// TestStoredTypes_HaveTags holds that each stored field has its name from a tag, and not from Go.
func TestStoredTypes_HaveTags(t *testing.T) {
	testutil.CheckTags(t, zoneRecord{}, storeHead{}, dnszone.Change{})
}

// version0Born is when the update of the compacted journal was taken, unix ns.
const version0Born = 1796187964669258823

// TestReadJournal_ReadsVersion0Compacted reads a journal whose changes the version before had written
// together: what it says of a backend that came by an update then stands in the snapshot.
func TestReadJournal_ReadsVersion0Compacted(t *testing.T) {
	path := testutil.Fixture(t, "compacted.journal", func(path string) {
		t.Chdir(t.TempDir())
		writeFile(t, "calc.zone", version0File)
		r := mustStart(t, Options{ZoneFile: "calc.zone", JournalFile: "calc.journal"})
		version0Updates(t, r)
		r.mu.Lock()
		err := r.journal.rewrite(r.zone, r.fileSum) // as after maxJournalChanges updates
		r.mu.Unlock()
		r.Close()
		if err == nil {
			err = os.Rename("calc.journal", path)
		}
		if err != nil {
			t.Fatal(err)
		}
	})
	s, err := readJournal(path, testSettings)
	if err != nil {
		t.Fatal(err)
	}
	born := map[string]dnszone.Provenance{}
	for _, b := range s.zone.Backends() {
		born[b.Name] = b.Provenance
	}
	if want := map[string]dnszone.Provenance{"m1.calc.example:7000": {StartNanos: version0Born, Key: "deploy.", Serial: 8},
		"n2.calc.example:7000": {File: "calc.zone", Line: 8, Serial: 7}}; !reflect.DeepEqual(born, want) {
		t.Errorf("%+v", born)
	}
	if s.zone.Serial() != 9 || s.fileSum != "62ff89fddb841c2f" || len(s.changes) != 0 {
		t.Errorf("serial %d of the file %s, %d changes", s.zone.Serial(), s.fileSum, len(s.changes))
	}
	old, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if again, err := encodeLine(zoneRecord{storedFormat, s.zone.Origin, s.zone.Service, s.fileSum, s.zone.Snapshot()}); err != nil || !bytes.Equal(again, old) {
		t.Errorf("written anew (%v):\n%s\nthe fixture:\n%s", err, again, old)
	}
}
