package dnszone

import (
	"fmt"
	"strings"
	"testing"

	"github.com/miekg/dns"
)

var testSettings = Settings{Origin: "calc.example.", Service: "_calc._tcp.calc.example."}

const testZoneHead = `$ORIGIN calc.example.
$TTL 30
@ IN SOA ns admin 7 3600 600 86400 30
@ IN NS ns
ns IN A 127.0.0.1
`

const testZoneFile = testZoneHead + `_calc._tcp SRV 0 100 7000 n1
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

// srvPrefix is the text of an SRV record of the service up to its target.
const srvPrefix = "_calc._tcp.calc.example. 30 IN SRV 0 100 7000 "

func mustParse(tb testing.TB, text string) *Zone {
	tb.Helper()
	zone, err := Parse("calc.zone", []byte(text), testSettings)
	if err != nil {
		tb.Fatal(err)
	}
	return zone
}

// servedNames returns the short names of the served backends. Draining backends are in parentheses.
func servedNames(zone *Zone) string {
	var names []string
	for _, backend := range zone.Backends() {
		name := strings.TrimSuffix(strings.TrimSuffix(backend.Name, ":7000"), ".calc.example")
		if backend.Draining {
			name = "(" + name + ")"
		}
		names = append(names, name)
	}
	return strings.Join(names, " ")
}

func newUpdate() *dns.Msg { return new(dns.Msg).SetUpdate(testSettings.Origin) }

func mustRecord(tb testing.TB, text string) dns.RR {
	tb.Helper()
	rr, err := dns.NewRR(text)
	if err != nil {
		tb.Fatal(err)
	}
	return rr
}

// packAndUnpack converts a message to wire format and back, so that it is as its receiver unpacks it.
func packAndUnpack(tb testing.TB, message *dns.Msg) *dns.Msg {
	tb.Helper()
	packed, err := message.Pack()
	if err != nil {
		tb.Fatal(err)
	}
	received := new(dns.Msg)
	if err := received.Unpack(packed); err != nil {
		tb.Fatal(err)
	}
	return received
}

// largeZoneFile returns the text of a zone file with count backends.
func largeZoneFile(count int) string {
	var text strings.Builder
	text.WriteString(testZoneHead)
	for i := range count {
		fmt.Fprintf(&text, "_calc._tcp SRV 0 100 7000 n%d\nn%d A 127.%d.%d.1\nn%d TXT fawnplank zone=a\n",
			i, i, 1+i/250, i%250, i)
	}
	return text.String()
}
