package dnsserver

import (
	"errors"
	"slices"
	"time"

	"github.com/miekg/dns"

	"fawnplank/internal/dnszone"
)

const (
	// maxRecordsPerMessage keeps each message of a transfer below the limit of 64 KB. A record has some hundred
	// bytes.
	maxRecordsPerMessage = 200
	// transferStallTimeout bounds the wait for a secondary that has stopped receiving.
	transferStallTimeout = 10 * time.Second
)

var errTransferNotAllowed = errors.New("not signed, not of this zone, or not over TCP")

// handleTransfer sends the complete zone (AXFR, RFC 5936), or the changes since a serial (IXFR, RFC 1995), to a
// secondary that signs its request.
func (s *Server) handleTransfer(incoming *incomingMessage) {
	s.mu.Lock()
	zone := s.zone
	changes := s.changes
	s.mu.Unlock()
	question := incoming.request.Question[0]
	if incoming.tsig == nil || dns.CanonicalName(question.Name) != zone.Origin || !incoming.isTCP() {
		s.logRefusal(incoming, errTransferNotAllowed, "transfer refused")
		incoming.replyRcode(dns.RcodeRefused)
		return
	}
	rrs := transferRecords(incoming.request, zone, changes)
	if err := new(dns.Transfer).Out(incoming.writer, incoming.request, sendEnvelopes(rrs)); err != nil {
		incoming.logger().WithError(err).Warn("transfer failed")
	}
	_ = incoming.writer.Close() // the transfer is complete or has failed
}

// transferRecords returns the records that answer AXFR or IXFR. For IXFR these are the SOA alone if the secondary is up
// to date, or the changes if all of them are still kept. In any other case they are the complete zone.
func transferRecords(request *dns.Msg, zone *dnszone.Zone, changes []*dnszone.Change) []dns.RR {
	soa := zone.RRset(zone.Origin, dns.TypeSOA)[0]
	if serial, ok := ixfrSerial(request); ok {
		if !dnszone.SerialNewer(zone.Serial(), serial) {
			return []dns.RR{soa}
		}
		if changed := changedRecordsSince(changes, serial); changed != nil {
			return slices.Concat([]dns.RR{soa}, changed, []dns.RR{soa})
		}
	}
	return append(zone.Records(), soa)
}

// sendEnvelopes starts a goroutine that sends the records in envelopes on the returned channel. The goroutine ends, and
// closes the channel, when all envelopes have been received, or when none has been received for transferStallTimeout,
// because the library stops receiving once the connection to the secondary fails.
func sendEnvelopes(rrs []dns.RR) chan *dns.Envelope {
	envelopes := make(chan *dns.Envelope)
	go func() {
		defer close(envelopes)
		for len(rrs) > 0 {
			size := min(len(rrs), maxRecordsPerMessage)
			select {
			case envelopes <- &dns.Envelope{RR: rrs[:size]}:
			case <-time.After(transferStallTimeout):
				return
			}
			rrs = rrs[size:]
		}
	}()
	return envelopes
}
