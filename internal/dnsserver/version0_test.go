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

// version0File is the zone file that the fixtures were created from. One of its backends announces its start time.
var version0File = zoneFileText(7, 2) + "n2 TXT fawnplank zone=north group=3 since=1790000000000\n"

// sendVersion0Updates sends the updates that the fixtures contain: one adds a backend, the other removes a backend of
// the zone file.
func sendVersion0Updates(t *testing.T, server *testServer) {
	t.Helper()
	for _, message := range []*dns.Msg{
		newUpdate(t, srvPrefix+"m1.calc.example.", "m1.calc.example. 30 IN A 127.1.0.1"),
		newUpdate(t, "-"+srvPrefix+"n1.calc.example."),
	} {
		if rcode, _ := server.exchange(t, "tcp", sign(message, testKey), testKey); rcode != dns.RcodeSuccess {
			t.Fatal(dns.RcodeToString[rcode])
		}
	}
}

// checkVersion0State checks the zone and the changes read from a journal or store of an earlier version.
func checkVersion0State(t *testing.T, stored *storedZone) {
	t.Helper()
	if stored.zone.Serial() != 9 || stored.fileSum != "62ff89fddb841c2f" {
		t.Errorf("serial %d, file checksum %s", stored.zone.Serial(), stored.fileSum)
	}
	backends := map[string]dnszone.Backend{}
	for _, backend := range stored.zone.Backends() {
		backends[backend.Name] = backend
	}
	names := slices.Sorted(maps.Keys(backends))
	if fmt.Sprint(names) != "[m1.calc.example:7000 n2.calc.example:7000]" {
		t.Fatalf("backends %q", names)
	}
	fromFile := backends["n2.calc.example:7000"]
	want := dnszone.Provenance{File: "calc.zone", Line: 8, Serial: 7}
	if fromFile.Provenance != want || fromFile.AnnouncedStartNanos != 1790000000000e6 ||
		fromFile.Zone != "north" || fromFile.Group != 3 {
		t.Errorf("backend of the zone file: %+v", fromFile)
	}
	if len(stored.changes) != 2 {
		t.Fatalf("%d changes", len(stored.changes))
	}
	addition, removal := stored.changes[0], stored.changes[1]
	fromUpdate := backends["m1.calc.example:7000"]
	want = dnszone.Provenance{StartNanos: addition.AcceptedNanos, Key: "deploy.", Serial: 8}
	if fromUpdate.Provenance != want {
		t.Errorf("backend added by the update: %+v", fromUpdate)
	}
	if addition.FromSerial != 7 || addition.ToSerial != 8 ||
		len(addition.Added) != 3 || len(addition.Deleted) != 1 ||
		removal.FromSerial != 8 || removal.ToSerial != 9 || len(removal.Deleted) != 2 {
		t.Errorf("changes %+v and %+v", addition, removal)
	}
	mentionsRemovedBackend := func(record string) bool { return strings.Contains(record, "n1.calc.example.") }
	if !slices.ContainsFunc(removal.Deleted, mentionsRemovedBackend) {
		t.Errorf("records deleted by the removal: %q", removal.Deleted)
	}
	for _, change := range stored.changes {
		signature := change.Signature
		ageNanos := change.AcceptedNanos - signature.TimeSignedSeconds*1e9
		if signature.KeyName != "deploy." || len(signature.MAC) != 64 || ageNanos < 0 || ageNanos > 10e9 {
			t.Errorf("change signed with %+v, accepted at %d", signature, change.AcceptedNanos)
		}
	}
}

func version0Journal(t *testing.T) string {
	t.Helper()
	return testutil.Fixture(t, "calc.journal", func(path string) {
		folder := t.TempDir()
		t.Chdir(folder) // so that the journal contains the file name without a path
		writeFile(t, "calc.zone", version0File)
		server := mustStart(t, Options{ZoneFile: "calc.zone", JournalFile: "calc.journal"})
		sendVersion0Updates(t, server)
		server.Close()
		if err := os.Rename("calc.journal", path); err != nil {
			t.Fatal(err)
		}
	})
}

// TestReadJournal_ReadsVersion0File reads a journal of an earlier version, and checks that its lines are rewritten as
// the same bytes.
func TestReadJournal_ReadsVersion0File(t *testing.T) {
	path := version0Journal(t)
	stored, err := readJournal(path, testSettings)
	if err != nil {
		t.Fatal(err)
	}
	checkVersion0State(t, stored)
	fixture, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	firstLine, _, _ := bytes.Cut(fixture, []byte{'\n'})
	body, _ := decodeJournalLine(firstLine)
	var record zoneRecord
	if err := json.Unmarshal(body, &record); err != nil {
		t.Fatal(err)
	}
	zone, err := dnszone.Restore(record.Snapshot, testSettings)
	if err != nil {
		t.Fatal(err)
	}
	rewritten := &journal{path: filepath.Join(t.TempDir(), "again")}
	if rewritten.lockFile, err = os.Create(rewritten.path + ".lock"); err != nil {
		t.Fatal(err)
	}
	defer rewritten.close()
	if err := rewritten.rewrite(zone, stored.fileSum); err != nil {
		t.Fatal(err)
	}
	for _, change := range stored.changes {
		if err := rewritten.append(change); err != nil {
			t.Fatal(err)
		}
	}
	if rewrittenText, err := os.ReadFile(rewritten.path); err != nil || !bytes.Equal(rewrittenText, fixture) {
		t.Errorf("rewritten (%v):\n%s\nthe fixture:\n%s", err, rewrittenText, fixture)
	}
}

// TestStart_ContinuesWithVersion0Journal starts a server with a journal of an earlier version and its zone file. The
// file was adopted before, and therefore does not restore a removed backend. A further update is applied.
func TestStart_ContinuesWithVersion0Journal(t *testing.T) {
	path := version0Journal(t)
	t.Chdir(filepath.Dir(path))
	writeFile(t, "calc.zone", version0File)
	server := mustStart(t, Options{ZoneFile: "calc.zone", JournalFile: "calc.journal"})
	published := server.published
	if server.Serial() != 9 || published.size() != 2 || published.has("n1") || !published.has("m1") {
		t.Errorf("serial %d, backends %v", server.Serial(), published.backends)
	}
	rcode := server.sendUpdate(t, "tcp", "-"+srvPrefix+"m1.calc.example.")
	if rcode != dns.RcodeSuccess || server.Serial() != 10 {
		t.Errorf("RCODE of an update %s, serial %d", dns.RcodeToString[rcode], server.Serial())
	}
}

// directReplica is a Replica that applies edits immediately.
type directReplica struct {
	state *kv.State
	index kv.Index
}

func (r *directReplica) ReadLocal(key string) (kv.Entry, bool) { return r.state.Get(key) }

func (r *directReplica) Edit(edits []kv.Edit) error {
	command, err := kv.EncodeCommand(edits)
	if err == nil {
		r.index++
		_, err = r.state.Apply(r.index, command)
	}
	return err
}

// version0Store returns the path of a store snapshot of an earlier version.
func version0Store(t *testing.T) string {
	t.Helper()
	return testutil.Fixture(t, "store", func(path string) {
		folder := t.TempDir()
		t.Chdir(folder)
		writeFile(t, "calc.zone", version0File)
		replica := &directReplica{state: kv.New()}
		server := mustStart(t, Options{ZoneFile: "calc.zone", ReplicatedStore: &ReplicatedZone{replica}})
		sendVersion0Updates(t, server)
		server.Close()
		text, err := replica.state.Snapshot()
		if err == nil {
			err = os.WriteFile(path, text, 0o600)
		}
		if err != nil {
			t.Fatal(err)
		}
	})
}

// restoreVersion0Snapshot returns the zone of the zone snapshot in a store, without the later changes.
func restoreVersion0Snapshot(t *testing.T, state *kv.State) *dnszone.Zone {
	t.Helper()
	chunk, _ := state.Get(chunkKey(7, 0))
	var text string
	if err := json.Unmarshal(chunk.Value, &text); err != nil {
		t.Fatal(err)
	}
	var record zoneRecord
	if err := json.Unmarshal([]byte(text), &record); err != nil {
		t.Fatal(err)
	}
	zone, err := dnszone.Restore(record.Snapshot, testSettings)
	if err != nil {
		t.Fatal(err)
	}
	return zone
}

// TestReplicatedZone_ReadsVersion0Store reads the zone from a store snapshot of an earlier version, and checks that the
// zone and its changes are written to an empty store as the same bytes.
func TestReplicatedZone_ReadsVersion0Store(t *testing.T) {
	path := version0Store(t)
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	state, err := kv.DecodeSnapshot(text)
	if err != nil {
		t.Fatal(err)
	}
	wantKeys := "[dns/base/00000007/0 dns/change/00000007 dns/change/00000008 dns/head]"
	if keys := state.Keys(""); fmt.Sprint(keys) != wantKeys {
		t.Errorf("keys %q", keys)
	}
	replicatedZone := &ReplicatedZone{&directReplica{state: state, index: state.AppliedIndex()}}
	wantHead := storeHead{
		Serial:         9,
		SnapshotSerial: 7,
		Chunks:         1,
		Changes:        2,
		FileSum:        "62ff89fddb841c2f",
	}
	if head, _, err := replicatedZone.readHead(); err != nil || head != wantHead {
		t.Errorf("head %+v, %v", head, err)
	}
	stored, err := replicatedZone.load(testSettings)
	if err != nil {
		t.Fatal(err)
	}
	checkVersion0State(t, stored)
	zone := restoreVersion0Snapshot(t, state)
	rewritten := &directReplica{state: kv.New()}
	if err := (&ReplicatedZone{rewritten}).initialize(zone, stored.fileSum); err != nil {
		t.Fatal(err)
	}
	for _, change := range stored.changes {
		if err := (&ReplicatedZone{rewritten}).append(change); err != nil {
			t.Fatal(err)
		}
	}
	checkSameEntries(t, rewritten.state, state)
}

// checkSameEntries checks that a state has the same keys and values as the fixture.
func checkSameEntries(t *testing.T, got, fixture *kv.State) {
	t.Helper()
	if !reflect.DeepEqual(got.Keys(""), fixture.Keys("")) {
		t.Errorf("keys after rewriting: %q", got.Keys(""))
	}
	for _, key := range fixture.Keys("") {
		gotEntry, _ := got.Get(key)
		wantEntry, _ := fixture.Get(key)
		if !bytes.Equal(gotEntry.Value, wantEntry.Value) {
			t.Errorf("%s, rewritten:\n%s\nthe fixture:\n%s", key, gotEntry.Value, wantEntry.Value)
		}
	}
}

// TestStoredTypes_HaveTags checks that each stored field has a tag, so that its stored name does not depend on the name
// of the Go field.
func TestStoredTypes_HaveTags(t *testing.T) {
	testutil.CheckJSONTags(t, zoneRecord{}, storeHead{}, dnszone.Change{})
}

// version0AcceptedNanos is the time at which the update in the compacted journal was accepted, in unix ns.
const version0AcceptedNanos = 1796187964669258823

// TestReadJournal_ReadsVersion0Compacted reads a journal that an earlier version compacted. The snapshot contains the
// provenance of a backend that an update added, and is rewritten as the same bytes.
func TestReadJournal_ReadsVersion0Compacted(t *testing.T) {
	path := testutil.Fixture(t, "compacted.journal", func(path string) {
		t.Chdir(t.TempDir())
		writeFile(t, "calc.zone", version0File)
		server := mustStart(t, Options{ZoneFile: "calc.zone", JournalFile: "calc.journal"})
		sendVersion0Updates(t, server)
		server.mu.Lock()
		err := server.journal.rewrite(server.zone, server.fileSum) // as after maxJournalChanges updates
		server.mu.Unlock()
		server.Close()
		if err == nil {
			err = os.Rename("calc.journal", path)
		}
		if err != nil {
			t.Fatal(err)
		}
	})
	stored, err := readJournal(path, testSettings)
	if err != nil {
		t.Fatal(err)
	}
	provenances := map[string]dnszone.Provenance{}
	for _, backend := range stored.zone.Backends() {
		provenances[backend.Name] = backend.Provenance
	}
	want := map[string]dnszone.Provenance{
		"m1.calc.example:7000": {StartNanos: version0AcceptedNanos, Key: "deploy.", Serial: 8},
		"n2.calc.example:7000": {File: "calc.zone", Line: 8, Serial: 7},
	}
	if !reflect.DeepEqual(provenances, want) {
		t.Errorf("%+v", provenances)
	}
	if stored.zone.Serial() != 9 || stored.fileSum != "62ff89fddb841c2f" || len(stored.changes) != 0 {
		t.Errorf("serial %d, file checksum %s, %d changes", stored.zone.Serial(), stored.fileSum, len(stored.changes))
	}
	fixture, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	rewritten, err := encodeJournalLine(newZoneRecord(stored.zone, stored.fileSum))
	if err != nil || !bytes.Equal(rewritten, fixture) {
		t.Errorf("rewritten (%v):\n%s\nthe fixture:\n%s", err, rewritten, fixture)
	}
}
