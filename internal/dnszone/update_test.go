package dnszone

import (
	"errors"
	"testing"

	"github.com/miekg/dns"
)

// messageEdit modifies an update message that is being built.
type messageEdit func(message *dns.Msg)

// updateTest is an update of the test zone, with the expected RCODE and names of the served backends.
type updateTest struct {
	name      string
	edits     []messageEdit
	rcode     int
	wantNames string
}

// edits creates messageEdits.
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

// viaMethod calls a method of the message with a record.
func (e edits) viaMethod(method func(*dns.Msg, []dns.RR), record string) messageEdit {
	return func(message *dns.Msg) { method(message, []dns.RR{mustRecord(e.t, record)}) }
}

// prerequisiteWithoutData adds a record without data to the prerequisite section.
func (e edits) prerequisiteWithoutData(header dns.RR_Header) messageEdit {
	return func(message *dns.Msg) { message.Answer = append(message.Answer, &dns.ANY{Hdr: header}) }
}

// updateWithoutData adds a record without data to the update section.
func (e edits) updateWithoutData(header dns.RR_Header) messageEdit {
	return func(message *dns.Msg) { message.Ns = append(message.Ns, &dns.ANY{Hdr: header}) }
}

func (e edits) question(edit func(question *dns.Question)) messageEdit {
	return func(message *dns.Msg) { edit(&message.Question[0]) }
}

// updateSectionTests returns tests of the update section.
func updateSectionTests(t *testing.T) []updateTest {
	t.Helper()
	e := edits{t}
	removeN1 := e.remove(srvPrefix + "n1.calc.example.")
	const n1Attributes = `n1.calc.example. TXT "fawnplank" "zone=a" "group=3"`
	const n1Draining = `n1.calc.example. TXT "fawnplank" "status=draining"`
	const n2SRV = "_calc._tcp.calc.example. SRV 0 250 7000 n2.calc.example."
	deletionWithTTL := dns.RR_Header{Name: "n1.calc.example.", Rrtype: dns.TypeA, Class: dns.ClassANY, Ttl: 5}
	axfr := dns.RR_Header{Name: "n1.calc.example.", Rrtype: dns.TypeAXFR, Class: dns.ClassINET}
	chaos := dns.RR_Header{Name: "n1.calc.example.", Rrtype: dns.TypeA, Class: dns.ClassCHAOS}
	return []updateTest{
		{name: "new backend", rcode: dns.RcodeSuccess, wantNames: "n1 n2 n3",
			edits: []messageEdit{e.add(srvPrefix+"n3.calc.example.", "n3.calc.example. A 127.0.0.3")}},
		{name: "new backend without address", rcode: dns.RcodeRefused, wantNames: "n1 n2",
			edits: []messageEdit{e.add(srvPrefix + "n3.calc.example.")}},
		{name: "backend removed", rcode: dns.RcodeSuccess, wantNames: "n2",
			edits: []messageEdit{removeN1}},
		{name: "two TXT records with attributes", rcode: dns.RcodeRefused, wantNames: "n1 n2",
			edits: []messageEdit{e.add(n1Draining)}},
		{name: "attributes replaced", rcode: dns.RcodeSuccess, wantNames: "(n1) n2",
			edits: []messageEdit{e.remove(n1Attributes), e.add(n1Draining)}},
		{name: "all backends of the served priority removed", rcode: dns.RcodeSuccess, wantNames: "spare",
			edits: []messageEdit{e.remove(srvPrefix+"n1.calc.example.", n2SRV)}},
		{name: "RRset removed", rcode: dns.RcodeSuccess, wantNames: "",
			edits: []messageEdit{e.viaMethod((*dns.Msg).RemoveRRset, srvPrefix+".")}},
		{name: "name removed", rcode: dns.RcodeSuccess, wantNames: "",
			edits: []messageEdit{e.viaMethod((*dns.Msg).RemoveName, srvPrefix+".")}},
		{name: "addresses removed", rcode: dns.RcodeRefused, wantNames: "n1 n2",
			edits: []messageEdit{e.remove("n1.calc.example. A 127.0.0.11", "n1.calc.example. AAAA ::1")}},
		{name: "unsupported type", rcode: dns.RcodeRefused, wantNames: "n1 n2",
			edits: []messageEdit{e.add("n1.calc.example. MX 1 n2.calc.example.")}},
		{name: "SRV record of another service", rcode: dns.RcodeRefused, wantNames: "n1 n2",
			edits: []messageEdit{e.add("_b._tcp.calc.example. SRV 0 1 1 n1.calc.example.")}},
		{name: "record outside the zone", rcode: dns.RcodeNotZone, wantNames: "n1 n2",
			edits: []messageEdit{e.add("n9.elsewhere. A 127.0.0.1")}},
		{name: "one of two records outside the zone", rcode: dns.RcodeNotZone, wantNames: "n1 n2",
			edits: []messageEdit{removeN1, e.add("n9.elsewhere. A 127.0.0.1")}},
		{name: "deletion with a TTL", rcode: dns.RcodeFormatError, wantNames: "n1 n2",
			edits: []messageEdit{removeN1, e.updateWithoutData(deletionWithTTL)}},
		{name: "meta type", rcode: dns.RcodeFormatError, wantNames: "n1 n2",
			edits: []messageEdit{e.updateWithoutData(axfr)}},
		{name: "unsupported class", rcode: dns.RcodeFormatError, wantNames: "n1 n2",
			edits: []messageEdit{e.updateWithoutData(chaos)}},
	}
}

// ignoredRecordTests returns updates with records that have to be ignored (RFC 2136, 3.4.2.2).
func ignoredRecordTests(t *testing.T) []updateTest {
	t.Helper()
	e := edits{t}
	const addressAtAlias = "n2.calc.example. A 127.0.0.77"
	const olderSOA = "calc.example. SOA ns.calc.example. a.calc.example. 3 1 1 1 1"
	return []updateTest{
		{name: "CNAME at a name with other records", rcode: dns.RcodeSuccess, wantNames: "n1 n2",
			edits: []messageEdit{e.add("n1.calc.example. CNAME n2.calc.example.")}},
		{name: "record at a name with a CNAME", rcode: dns.RcodeSuccess, wantNames: "n1 n2",
			edits: []messageEdit{e.add(addressAtAlias)}},
		{name: "SOA that is not newer", rcode: dns.RcodeSuccess, wantNames: "n1 n2",
			edits: []messageEdit{e.add(olderSOA)}},
	}
}

// zoneSectionTests returns tests of the zone section.
func zoneSectionTests(t *testing.T) []updateTest {
	t.Helper()
	e := edits{t}
	noQuestion := func(message *dns.Msg) { message.Question = nil }
	return []updateTest{
		{name: "zone section of a type other than SOA", rcode: dns.RcodeFormatError, wantNames: "n1 n2",
			edits: []messageEdit{e.question(func(q *dns.Question) { q.Qtype = dns.TypeA })}},
		{name: "no zone section", rcode: dns.RcodeFormatError, wantNames: "n1 n2",
			edits: []messageEdit{noQuestion}},
		{name: "another zone", rcode: dns.RcodeNotAuth, wantNames: "n1 n2",
			edits: []messageEdit{e.question(func(q *dns.Question) { q.Name = "other.example." })}},
	}
}

// prerequisiteTests returns updates with every kind of prerequisite, satisfied or not.
func prerequisiteTests(t *testing.T) []updateTest {
	t.Helper()
	e := edits{t}
	removeN1 := e.remove(srvPrefix + "n1.calc.example.")
	withTTL := dns.RR_Header{Name: "n1.calc.example.", Rrtype: dns.TypeA, Class: dns.ClassANY, Ttl: 9}
	outsideZone := dns.RR_Header{Name: "n1.elsewhere.", Rrtype: dns.TypeA, Class: dns.ClassANY}
	return []updateTest{
		{name: "name in use, not met", rcode: dns.RcodeNameError, wantNames: "n1 n2",
			edits: []messageEdit{e.viaMethod((*dns.Msg).NameUsed, "n7.calc.example. A 127.0.0.1")}},
		{name: "name in use, met", rcode: dns.RcodeSuccess, wantNames: "n2",
			edits: []messageEdit{e.viaMethod((*dns.Msg).NameUsed, "n1.calc.example. A 127.0.0.1"), removeN1}},
		{name: "name not in use, not met", rcode: dns.RcodeYXDomain, wantNames: "n1 n2",
			edits: []messageEdit{e.viaMethod((*dns.Msg).NameNotUsed, "n1.calc.example. A 127.0.0.1"), removeN1}},
		{name: "RRset exists, not met", rcode: dns.RcodeNXRrset, wantNames: "n1 n2",
			edits: []messageEdit{e.viaMethod((*dns.Msg).RRsetUsed, "n2.calc.example. A 127.0.0.1")}},
		{name: "RRset does not exist, not met", rcode: dns.RcodeYXRrset, wantNames: "n1 n2",
			edits: []messageEdit{e.viaMethod((*dns.Msg).RRsetNotUsed, "n1.calc.example. A 127.0.0.1")}},
		{name: "RRset exists with these data, met", rcode: dns.RcodeSuccess, wantNames: "n2",
			edits: []messageEdit{e.viaMethod((*dns.Msg).Used, "n1.calc.example. 0 A 127.0.0.11"), removeN1}},
		{name: "RRset exists with these data, not met", rcode: dns.RcodeNXRrset, wantNames: "n1 n2",
			edits: []messageEdit{e.viaMethod((*dns.Msg).Used, "n1.calc.example. 0 A 127.0.0.99"), removeN1}},
		{name: "prerequisite with a TTL", rcode: dns.RcodeFormatError, wantNames: "n1 n2",
			edits: []messageEdit{e.prerequisiteWithoutData(withTTL)}},
		{name: "prerequisite outside the zone", rcode: dns.RcodeNotZone, wantNames: "n1 n2",
			edits: []messageEdit{e.prerequisiteWithoutData(outsideZone)}},
	}
}

// TestZone_UpdateAppliesAllOrNothing checks that each update is either applied completely, or refused with the
// expected RCODE without any effect on the zone.
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
	transition, err := zone.Update(packAndUnpack(t, message), 5e9, Signature{KeyName: "k."})
	rcode := dns.RcodeSuccess
	if err != nil {
		updateErr, ok := errors.AsType[*UpdateError](err)
		if !ok {
			t.Fatal(err)
		}
		rcode = updateErr.Rcode
		transition = &Transition{Zone: zone}
	}
	if rcode != test.rcode || servedNames(transition.Zone) != test.wantNames {
		t.Errorf("%v; served backends %q, want RCODE %s and %q",
			err, servedNames(transition.Zone), dns.RcodeToString[test.rcode], test.wantNames)
	}
	if servedNames(zone) != "n1 n2" || zone.Serial() != 7 {
		t.Errorf("the update modified the old zone: %s", servedNames(zone))
	}
	hasChange := transition.Change != nil
	if hasChange != (transition.Zone != zone) || hasChange && transition.Zone.Serial() != 8 {
		t.Errorf("change %v, serial %d", transition.Change, transition.Zone.Serial())
	}
}

func BenchmarkZone_UpdateOf10000Backends(b *testing.B) {
	zone := mustParse(b, largeZoneFile(10000))
	message := newUpdate()
	message.Remove([]dns.RR{mustRecord(b, srvPrefix+"n77.calc.example.")})
	message = packAndUnpack(b, message)
	for b.Loop() {
		if _, err := zone.Update(message, 1, Signature{}); err != nil {
			b.Fatal(err)
		}
	}
}
