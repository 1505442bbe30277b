package dnszone

import (
	"strings"
	"testing"

	"github.com/miekg/dns"
)

func TestSerialNewer_ComparesAcrossWrapAround(t *testing.T) {
	for _, test := range []struct {
		a, b uint32
		want bool
	}{
		{a: 1, b: 0, want: true},
		{a: 0, b: 1},
		{a: 0, b: 0},
		{a: 44, b: 0, want: true},
		{a: 1<<31 - 1, b: 0, want: true},
		{a: 1 << 31, b: 0},
		{a: 0, b: 1 << 31},
		{a: 0, b: 1<<32 - 1, want: true},
		{a: 5, b: 1<<32 - 5, want: true},
		{a: 1<<32 - 5, b: 5},
	} {
		if SerialNewer(test.a, test.b) != test.want {
			t.Errorf("SerialNewer(%d, %d) = %v", test.a, test.b, !test.want)
		}
	}
}

// TestZone_UpdateSkipsSerialZero updates a zone with the highest serial, 2^32-1.
func TestZone_UpdateSkipsSerialZero(t *testing.T) {
	zone := mustParse(t, strings.Replace(testZoneFile, " 7 3600", " 4294967295 3600", 1))
	message := newUpdate()
	message.RemoveName([]dns.RR{mustRecord(t, "n3.calc.example. A 127.0.0.3")})
	message.Insert([]dns.RR{mustRecord(t, "n3.calc.example. A 127.0.0.3")})
	transition, err := zone.Update(packAndUnpack(t, message), 1, Signature{})
	if err != nil || transition.Zone.Serial() != 1 || transition.Change.ToSerial != 1 {
		t.Errorf("after the highest serial: %v, %v, want serial 1", transition, err)
	}
}
