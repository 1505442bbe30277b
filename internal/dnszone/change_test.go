package dnszone

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/miekg/dns"
)

// mustUpdate applies an update that deletes the records with a leading minus sign and adds the others.
func mustUpdate(t *testing.T, zone *Zone, receivedNanos int64, records ...string) *Zone {
	t.Helper()
	message := newUpdate()
	for _, text := range records {
		if deleted, ok := strings.CutPrefix(text, "-"); ok {
			message.Remove([]dns.RR{mustRecord(t, deleted)})
		} else {
			message.Insert([]dns.RR{mustRecord(t, text)})
		}
	}
	transition, err := zone.Update(packAndUnpack(t, message), receivedNanos, Signature{KeyName: "k."})
	if err != nil {
		t.Fatal(err)
	}
	return transition.Zone
}

// TestZone_ReaddedBackendHasNewStart removes a backend and adds it again at the same address. The backend must have
// a new start time, and the other backends must keep theirs.
func TestZone_ReaddedBackendHasNewStart(t *testing.T) {
	zone := mustParse(t, testZoneFile)
	zone = mustUpdate(t, zone, 5e9, "-"+srvPrefix+"n1.calc.example.")
	zone = mustUpdate(t, zone, 9e9, srvPrefix+"n1.calc.example.")
	list := zone.Backends()
	if list[0].StartNanos() != 9e9 || list[1].StartNanos() != 0 || list[0].Provenance.Key != "k." {
		t.Errorf("%+v", list)
	}
	zone = mustUpdate(t, zone, 11e9, "-"+srvPrefix+"n1.calc.example.", srvPrefix+"n1.calc.example.")
	if zone.Backends()[0].StartNanos() != 9e9 {
		t.Error("a backend that was removed and added again in a single update has a new start time")
	}
	zone = mustUpdate(t, zone, 12e9, `-n1.calc.example. TXT "fawnplank" "zone=a" "group=3"`,
		`n1.calc.example. TXT "fawnplank" "since=4000"`)
	if zone.Backends()[0].StartNanos() != 4e9 {
		t.Error("the start time of the attribute since is not used")
	}
	text := strings.Replace(testZoneFile, " 7 3600", " 90 3600", 1)
	text += "_calc._tcp SRV 0 100 7000 n4\nn4 A 127.0.0.14\n"
	replaced := mustParse(t, text).WithStartTimesOf(zone, 20e9)
	list = replaced.Backends()
	if servedNames(replaced) != "n1 n2 n4" || list[0].StartNanos() != 9e9 {
		t.Errorf("%+v", list)
	}
	kept, added := list[1].Provenance, list[2].Provenance
	if kept.StartNanos != 0 || added.StartNanos != 20e9 || added.Line != 16 {
		t.Errorf("%+v", list)
	}
}

// randomRecord returns a record that an update may add to the test zone or remove from it.
func randomRecord(t *testing.T, random *rand.Rand) dns.RR {
	t.Helper()
	name := fmt.Sprintf("n%d.calc.example.", random.IntN(8))
	switch random.IntN(5) {
	case 0:
		return mustRecord(t, fmt.Sprintf("%s A 127.0.0.%d", name, 1+random.IntN(20)))
	case 1:
		status := []string{"up", "draining"}[random.IntN(2)]
		return mustRecord(t, fmt.Sprintf(`%s TXT "fawnplank" "status=%s"`, name, status))
	case 2:
		return mustRecord(t, fmt.Sprintf("%s CNAME n%d.calc.example.", name, random.IntN(8)))
	}
	priority, weight := random.IntN(2), random.IntN(3)*50
	return mustRecord(t, fmt.Sprintf("_calc._tcp.calc.example. SRV %d %d 7000 %s", priority, weight, name))
}

func randomUpdate(t *testing.T, random *rand.Rand) *dns.Msg {
	t.Helper()
	message := newUpdate()
	for range 1 + random.IntN(4) {
		rrs := []dns.RR{randomRecord(t, random)}
		switch random.IntN(5) {
		case 0, 1:
			message.Remove(rrs)
		case 2:
			message.RemoveRRset(rrs)
		default:
			message.Insert(rrs)
		}
	}
	return packAndUnpack(t, message)
}

// replica follows the updates of another zone. It builds its own zone from the changes, and its own list of served
// backends from the differences.
type replica struct {
	zone     *Zone
	backends map[string]Backend
}

func newReplica(zone *Zone) *replica {
	r := &replica{zone: zone, backends: map[string]Backend{}}
	for _, backend := range zone.Backends() {
		r.backends[backend.Name] = backend
	}
	return r
}

// apply applies a transition of the other zone, and checks that the resulting backends are those of that zone.
func (r *replica) apply(t *testing.T, transition *Transition) {
	t.Helper()
	for _, backend := range transition.Updated {
		r.backends[backend.Name] = backend
	}
	for _, name := range transition.Removed {
		delete(r.backends, name)
	}
	backends := transition.Zone.Backends()
	differs := func(backend Backend) bool { return !r.backends[backend.Name].equal(backend) }
	countsMatch := len(r.backends) == transition.Zone.BackendCount() && len(r.backends) == len(backends)
	if !countsMatch || slices.ContainsFunc(backends, differs) {
		t.Fatalf("applying the differences gives the backends %v, the zone has %v", r.backends, backends)
	}
	applied, err := r.zone.Apply(transition.Change)
	if err != nil {
		t.Fatal(err)
	}
	r.zone = applied.Zone
}

// restoreSnapshot replaces the replica's zone with one restored from its snapshot.
func (r *replica) restoreSnapshot(t *testing.T) {
	t.Helper()
	restored, err := Restore(r.zone.Snapshot(), testSettings)
	if err != nil {
		t.Fatal(err)
	}
	r.zone = restored
}

// checkZone checks that the replica's zone has the same backends as the given zone.
func (r *replica) checkZone(t *testing.T, zone *Zone) {
	t.Helper()
	if list := zone.Backends(); !reflect.DeepEqual(r.zone.Backends(), list) {
		t.Fatalf("the replica has the backends %+v, want %+v", r.zone.Backends(), list)
	}
}

// checkDifferences compares the differences in a transition with those found by comparing both zones completely.
func checkDifferences(t *testing.T, old *Zone, transition *Transition) {
	t.Helper()
	updated, removed := DiffBackends(old, transition.Zone)
	slices.SortFunc(updated, func(a, b Backend) int { return strings.Compare(a.Name, b.Name) })
	if fmt.Sprint(updated) != fmt.Sprint(transition.Updated) || !slices.Equal(removed, transition.Removed) {
		t.Fatalf("the transition has updated %v and removed %v, want %v and %v",
			transition.Updated, transition.Removed, updated, removed)
	}
}

// TestZone_ApplyReproducesUpdates makes random updates and applies their changes at a replica, which is sometimes
// restored from a snapshot. The replica must have the same zone after each change, and the differences in the
// transitions must result in the served backends of that zone.
func TestZone_ApplyReproducesUpdates(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			zone := mustParse(t, testZoneFile)
			peer := newReplica(zone)
			for n := range 150 {
				transition, err := zone.Update(randomUpdate(t, random), int64(n+1)*1e9, Signature{KeyName: "k."})
				if err != nil || transition.Change == nil {
					continue
				}
				checkDifferences(t, zone, transition)
				zone = transition.Zone
				peer.apply(t, transition)
				if random.IntN(10) == 0 {
					peer.restoreSnapshot(t)
				}
				peer.checkZone(t, zone)
			}
			outOfSequence := &Change{FromSerial: zone.Serial() + 1, ToSerial: zone.Serial() + 2}
			_, err := zone.Apply(outOfSequence)
			if _, ok := errors.AsType[*SequenceError](err); !ok {
				t.Errorf("a change that is out of sequence: %v, want a SequenceError", err)
			}
		})
	}
}

// FuzzZone_Update applies any message that dns.Msg.Unpack accepts. Update must return a valid zone or an error, and
// must not modify the old zone.
func FuzzZone_Update(f *testing.F) {
	zone := mustParse(f, testZoneFile)
	for _, records := range [][]string{
		{srvPrefix + "n3.calc.example.", "n3.calc.example. A 127.0.0.3"},
		{"n1.calc.example. CNAME n1.calc.example."},
	} {
		message := newUpdate()
		for _, text := range records {
			message.Insert([]dns.RR{mustRecord(f, text)})
			message.Remove([]dns.RR{mustRecord(f, text)})
			message.RRsetUsed([]dns.RR{mustRecord(f, text)})
		}
		packed, err := message.Pack()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(packed)
	}
	f.Add([]byte{0, 0, 0x28, 0, 0, 1})
	before := fmt.Sprint(zone.Records())
	f.Fuzz(func(t *testing.T, packed []byte) {
		message := new(dns.Msg)
		if message.Unpack(packed) != nil {
			return
		}
		transition, err := zone.Update(message, 1e9, Signature{})
		if fmt.Sprint(zone.Records()) != before {
			t.Fatal("the update modified the old zone")
		}
		if err != nil {
			if updateErr, ok := errors.AsType[*UpdateError](err); !ok || updateErr.Rcode == dns.RcodeSuccess {
				t.Fatalf("%v: want an UpdateError with an error RCODE", err)
			}
			return
		}
		if transition.Change != nil {
			checkReproducible(t, zone, transition)
		}
	})
}

// checkReproducible checks that the change of a transition and a snapshot of its zone result in the same served
// backends as the transition.
func checkReproducible(t *testing.T, old *Zone, transition *Transition) {
	t.Helper()
	applied, err := old.Apply(transition.Change)
	if err != nil {
		t.Fatal(err)
	}
	list := transition.Zone.Backends()
	restored, err := Restore(transition.Zone.Snapshot(), testSettings)
	if err != nil {
		t.Fatal(err)
	}
	isSame := reflect.DeepEqual(applied.Zone.Backends(), list) && reflect.DeepEqual(restored.Backends(), list)
	if !isSame {
		t.Fatalf("backends %v; %v after Apply, %v after Restore", list, applied.Zone.Backends(), restored.Backends())
	}
}
