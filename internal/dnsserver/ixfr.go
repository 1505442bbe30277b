package dnsserver

import (
	"slices"

	"github.com/miekg/dns"

	"fawnplank/internal/dnszone"
)

// maxTransferChanges is the number of changes at which the older half of those kept for IXFR is dropped. A secondary
// whose serial is older than the remaining changes receives the complete zone.
const maxTransferChanges = 4096

// appendChange adds a change to the changes kept for IXFR. It does not modify the elements of changes, because a
// transfer may be reading them.
func appendChange(changes []*dnszone.Change, change *dnszone.Change) []*dnszone.Change {
	changes = append(changes, change)
	if len(changes) < maxTransferChanges {
		return changes
	}
	return slices.Clone(changes[maxTransferChanges/2:])
}

// ixfrSerial returns the secondary's serial from the authority section of an IXFR request. It reports false if the
// request is for AXFR or has no serial.
func ixfrSerial(request *dns.Msg) (uint32, bool) {
	if request.Question[0].Qtype != dns.TypeIXFR || len(request.Ns) != 1 {
		return 0, false
	}
	soa, ok := request.Ns[0].(*dns.SOA)
	if !ok {
		return 0, false
	}
	return soa.Serial, true
}

// changedRecordsSince returns the records deleted and added after a serial, in the order of IXFR (RFC 1995, 4). It
// returns nil if changes does not reach back to the serial.
func changedRecordsSince(changes []*dnszone.Change, serial uint32) (rrs []dns.RR) {
	startsAtSerial := func(change *dnszone.Change) bool { return change.FromSerial == serial }
	firstIndex := slices.IndexFunc(changes, startsAtSerial)
	if firstIndex < 0 {
		return nil
	}
	for _, change := range changes[firstIndex:] {
		for _, texts := range [][]string{change.Deleted, change.Added} {
			sequence, err := ixfrSequence(texts)
			if err != nil {
				return nil
			}
			rrs = append(rrs, sequence...)
		}
	}
	return rrs
}

// ixfrSequence parses records and moves the SOA to the front, because each difference sequence of IXFR begins with an
// SOA.
func ixfrSequence(texts []string) ([]dns.RR, error) {
	var soa, rest []dns.RR
	for _, text := range texts {
		rr, err := dns.NewRR(text)
		if err != nil {
			return nil, err
		}
		if rr.Header().Rrtype == dns.TypeSOA {
			soa = append(soa, rr)
		} else {
			rest = append(rest, rr)
		}
	}
	return append(soa, rest...), nil
}
