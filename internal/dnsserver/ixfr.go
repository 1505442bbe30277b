package dnsserver

import (
	"slices"

	"github.com/miekg/dns"

	"fawnplank/internal/dnszone"
)

// maxTransferChanges bounds the changes that IXFR can send. When it is reached, the older half is dropped, and
// secondaries that lag by more get the complete zone.
const maxTransferChanges = 4096

// appendChange adds a change to those that IXFR can send. It does not modify the changes that a transfer may be
// reading.
func appendChange(changes []*dnszone.Change, change *dnszone.Change) []*dnszone.Change {
	changes = append(changes, change)
	if len(changes) < maxTransferChanges {
		return changes
	}
	return slices.Clone(changes[maxTransferChanges/2:])
}

// ixfrSerial returns the serial that the sender of an IXFR request has. It reports false if the request is
// for AXFR, or names no serial.
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

// changedRecordsSince returns the records deleted and added after a serial, in the order of IXFR (RFC 1995,
// 4), or nil if the changes are no longer known.
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

// ixfrSequence parses records and puts the SOA first, because it begins each sequence of IXFR.
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
