package dnszone

import (
	"errors"
	"testing"

	"github.com/miekg/dns"
)

// messageEdit changes an update message under construction.
type messageEdit func(message *dns.Msg)

// updateTest is an update of the test's zone, with the wanted RCODE and list.
type updateTest struct {
	name  string
	edits []messageEdit
	rcode int
	want  string
}

// edits builds the parts of update messages.
type edits struct{ t *testing.T }

func (e edits) add(records ...string) messageEdit {
	return func(message *dns.Msg) {
		for _, text := range records {
			message.Insert([]dns.RR{mustRecord(e.t, text)})
		}
	}
}

func (e edits) remove(records ...string) messageEdit {
	return func(message *dns.Msg) {
		for _, text := range records {
			message.Remove([]dns.RR{mustRecord(e.t, text)})
		}
	}
}

// with passes a record to one of the message's methods.
func (e edits) with(method func(*dns.Msg, []dns.RR), record string) messageEdit {
	return func(message *dns.Msg) { method(message, []dns.RR{mustRecord(e.t, record)}) }
}

// prerequisite adds a record without data to the prerequisites.
func (e edits) prerequisite(header dns.RR_Header) messageEdit {
	return func(message *dns.Msg) { message.Answer = append(message.Answer, &dns.ANY{Hdr: header}) }
}

// update adds a record without data to the updates.
func (e edits) update(header dns.RR_Header) messageEdit {
	return func(message *dns.Msg) { message.Ns = append(message.Ns, &dns.ANY{Hdr: header}) }
}

func (e edits) question(edit func(question *dns.Question)) messageEdit {
	return func(message *dns.Msg) { edit(&message.Question[0]) }
}

// updateSectionTests returns updates that differ in their update section.
func updateSectionTests(t *testing.T) []updateTest {
	t.Helper()
	e := edits{t}
	removeN1 := e.remove(srvTo + "n1.calc.example.")
	const n1Attributes = `n1.calc.example. TXT "fawnplank" "zone=a" "group=3"`
	const n1Draining = `n1.calc.example. TXT "fawnplank" "status=draining"`
	const n2Service = "_calc._tcp.calc.example. SRV 0 250 7000 n2.calc.example."
	deletionWithTTL := dns.RR_Header{Name: "n1.calc.example.", Rrtype: dns.TypeA, Class: dns.ClassANY, Ttl: 5}
	axfr := dns.RR_Header{Name: "n1.calc.example.", Rrtype: dns.TypeAXFR, Class: dns.ClassINET}
	chaos := dns.RR_Header{Name: "n1.calc.example.", Rrtype: dns.TypeA, Class: dns.ClassCHAOS}
	return []updateTest{
		{name: "new backend", rcode: dns.RcodeSuccess, want: "n1 n2 n3",
			edits: []messageEdit{e.add(srvTo+"n3.calc.example.", "n3.calc.example. A 127.0.0.3")}},
		{name: "new backend without address", rcode: dns.RcodeRefused, want: "n1 n2",
			edits: []messageEdit{e.add(srvTo + "n3.calc.example.")}},
		{name: "backend removed", rcode: dns.RcodeSuccess, want: "n2",
			edits: []messageEdit{removeN1}},
		{name: "two texts with attributes", rcode: dns.RcodeRefused, want: "n1 n2",
			edits: []messageEdit{e.add(n1Draining)}},
		{name: "attributes replaced", rcode: dns.RcodeSuccess, want: "(n1) n2",
			edits: []messageEdit{e.remove(n1Attributes), e.add(n1Draining)}},
		{name: "served priority emptied", rcode: dns.RcodeSuccess, want: "spare",
			edits: []messageEdit{e.remove(srvTo+"n1.calc.example.", n2Service)}},
		{name: "RRset removed", rcode: dns.RcodeSuccess, want: "",
			edits: []messageEdit{e.with((*dns.Msg).RemoveRRset, srvTo+".")}},
		{name: "name removed", rcode: dns.RcodeSuccess, want: "",
			edits: []messageEdit{e.with((*dns.Msg).RemoveName, srvTo+".")}},
		{name: "addresses removed", rcode: dns.RcodeRefused, want: "n1 n2",
			edits: []messageEdit{e.remove("n1.calc.example. A 127.0.0.11", "n1.calc.example. AAAA ::1")}},
		{name: "unsupported type", rcode: dns.RcodeRefused, want: "n1 n2",
			edits: []messageEdit{e.add("n1.calc.example. MX 1 n2.calc.example.")}},
		{name: "another service", rcode: dns.RcodeRefused, want: "n1 n2",
			edits: []messageEdit{e.add("_b._tcp.calc.example. SRV 0 1 1 n1.calc.example.")}},
		{name: "outside the zone", rcode: dns.RcodeNotZone, want: "n1 n2",
			edits: []messageEdit{e.add("n9.elsewhere. A 127.0.0.1")}},
		{name: "half valid", rcode: dns.RcodeNotZone, want: "n1 n2",
			edits: []messageEdit{removeN1, e.add("n9.elsewhere. A 127.0.0.1")}},
		{name: "deletion with a TTL", rcode: dns.RcodeFormatError, want: "n1 n2",
			edits: []messageEdit{removeN1, e.update(deletionWithTTL)}},
		{name: "meta type", rcode: dns.RcodeFormatError, want: "n1 n2",
			edits: []messageEdit{e.update(axfr)}},
		{name: "another class", rcode: dns.RcodeFormatError, want: "n1 n2",
			edits: []messageEdit{e.update(chaos)}},
	}
}

// ignoredRecordTests returns updates with records that RFC 2136, 3.4.2.2 ignores.
func ignoredRecordTests(t *testing.T) []updateTest {
	t.Helper()
	e := edits{t}
	const aliasedByN2 = "n2.calc.example. A 127.0.0.77"
	const olderSOA = "calc.example. SOA ns.calc.example. a.calc.example. 3 1 1 1 1"
	return []updateTest{
		{name: "alias beside others", rcode: dns.RcodeSuccess, want: "n1 n2",
			edits: []messageEdit{e.add("n1.calc.example. CNAME n2.calc.example.")}},
		{name: "beside an alias", rcode: dns.RcodeSuccess, want: "n1 n2",
			edits: []messageEdit{e.add(aliasedByN2)}},
		{name: "SOA that is not newer", rcode: dns.RcodeSuccess, want: "n1 n2",
			edits: []messageEdit{e.add(olderSOA)}},
	}
}

// zoneSectionTests returns updates that differ in their zone section.
func zoneSectionTests(t *testing.T) []updateTest {
	t.Helper()
	e := edits{t}
	noQuestion := func(message *dns.Msg) { message.Question = nil }
	return []updateTest{
		{name: "zone section of another type", rcode: dns.RcodeFormatError, want: "n1 n2",
			edits: []messageEdit{e.question(func(q *dns.Question) { q.Qtype = dns.TypeA })}},
		{name: "no zone section", rcode: dns.RcodeFormatError, want: "n1 n2",
			edits: []messageEdit{noQuestion}},
		{name: "another zone", rcode: dns.RcodeNotAuth, want: "n1 n2",
			edits: []messageEdit{e.question(func(q *dns.Question) { q.Name = "other.example." })}},
	}
}

// prerequisiteTests returns updates with each kind of prerequisite, met and not met.
func prerequisiteTests(t *testing.T) []updateTest {
	t.Helper()
	e := edits{t}
	removeN1 := e.remove(srvTo + "n1.calc.example.")
	withTTL := dns.RR_Header{Name: "n1.calc.example.", Rrtype: dns.TypeA, Class: dns.ClassANY, Ttl: 9}
	elsewhere := dns.RR_Header{Name: "n1.elsewhere.", Rrtype: dns.TypeA, Class: dns.ClassANY}
	return []updateTest{
		{name: "name in use, not met", rcode: dns.RcodeNameError, want: "n1 n2",
			edits: []messageEdit{e.with((*dns.Msg).NameUsed, "n7.calc.example. A 127.0.0.1")}},
		{name: "name in use, met", rcode: dns.RcodeSuccess, want: "n2",
			edits: []messageEdit{e.with((*dns.Msg).NameUsed, "n1.calc.example. A 127.0.0.1"), removeN1}},
		{name: "name not in use, not met", rcode: dns.RcodeYXDomain, want: "n1 n2",
			edits: []messageEdit{e.with((*dns.Msg).NameNotUsed, "n1.calc.example. A 127.0.0.1"), removeN1}},
		{name: "RRset exists, not met", rcode: dns.RcodeNXRrset, want: "n1 n2",
			edits: []messageEdit{e.with((*dns.Msg).RRsetUsed, "n2.calc.example. A 127.0.0.1")}},
		{name: "RRset does not exist, not met", rcode: dns.RcodeYXRrset, want: "n1 n2",
			edits: []messageEdit{e.with((*dns.Msg).RRsetNotUsed, "n1.calc.example. A 127.0.0.1")}},
		{name: "RRset with these data, met", rcode: dns.RcodeSuccess, want: "n2",
			edits: []messageEdit{e.with((*dns.Msg).Used, "n1.calc.example. 0 A 127.0.0.11"), removeN1}},
		{name: "RRset with these data, not met", rcode: dns.RcodeNXRrset, want: "n1 n2",
			edits: []messageEdit{e.with((*dns.Msg).Used, "n1.calc.example. 0 A 127.0.0.99"), removeN1}},
		{name: "prerequisite with a TTL", rcode: dns.RcodeFormatError, want: "n1 n2",
			edits: []messageEdit{e.prerequisite(withTTL)}},
		{name: "prerequisite outside the zone", rcode: dns.RcodeNotZone, want: "n1 n2",
			edits: []messageEdit{e.prerequisite(elsewhere)}},
	}
}

// TestZone_UpdateAppliesAllOrNothing applies updates completely, or refuses them with their RCODE and leaves
// the zone as it was.
func TestZone_UpdateAppliesAllOrNothing(t *testing.T) {
	for _, tests := range [][]updateTest{
		updateSectionTests(t), ignoredRecordTests(t), zoneSectionTests(t), prerequisiteTests(t),
	} {
		for _, test := range tests {
			t.Run(test.name, func(t *testing.T) { checkUpdate(t, test) })
		}
	}
}

func checkUpdate(t *testing.T, test updateTest) {
	t.Helper()
	zone := mustParse(t, testZoneFile)
	message := newUpdate()
	for _, edit := range test.edits {
		edit(message)
	}
	step, err := zone.Update(viaWire(t, message), 5e9, Signature{KeyName: "k."})
	rcode := dns.RcodeSuccess
	if err != nil {
		refused, ok := errors.AsType[*UpdateError](err)
		if !ok {
			t.Fatal(err)
		}
		rcode = refused.Rcode
		step = &Transition{Zone: zone}
	}
	if rcode != test.rcode || listedNames(step.Zone) != test.want {
		t.Errorf("%v; list %q, wanted %s and %q",
			err, listedNames(step.Zone), dns.RcodeToString[test.rcode], test.want)
	}
	if listedNames(zone) != "n1 n2" || zone.Serial() != 7 {
		t.Errorf("the zone before was changed: %s", listedNames(zone))
	}
	hasChange := step.Change != nil
	if hasChange != (step.Zone != zone) || hasChange && step.Zone.Serial() != 8 {
		t.Errorf("change %v, serial %d", step.Change, step.Zone.Serial())
	}
}

func BenchmarkZone_UpdateOf10000Backends(b *testing.B) {
	zone := mustParse(b, largeZoneFile(10000))
	message := newUpdate()
	message.Remove([]dns.RR{mustRecord(b, srvTo+"n77.calc.example.")})
	message = viaWire(b, message)
	for b.Loop() {
		if _, err := zone.Update(message, 1, Signature{}); err != nil {
			b.Fatal(err)
		}
	}
}
