package dnsserver

import (
	"errors"
	"slices"
	"time"

	"github.com/miekg/dns"

	"fawnplank/internal/dnszone"
)

const (
	// recordsPerEnvelope keeps each message of a transfer below 64 KB. A record has some hundred bytes.
	recordsPerEnvelope = 200
	// transferStallTimeout is how long the records of a transfer are held for a secondary that has gone.
	transferStallTimeout = 10 * time.Second
	// maxTransferChanges bounds the changes kept for IXFR. When it is reached, the older half is dropped, and
	// secondaries that lag by more get the whole zone.
	maxTransferChanges = 4096
)

var errTransferNotAllowed = errors.New("not signed, not of this zone, or not over TCP")

// transfer sends the whole zone (RFC 5936), or the changes since a serial (RFC 1995), to a secondary that
// signs its request.
func (s *Server) transfer(x *exchange) {
	s.mu.Lock()
	zone := s.zone
	changes := s.changes
	s.mu.Unlock()
	question := x.request.Question[0]
	if x.tsig == nil || dns.CanonicalName(question.Name) != zone.Origin || !x.isTCP() {
		s.logRefusal(x, errTransferNotAllowed, "transfer refused")
		x.replyCode(dns.RcodeRefused)
		return
	}
	rrs := transferRecords(x.request, zone, changes)
	if err := new(dns.Transfer).Out(x.writer, x.request, envelopes(rrs)); err != nil {
		x.logger().WithError(err).Warn("transfer failed")
	}
	_ = x.writer.Close() // the secondary has received everything, or has gone
}

// transferRecords returns the records that answer AXFR or IXFR. They are only the SOA if the secondary is up
// to date, the changes if they are known, and the whole zone otherwise.
func transferRecords(request *dns.Msg, zone *dnszone.Zone, changes []*dnszone.Change) []dns.RR {
	soa := zone.RRset(zone.Origin, dns.TypeSOA)[0]
	if serial, ok := ixfrSerial(request); ok {
		if !dnszone.SerialNewer(zone.Serial(), serial) {
			return []dns.RR{soa}
		}
		if delta := deltaSince(changes, serial); delta != nil {
			return slices.Concat([]dns.RR{soa}, delta, []dns.RR{soa})
		}
	}
	return append(zone.Records(), soa)
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

// envelopes sends records in parts on the returned channel. Its goroutine ends when all parts have been
// received, or when none is received for transferStallTimeout.
func envelopes(rrs []dns.RR) chan *dns.Envelope {
	parts := make(chan *dns.Envelope)
	go func() {
		defer close(parts)
		for len(rrs) > 0 {
			n := min(len(rrs), recordsPerEnvelope)
			select {
			case parts <- &dns.Envelope{RR: rrs[:n]}:
			case <-time.After(transferStallTimeout):
				return
			}
			rrs = rrs[n:]
		}
	}()
	return parts
}

// deltaSince returns the changes after a serial in the order of IXFR, or nil if they are no longer known.
func deltaSince(changes []*dnszone.Change, serial uint32) (rrs []dns.RR) {
	found := false
	for _, change := range changes {
		found = found || change.FromSerial == serial
		if !found {
			continue
		}
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
