package dnszone

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/miekg/dns"
)

var here = Settings{"calc.example.", "_calc._tcp.calc.example."}

const head = `$ORIGIN calc.example.
$TTL 30
@ IN SOA ns admin 7 3600 600 86400 30
@ IN NS ns
ns IN A 127.0.0.1
`

const file = head + `_calc._tcp SRV 0 100 7000 n1
_calc._tcp SRV 0 250 7000 n2
_calc._tcp SRV 5 100 7000 spare
n1 A 127.0.0.11
n1 AAAA ::1
n1 TXT "fawnplank" "zone=a" "group=3"
n1 TXT "v=spf1 -all"
n2 CNAME n2.racks
n2.racks A 127.0.0.12
spare A 127.0.0.13
`

func parse(t testing.TB, text string) *Zone {
	t.Helper()
	z, err := Parse("calc.zone", []byte(text), here)
	if err != nil {
		t.Fatal(err)
	}
	return z
}

// names are the backends in the list; those that drain in brackets.
func names(z *Zone) string {
	var all []string
	for _, b := range z.Backends() {
		n := strings.TrimSuffix(strings.TrimSuffix(b.Name, ":7000"), ".calc.example")
		if b.Draining {
			n = "(" + n + ")"
		}
		all = append(all, n)
	}
	return strings.Join(all, " ")
}

func TestAFileGivesTheList(t *testing.T) {
	z := parse(t, file)
	list := z.Backends()
	if names(z) != "n1 n2" || z.Serial() != 7 {
		t.Fatalf("%s, serial %d", names(z), z.Serial())
	}
	n1, n2 := list[0], list[1]
	if n1.Name != "n1.calc.example:7000" || n1.Zone != "a" || n1.Group != 3 || n1.Weight != 1 || n1.Provenance.StartNanos != 0 || n1.Provenance.File != "calc.zone" || n1.Provenance.Line != 6 {
		t.Errorf("%+v", n1)
	}
	if got := fmt.Sprint(n1.Addresses); got != "[127.0.0.11:7000 [::1]:7000]" {
		t.Error(got)
	}
	if n2.Weight != 2.5 || fmt.Sprint(n2.Addresses) != "[127.0.0.12:7000]" || n2.Provenance.Line != 7 {
		t.Errorf("%+v", n2)
	}
	again, err := Restore(z.Snapshot(), here)
	if err != nil || !reflect.DeepEqual(again.Backends(), list) {
		t.Errorf("after a restore: %v, %+v", err, again.Backends())
	}
}

// Each fault of a file is told with its line, and nothing of the file is taken.
func TestFaultsNameFileAndLine(t *testing.T) {
	for _, x := range []struct{ text, want string }{
		{"", "calc.zone:1: no SOA"},
		{"n1 A 127.0.0.1\n", "SOA"},
		{head, "calc.zone:3: _calc._tcp.calc.example. has no SRV record"},
		{head + "x MX 10 mail\n", "calc.zone:6: x.calc.example.: records of type MX have no place"},
		{head + "x TYPE999 \\# 1 00\n", "calc.zone:6: "},
		{head + "x NONSENSE 1\n", "calc.zone:6: "},
		{head + "x A 300.1.1.1\n", "calc.zone:6: "},
		{head + "x A", "calc.zone:"},
		{head + "x CH A 127.0.0.1\n", "calc.zone:6: "},
		{head + "elsewhere. A 127.0.0.1\n", "calc.zone:6: elsewhere. does not lie in the zone"},
		{head + "_calc._tcp SRV 0 1 7000 n1\n", "calc.zone:6: n1.calc.example. has no address"},
		{head + "_calc._tcp SRV 0 1 7000 n.elsewhere.\n", "calc.zone:6: target n.elsewhere. does not lie in the zone"},
		{head + "_calc._tcp SRV 0 1 0 ns\n", "calc.zone:6: target ns.calc.example. with port 0"},
		{head + "_calc._tcp SRV 0 1 7000 .\n", "calc.zone:6: "},
		{head + "_other._tcp SRV 0 1 7000 ns\n", "calc.zone:6: SRV record at _other"},
		{head + "_calc._tcp SRV 0 1 7000 l1\nl1 CNAME l2\nl2 CNAME l1\n", "make a loop"},
		{head + "_calc._tcp SRV 0 1 7000 ns\n_calc._tcp SRV 1 1 7000 ns\n", "calc.zone:7: ns.calc.example:7000 stands twice"},
		{head + "_calc._tcp SRV 0 1 7000 ns\n_calc._tcp SRV 0 1 7000 ns\n", "calc.zone:7: _calc._tcp.calc.example. SRV stands twice"},
		{head + "_calc._tcp SRV 0 1 7000 ns\n_calc._tcp SRV 0 1 7000 n2\nn2 A 127.0.0.1\n", "calc.zone:6: n2.calc.example:7000 and ns.calc.example:7000 both have the address"},
		{head + "_calc._tcp SRV 0 1 7000 ns\nns TXT fawnplank colour=red\n", `calc.zone:7: ns.calc.example.: "colour=red": unknown`},
		{head + "_calc._tcp SRV 0 1 7000 ns\nns TXT fawnplank status=ill\n", "calc.zone:7: "},
		{head + "_calc._tcp SRV 0 1 7000 ns\nns TXT fawnplank group=-1\n", "calc.zone:7: "},
		{head + "_calc._tcp SRV 0 1 7000 ns\nns TXT fawnplank size=1 size=2\n", "calc.zone:7: "},
		{head + "_calc._tcp SRV 0 1 7000 ns\nns TXT fawnplank since=99999999999999\n", "calc.zone:7: "},
		{head + "_calc._tcp SRV 0 1 7000 ns\nns A 0.0.0.0\n", "0.0.0.0"},
		{head + "@ IN SOA ns admin 8 3600 600 86400 30\n", "calc.zone:6: calc.example. SOA stands twice"},
		{head + "$INCLUDE other.zone\n", "calc.zone:6: "},
	} {
		if _, err := Parse("calc.zone", []byte(x.text), here); err == nil || !strings.Contains(err.Error(), x.want) {
			t.Errorf("%q: %v, not %q", strings.TrimPrefix(x.text, head), err, x.want)
		}
	}
	for _, s := range []Settings{{}, {"calc.example.", "_calc._tcp.other."}, {"a..b.", "a..b."}} {
		if _, err := s.Canonical(); err == nil {
			t.Errorf("%v taken", s)
		}
	}
}

func TestSerialsGoRoundTheCircle(t *testing.T) {
	for _, x := range []struct {
		a, b uint32
		want bool
	}{{1, 0, true}, {0, 1, false}, {0, 0, false}, {44, 0, true}, {1<<31 - 1, 0, true}, {1 << 31, 0, false}, {0, 1 << 31, false}, {0, 1<<32 - 1, true}, {5, 1<<32 - 5, true}, {1<<32 - 5, 5, false}} {
		if SerialNewer(x.a, x.b) != x.want {
			t.Errorf("%d after %d: %v", x.a, x.b, !x.want)
		}
	}
	z := parse(t, strings.Replace(file, " 7 3600", " 4294967295 3600", 1))
	m := update()
	m.RemoveName([]dns.RR{rr(t, "n3.calc.example. A 127.0.0.3")})
	m.Insert([]dns.RR{rr(t, "n3.calc.example. A 127.0.0.3")})
	step, err := z.Update(wire(t, m), 1, Signature{})
	if err != nil || step.Zone.Serial() != 1 || step.Change.ToSerial != 1 {
		t.Errorf("after the last serial comes %v, %v; 0 stands for none", step, err)
	}
}

func update() *dns.Msg { return new(dns.Msg).SetUpdate(here.Origin) }

func rr(t testing.TB, text string) dns.RR {
	t.Helper()
	x, err := dns.NewRR(text)
	if err != nil {
		t.Fatal(err)
	}
	return x
}

// wire is the message as it comes off the wire.
func wire(t testing.TB, m *dns.Msg) *dns.Msg {
	t.Helper()
	text, err := m.Pack()
	if err != nil {
		t.Fatal(err)
	}
	got := new(dns.Msg)
	if err := got.Unpack(text); err != nil {
		t.Fatal(err)
	}
	return got
}

const srv = "_calc._tcp.calc.example. 30 IN SRV 0 100 7000 "

// An update is done whole, or refused by its RCODE and leaves everything as it was.
func TestUpdates(t *testing.T) {
	add := func(texts ...string) func(m *dns.Msg) {
		return func(m *dns.Msg) {
			for _, x := range texts {
				m.Insert([]dns.RR{rr(t, x)})
			}
		}
	}
	without := func(texts ...string) func(m *dns.Msg) {
		return func(m *dns.Msg) {
			for _, x := range texts {
				m.Remove([]dns.RR{rr(t, x)})
			}
		}
	}
	raw := func(class, rtype uint16, ttl uint32, name string, section func(m *dns.Msg) *[]dns.RR) func(m *dns.Msg) {
		return func(m *dns.Msg) {
			s := section(m)
			*s = append(*s, &dns.ANY{Hdr: dns.RR_Header{Name: name, Rrtype: rtype, Class: class, Ttl: ttl}})
		}
	}
	answer := func(m *dns.Msg) *[]dns.RR { return &m.Answer }
	ns := func(m *dns.Msg) *[]dns.RR { return &m.Ns }
	for n, x := range []struct {
		do    []func(m *dns.Msg)
		rcode int
		want  string // the list after it
	}{
		{[]func(m *dns.Msg){add(srv+"n3.calc.example.", "n3.calc.example. A 127.0.0.3")}, 0, "n1 n2 n3"},
		{[]func(m *dns.Msg){add(srv + "n3.calc.example.")}, dns.RcodeRefused, "n1 n2"},
		{[]func(m *dns.Msg){without(srv + "n1.calc.example.")}, 0, "n2"},
		{[]func(m *dns.Msg){add(`n1.calc.example. TXT "fawnplank" "status=draining"`)}, dns.RcodeRefused, "n1 n2"}, // two texts
		{[]func(m *dns.Msg){without(`n1.calc.example. TXT "fawnplank" "zone=a" "group=3"`), add(`n1.calc.example. TXT "fawnplank" "status=draining"`)}, 0, "(n1) n2"},
		{[]func(m *dns.Msg){without(srv+"n1.calc.example.", "_calc._tcp.calc.example. SRV 0 250 7000 n2.calc.example.")}, 0, "spare"},
		{[]func(m *dns.Msg){func(m *dns.Msg) { m.RemoveRRset([]dns.RR{rr(t, srv+".")}) }}, 0, ""},
		{[]func(m *dns.Msg){func(m *dns.Msg) { m.RemoveName([]dns.RR{rr(t, srv+".")}) }}, 0, ""},
		{[]func(m *dns.Msg){without("n1.calc.example. A 127.0.0.11", "n1.calc.example. AAAA ::1")}, dns.RcodeRefused, "n1 n2"},
		{[]func(m *dns.Msg){add("n1.calc.example. MX 1 n2.calc.example.")}, dns.RcodeRefused, "n1 n2"},
		{[]func(m *dns.Msg){add("_b._tcp.calc.example. SRV 0 1 1 n1.calc.example.")}, dns.RcodeRefused, "n1 n2"},
		{[]func(m *dns.Msg){add("n9.elsewhere. A 127.0.0.1")}, dns.RcodeNotZone, "n1 n2"},
		{[]func(m *dns.Msg){without(srv + "n1.calc.example."), add("n9.elsewhere. A 127.0.0.1")}, dns.RcodeNotZone, "n1 n2"}, // half valid
		{[]func(m *dns.Msg){without(srv + "n1.calc.example."), raw(dns.ClassANY, dns.TypeA, 5, "n1.calc.example.", ns)}, dns.RcodeFormatError, "n1 n2"},
		{[]func(m *dns.Msg){raw(dns.ClassINET, dns.TypeAXFR, 0, "n1.calc.example.", ns)}, dns.RcodeFormatError, "n1 n2"},
		{[]func(m *dns.Msg){raw(dns.ClassCHAOS, dns.TypeA, 0, "n1.calc.example.", ns)}, dns.RcodeFormatError, "n1 n2"},
		{[]func(m *dns.Msg){add("n1.calc.example. CNAME n2.calc.example.")}, 0, "n1 n2"}, // passed over: 3.4.2.2
		{[]func(m *dns.Msg){add("n2.calc.example. A 127.0.0.77")}, 0, "n1 n2"},           // beside an alias: likewise
		{[]func(m *dns.Msg){add("calc.example. SOA ns.calc.example. a.calc.example. 3 1 1 1 1")}, 0, "n1 n2"},
		{[]func(m *dns.Msg){func(m *dns.Msg) { m.Question[0].Qtype = dns.TypeA }}, dns.RcodeFormatError, "n1 n2"},
		{[]func(m *dns.Msg){func(m *dns.Msg) { m.Question = nil }}, dns.RcodeFormatError, "n1 n2"},
		{[]func(m *dns.Msg){func(m *dns.Msg) { m.Question[0].Name = "other.example." }}, dns.RcodeNotAuth, "n1 n2"},
		// Prerequisites, each met and not.
		{[]func(m *dns.Msg){func(m *dns.Msg) { m.NameUsed([]dns.RR{rr(t, "n7.calc.example. A 127.0.0.1")}) }}, dns.RcodeNameError, "n1 n2"},
		{[]func(m *dns.Msg){func(m *dns.Msg) { m.NameUsed([]dns.RR{rr(t, "n1.calc.example. A 127.0.0.1")}) }, without(srv + "n1.calc.example.")}, 0, "n2"},
		{[]func(m *dns.Msg){func(m *dns.Msg) { m.NameNotUsed([]dns.RR{rr(t, "n1.calc.example. A 127.0.0.1")}) }, without(srv + "n1.calc.example.")}, dns.RcodeYXDomain, "n1 n2"},
		{[]func(m *dns.Msg){func(m *dns.Msg) { m.RRsetUsed([]dns.RR{rr(t, "n2.calc.example. A 127.0.0.1")}) }}, dns.RcodeNXRrset, "n1 n2"},
		{[]func(m *dns.Msg){func(m *dns.Msg) { m.RRsetNotUsed([]dns.RR{rr(t, "n1.calc.example. A 127.0.0.1")}) }}, dns.RcodeYXRrset, "n1 n2"},
		{[]func(m *dns.Msg){func(m *dns.Msg) { m.Used([]dns.RR{rr(t, "n1.calc.example. 0 A 127.0.0.11")}) }, without(srv + "n1.calc.example.")}, 0, "n2"},
		{[]func(m *dns.Msg){func(m *dns.Msg) { m.Used([]dns.RR{rr(t, "n1.calc.example. 0 A 127.0.0.99")}) }, without(srv + "n1.calc.example.")}, dns.RcodeNXRrset, "n1 n2"},
		{[]func(m *dns.Msg){raw(dns.ClassANY, dns.TypeA, 9, "n1.calc.example.", answer)}, dns.RcodeFormatError, "n1 n2"},
		{[]func(m *dns.Msg){raw(dns.ClassANY, dns.TypeA, 0, "n1.elsewhere.", answer)}, dns.RcodeNotZone, "n1 n2"},
	} {
		z := parse(t, file)
		m := update()
		for _, do := range x.do {
			do(m)
		}
		step, err := z.Update(wire(t, m), 5e9, Signature{KeyName: "k."})
		rcode := 0
		if err != nil {
			rcode, step = err.(*UpdateError).Rcode, &Step{Zone: z}
		}
		next, c := step.Zone, step.Change
		if rcode != x.rcode || names(next) != x.want {
			t.Errorf("%d: %v; list %q, wanted %s and %q", n, err, names(next), dns.RcodeToString[x.rcode], x.want)
		}
		if names(z) != "n1 n2" || z.Serial() != 7 {
			t.Errorf("%d: the zone before was changed: %s", n, names(z))
		}
		if (c != nil) != (next != z) || c != nil && next.Serial() != 8 {
			t.Errorf("%d: change %v, serial %d", n, c, next.Serial())
		}
	}
}

// A backend that was withdrawn and comes back on the same address is a new one, and cold; what stays, stays.
func TestABackendThatReturnsIsNew(t *testing.T) {
	z := parse(t, file)
	do := func(at int64, texts ...string) {
		m := update()
		for _, x := range texts {
			if x[0] == '-' {
				m.Remove([]dns.RR{rr(t, x[1:])})
			} else {
				m.Insert([]dns.RR{rr(t, x)})
			}
		}
		step, err := z.Update(wire(t, m), at, Signature{KeyName: "k."})
		if err != nil {
			t.Fatal(err)
		}
		z = step.Zone
	}
	started := func(n int) int64 { return z.Backends()[n].StartNanos() }
	do(5e9, "-"+srv+"n1.calc.example.")
	do(9e9, srv+"n1.calc.example.")
	if started(0) != 9e9 || started(1) != 0 || z.Backends()[0].Provenance.Key != "k." {
		t.Errorf("%+v", z.Backends())
	}
	do(11e9, "-"+srv+"n1.calc.example.", srv+"n1.calc.example.") // withdrawn and added in one update: it never left
	if started(0) != 9e9 {
		t.Error("one that never left is new")
	}
	do(12e9, `-n1.calc.example. TXT "fawnplank" "zone=a" "group=3"`, `n1.calc.example. TXT "fawnplank" "since=4000"`)
	if started(0) != 4e9 {
		t.Error("a start that is stated does not hold")
	}
	fresh := parse(t, strings.Replace(file, " 7 3600", " 90 3600", 1)+"_calc._tcp SRV 0 100 7000 n4\nn4 A 127.0.0.14\n")
	fresh = fresh.Replacing(z, 20e9)
	b := fresh.Backends()
	if names(fresh) != "n1 n2 n4" || b[0].StartNanos() != 9e9 || b[1].Provenance.StartNanos != 0 || b[2].Provenance.StartNanos != 20e9 || b[2].Provenance.Line != 16 {
		t.Errorf("%+v", b)
	}
}

// Whatever updates come, a zone is a function of the changes alone: done again one after the other, and from a
// snapshot in between, they give the same, and the differences told on the way add up to the list.
func TestChangesGiveTheSameZoneEverywhere(t *testing.T) {
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 1))
		z := parse(t, file)
		other := z
		held := map[string]Backend{}
		for _, b := range z.Backends() {
			held[b.Name] = b
		}
		for step := range 150 {
			m := update()
			for range 1 + r.IntN(4) {
				n := fmt.Sprintf("n%d.calc.example.", r.IntN(8))
				var x dns.RR
				switch r.IntN(5) {
				case 0:
					x = rr(t, fmt.Sprintf("%s A 127.0.0.%d", n, 1+r.IntN(20)))
				case 1:
					x = rr(t, fmt.Sprintf(`%s TXT "fawnplank" "status=%s"`, n, []string{"up", "draining"}[r.IntN(2)]))
				case 2:
					x = rr(t, fmt.Sprintf("%s CNAME n%d.calc.example.", n, r.IntN(8)))
				default:
					x = rr(t, fmt.Sprintf("_calc._tcp.calc.example. SRV %d %d 7000 %s", r.IntN(2), r.IntN(3)*50, n))
				}
				switch r.IntN(5) {
				case 0, 1:
					m.Remove([]dns.RR{x})
				case 2:
					m.RemoveRRset([]dns.RR{x})
				default:
					m.Insert([]dns.RR{x})
				}
			}
			s, err := z.Update(wire(t, m), int64(step+1)*1e9, Signature{KeyName: "k."})
			if err != nil || s.Change == nil {
				continue
			}
			come, gone := Diff(z, s.Zone)
			slices.SortFunc(come, func(a, b Backend) int { return strings.Compare(a.Name, b.Name) })
			if fmt.Sprint(come) != fmt.Sprint(s.Updated) || !slices.Equal(gone, s.Removed) {
				t.Fatalf("seed %d, step %d: told %v, %v; it is %v, %v", seed, step, s.Updated, s.Removed, come, gone)
			}
			for _, b := range come {
				held[b.Name] = b
			}
			for _, n := range gone {
				delete(held, n)
			}
			if z = s.Zone; len(held) != z.BackendCount() || len(held) != len(z.Backends()) || slices.ContainsFunc(z.Backends(), func(b Backend) bool { return !held[b.Name].equal(b) }) {
				t.Fatalf("seed %d, step %d: told %v, is %v", seed, step, held, z.Backends())
			}
			if s, err = other.Apply(s.Change); err != nil {
				t.Fatal(err)
			}
			other = s.Zone
			if r.IntN(10) == 0 {
				if other, err = Restore(other.Snapshot(), here); err != nil {
					t.Fatal(err)
				}
			}
			if !reflect.DeepEqual(other.Backends(), z.Backends()) {
				t.Fatalf("seed %d, step %d: %+v, not %+v", seed, step, other.Backends(), z.Backends())
			}
		}
		if _, err := z.Apply(&Change{FromSerial: z.Serial() + 1, ToSerial: z.Serial() + 2}); err == nil {
			t.Error("a change that does not follow was done")
		}
	}
}

// What comes off the wire, whatever it is, ends in a zone in order or in a refusal; the zone before stays as it was.
func FuzzUpdates(f *testing.F) {
	z := parse(f, file)
	for _, texts := range [][]string{{srv + "n3.calc.example.", "n3.calc.example. A 127.0.0.3"}, {"n1.calc.example. CNAME n1.calc.example."}} {
		m := update()
		for _, x := range texts {
			m.Insert([]dns.RR{rr(f, x)})
			m.Remove([]dns.RR{rr(f, x)})
			m.RRsetUsed([]dns.RR{rr(f, x)})
		}
		text, _ := m.Pack()
		f.Add(text)
	}
	f.Add([]byte{0, 0, 0x28, 0, 0, 1})
	before := fmt.Sprint(z.Records())
	f.Fuzz(func(t *testing.T, text []byte) {
		m := new(dns.Msg)
		if m.Unpack(text) != nil {
			return
		}
		s, err := z.Update(m, 1e9, Signature{})
		if fmt.Sprint(z.Records()) != before {
			t.Fatal("the zone before was changed")
		}
		if err != nil {
			if err.(*UpdateError).Rcode == 0 {
				t.Fatal("a refusal without RCODE")
			}
			return
		}
		if s.Change == nil {
			return
		}
		again, err := z.Apply(s.Change)
		if err != nil {
			t.Fatal(err)
		}
		list := s.Zone.Backends()
		kept, err := Restore(s.Zone.Snapshot(), here)
		if err != nil || !reflect.DeepEqual(again.Zone.Backends(), list) || !reflect.DeepEqual(kept.Backends(), list) {
			t.Fatalf("%v: %v, %v, %v", err, list, again.Zone.Backends(), kept)
		}
	})
}

// large is a zone of n backends.
func large(n int) string {
	var b strings.Builder
	b.WriteString(head)
	for i := range n {
		fmt.Fprintf(&b, "_calc._tcp SRV 0 100 7000 n%d\nn%d A 127.%d.%d.1\nn%d TXT fawnplank zone=a\n", i, i, 1+i/250, i%250, i)
	}
	return b.String()
}

func BenchmarkLoad10000(b *testing.B) {
	text := []byte(large(10000))
	for b.Loop() {
		if _, err := Parse("x", text, here); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkUpdateOf10000(b *testing.B) {
	z := parse(b, large(10000))
	m := update()
	m.Remove([]dns.RR{rr(b, srv+"n77.calc.example.")})
	m = wire(b, m)
	for b.Loop() {
		if _, err := z.Update(m, 1, Signature{}); err != nil {
			b.Fatal(err)
		}
	}
}
