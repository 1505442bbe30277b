package dnszone

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"
)

// TestParse_ReturnsBackends parses a file with SRV priorities and weights, attributes and a CNAME, and restores a
// snapshot of the zone.
func TestParse_ReturnsBackends(t *testing.T) {
	zone := mustParse(t, testZoneFile)
	list := zone.Backends()
	if servedNames(zone) != "n1 n2" || zone.Serial() != 7 {
		t.Fatalf("%s, serial %d", servedNames(zone), zone.Serial())
	}
	n1, n2 := list[0], list[1]
	if n1.Name != "n1.calc.example:7000" || n1.Zone != "a" || n1.Group != 3 || n1.Weight != 1 {
		t.Errorf("%+v", n1)
	}
	if provenance := n1.Provenance; provenance.StartNanos != 0 || provenance.File != "calc.zone" || provenance.Line != 6 {
		t.Errorf("%+v", n1)
	}
	if got := fmt.Sprint(n1.Addresses); got != "[127.0.0.11:7000 [::1]:7000]" {
		t.Error(got)
	}
	if n2.Weight != 2.5 || fmt.Sprint(n2.Addresses) != "[127.0.0.12:7000]" || n2.Provenance.Line != 7 {
		t.Errorf("%+v", n2)
	}
	restored, err := Restore(zone.Snapshot(), testSettings)
	if err != nil || !reflect.DeepEqual(restored.Backends(), list) {
		t.Errorf("after Restore: %v, %+v", err, restored.Backends())
	}
}

// TestParse_ErrorsStateFileAndLine parses invalid files. Each must be rejected with an error that contains the file
// name and the line.
func TestParse_ErrorsStateFileAndLine(t *testing.T) {
	const srvToNS = "_calc._tcp SRV 0 1 7000 ns\n" // line 6
	for _, test := range []struct{ text, want string }{
		{"", "calc.zone:1: no SOA"},
		{"n1 A 127.0.0.1\n", "SOA"},
		{testZoneHead, "calc.zone:3: _calc._tcp.calc.example. has no SRV record"},
		{testZoneHead + "x MX 10 mail\n", "calc.zone:6: x.calc.example.: records of type MX are not supported"},
		{testZoneHead + "x TYPE999 \\# 1 00\n", "calc.zone:6: "},
		{testZoneHead + "x NONSENSE 1\n", "calc.zone:6: "},
		{testZoneHead + "x A 300.1.1.1\n", "calc.zone:6: "},
		{testZoneHead + "x A", "calc.zone:"},
		{testZoneHead + "x CH A 127.0.0.1\n", "calc.zone:6: "},
		{testZoneHead + "elsewhere. A 127.0.0.1\n", "calc.zone:6: elsewhere. does not lie in the zone"},
		{testZoneHead + "_calc._tcp SRV 0 1 7000 n1\n", "calc.zone:6: n1.calc.example. has no address"},
		{testZoneHead + "_calc._tcp SRV 0 1 7000 n.elsewhere.\n",
			"calc.zone:6: target n.elsewhere. does not lie in the zone"},
		{testZoneHead + "_calc._tcp SRV 0 1 0 ns\n", "calc.zone:6: target ns.calc.example. with port 0"},
		{testZoneHead + "_calc._tcp SRV 0 1 7000 .\n", "calc.zone:6: "},
		{testZoneHead + "_other._tcp SRV 0 1 7000 ns\n", "calc.zone:6: SRV record at _other"},
		{testZoneHead + "_calc._tcp SRV 0 1 7000 l1\nl1 CNAME l2\nl2 CNAME l1\n", "form a loop"},
		{testZoneHead + srvToNS + "_calc._tcp SRV 1 1 7000 ns\n",
			"calc.zone:7: ns.calc.example:7000 appears twice"},
		{testZoneHead + srvToNS + "_calc._tcp SRV 0 1 7000 ns\n",
			"calc.zone:7: _calc._tcp.calc.example. SRV appears twice"},
		{testZoneHead + srvToNS + "_calc._tcp SRV 0 1 7000 n2\nn2 A 127.0.0.1\n",
			"calc.zone:6: n2.calc.example:7000 and ns.calc.example:7000 both have the address"},
		{testZoneHead + srvToNS + "ns TXT fawnplank shade=red\n",
			`calc.zone:7: ns.calc.example.: "shade=red": unknown`},
		{testZoneHead + srvToNS + "ns TXT fawnplank status=ill\n", "calc.zone:7: "},
		{testZoneHead + srvToNS + "ns TXT fawnplank group=-1\n", "calc.zone:7: "},
		{testZoneHead + srvToNS + "ns TXT fawnplank size=1 size=2\n", "calc.zone:7: "},
		{testZoneHead + srvToNS + "ns TXT fawnplank since=99999999999999\n", "calc.zone:7: "},
		{testZoneHead + srvToNS + "ns A 0.0.0.0\n", "0.0.0.0"},
		{testZoneHead + "@ IN SOA ns admin 8 3600 600 86400 30\n",
			"calc.zone:6: calc.example. SOA appears twice"},
		{testZoneHead + "$INCLUDE other.zone\n", "calc.zone:6: "},
	} {
		_, err := Parse("calc.zone", []byte(test.text), testSettings)
		if err == nil || !strings.Contains(err.Error(), test.want) {
			t.Errorf("%q: %v, want %q", strings.TrimPrefix(test.text, testZoneHead), err, test.want)
		}
		if _, ok := errors.AsType[*PositionError](err); !ok {
			t.Errorf("%q: %T, want a PositionError", strings.TrimPrefix(test.text, testZoneHead), err)
		}
	}
}

func TestSettings_CanonicalRejectsInvalidNames(t *testing.T) {
	for _, settings := range []Settings{
		{},
		{Origin: "calc.example.", Service: "_calc._tcp.other."},
		{Origin: "a..b.", Service: "a..b."},
	} {
		if _, err := settings.Canonical(); err == nil {
			t.Errorf("%v accepted, want an error", settings)
		}
	}
}

func BenchmarkParse_10000Backends(b *testing.B) {
	text := []byte(largeZoneFile(10000))
	for b.Loop() {
		if _, err := Parse("x", text, testSettings); err != nil {
			b.Fatal(err)
		}
	}
}
