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

// updated applies an update that adds records, or deletes those with a leading minus.
func updated(t *testing.T, zone *Zone, atNanos int64, records ...string) *Zone {
	t.Helper()
	message := newUpdate()
	for _, text := range records {
		if deleted, ok := strings.CutPrefix(text, "-"); ok {
			message.Remove([]dns.RR{mustRecord(t, deleted)})
		} else {
			message.Insert([]dns.RR{mustRecord(t, text)})
		}
	}
	step, err := zone.Update(viaWire(t, message), atNanos, Signature{KeyName: "k."})
	if err != nil {
		t.Fatal(err)
	}
	return step.Zone
}

// TestZone_BackendThatReturnsIsNew removes a backend and adds it again at the same address. It has a new
// start, and the others keep theirs.
func TestZone_BackendThatReturnsIsNew(t *testing.T) {
	zone := mustParse(t, testZoneFile)
	zone = updated(t, zone, 5e9, "-"+srvTo+"n1.calc.example.")
	zone = updated(t, zone, 9e9, srvTo+"n1.calc.example.")
	list := zone.Backends()
	if list[0].StartNanos() != 9e9 || list[1].StartNanos() != 0 || list[0].Provenance.Key != "k." {
		t.Errorf("%+v", list)
	}
	zone = updated(t, zone, 11e9, "-"+srvTo+"n1.calc.example.", srvTo+"n1.calc.example.")
	if zone.Backends()[0].StartNanos() != 9e9 {
		t.Error("one that was removed and added in one update, and so never left, is new")
	}
	zone = updated(t, zone, 12e9, `-n1.calc.example. TXT "fawnplank" "zone=a" "group=3"`,
		`n1.calc.example. TXT "fawnplank" "since=4000"`)
	if zone.Backends()[0].StartNanos() != 4e9 {
		t.Error("a stated start is not in force")
	}
	text := strings.Replace(testZoneFile, " 7 3600", " 90 3600", 1)
	text += "_calc._tcp SRV 0 100 7000 n4\nn4 A 127.0.0.14\n"
	replaced := mustParse(t, text).WithStartTimesOf(zone, 20e9)
	list = replaced.Backends()
	if listedNames(replaced) != "n1 n2 n4" || list[0].StartNanos() != 9e9 {
		t.Errorf("%+v", list)
	}
	stayed, fresh := list[1].Provenance, list[2].Provenance
	if stayed.StartNanos != 0 || fresh.StartNanos != 20e9 || fresh.Line != 16 {
		t.Errorf("%+v", list)
	}
}

// randomRecord returns a record that updates add to the test's zone or remove from it.
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
	return viaWire(t, message)
}

// replica builds a zone from the changes of another one, and its list from the differences.
type replica struct {
	zone *Zone
	list map[string]Backend
}

func newReplica(zone *Zone) *replica {
	r := &replica{zone: zone, list: map[string]Backend{}}
	for _, backend := range zone.Backends() {
		r.list[backend.Name] = backend
	}
	return r
}

// apply applies a step of the other zone, and checks that the list is the same afterwards.
func (r *replica) apply(t *testing.T, step *Transition) {
	t.Helper()
	for _, backend := range step.Updated {
		r.list[backend.Name] = backend
	}
	for _, name := range step.Removed {
		delete(r.list, name)
	}
	list := step.Zone.Backends()
	differs := func(backend Backend) bool { return !r.list[backend.Name].equal(backend) }
	isCounted := len(r.list) == step.Zone.BackendCount() && len(r.list) == len(list)
	if !isCounted || slices.ContainsFunc(list, differs) {
		t.Fatalf("the differences add up to %v, the list is %v", r.list, list)
	}
	applied, err := r.zone.Apply(step.Change)
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

// checkZone checks that the replica's zone has the same backends as the other one.
func (r *replica) checkZone(t *testing.T, zone *Zone) {
	t.Helper()
	if list := zone.Backends(); !reflect.DeepEqual(r.zone.Backends(), list) {
		t.Fatalf("%+v, not %+v", r.zone.Backends(), list)
	}
}

// checkDifferences compares a step's differences with those between the complete lists.
func checkDifferences(t *testing.T, old *Zone, step *Transition) {
	t.Helper()
	updated, removed := DiffBackends(old, step.Zone)
	slices.SortFunc(updated, func(a, b Backend) int { return strings.Compare(a.Name, b.Name) })
	if fmt.Sprint(updated) != fmt.Sprint(step.Updated) || !slices.Equal(removed, step.Removed) {
		t.Fatalf("differences %v, %v; they are %v, %v", step.Updated, step.Removed, updated, removed)
	}
}

// TestZone_ApplyGivesSameZone makes random updates. A zone depends on its changes alone: applied one after
// the other, or from a snapshot in between, they give the same zone, and the differences add up to its list.
func TestZone_ApplyGivesSameZone(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			zone := mustParse(t, testZoneFile)
			other := newReplica(zone)
			for n := range 150 {
				step, err := zone.Update(randomUpdate(t, random), int64(n+1)*1e9, Signature{KeyName: "k."})
				if err != nil || step.Change == nil {
					continue
				}
				checkDifferences(t, zone, step)
				zone = step.Zone
				other.apply(t, step)
				if random.IntN(10) == 0 {
					other.restoreSnapshot(t)
				}
				other.checkZone(t, zone)
			}
			ahead := &Change{FromSerial: zone.Serial() + 1, ToSerial: zone.Serial() + 2}
			_, err := zone.Apply(ahead)
			if _, ok := errors.AsType[*SequenceError](err); !ok {
				t.Errorf("a change that does not follow: %v, not a SequenceError", err)
			}
		})
	}
}

// FuzzZone_Update passes any message that the parser accepts. It gives a valid zone or an error, and the old
// zone does not change.
func FuzzZone_Update(f *testing.F) {
	zone := mustParse(f, testZoneFile)
	for _, records := range [][]string{
		{srvTo + "n3.calc.example.", "n3.calc.example. A 127.0.0.3"},
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
		step, err := zone.Update(message, 1e9, Signature{})
		if fmt.Sprint(zone.Records()) != before {
			t.Fatal("the zone before was changed")
		}
		if err != nil {
			if refused, ok := errors.AsType[*UpdateError](err); !ok || refused.Rcode == dns.RcodeSuccess {
				t.Fatalf("%v: a refusal without RCODE", err)
			}
			return
		}
		if step.Change != nil {
			checkReproducible(t, zone, step)
		}
	})
}

// checkReproducible checks that a step's change and a snapshot of its zone give the same list.
func checkReproducible(t *testing.T, old *Zone, step *Transition) {
	t.Helper()
	applied, err := old.Apply(step.Change)
	if err != nil {
		t.Fatal(err)
	}
	list := step.Zone.Backends()
	restored, err := Restore(step.Zone.Snapshot(), testSettings)
	if err != nil {
		t.Fatal(err)
	}
	isSame := reflect.DeepEqual(applied.Zone.Backends(), list) && reflect.DeepEqual(restored.Backends(), list)
	if !isSame {
		t.Fatalf("%v, %v, %v", list, applied.Zone.Backends(), restored.Backends())
	}
}
