package dnsserver

import (
	"github.com/miekg/dns"

	"fawnplank/internal/dnszone"
)

const (
	// defaultUDPPayloadBytes is the size limit of a UDP answer to a client without EDNS (RFC 1035, 4.2.1).
	defaultUDPPayloadBytes = 512
	// maxUDPPayloadBytes is the UDP payload size that the server advertises. No link has to fragment an answer of
	// this size.
	maxUDPPayloadBytes = 1232
	// maxAliases is the number of CNAMEs that are followed for an answer. It also terminates CNAME loops.
	maxAliases = 8
)

// answerQuery returns the authoritative answer to a query for a name in the zone. It refuses other queries, because
// the server does not offer recursion.
func (s *Server) answerQuery(incoming *incomingMessage) *dns.Msg {
	zone := s.publishedZone.Load()
	answer := new(dns.Msg).SetReply(incoming.request)
	question := incoming.request.Question[0]
	name := dns.CanonicalName(question.Name)
	if question.Qclass != dns.ClassINET || !dns.IsSubDomain(zone.Origin, name) {
		return answer.SetRcode(incoming.request, dns.RcodeRefused)
	}
	answer.Authoritative = true
	answer.Compress = true
	answer.Answer, name = resolve(zone, name, question.Qtype)
	if len(answer.Answer) == 0 {
		if len(zone.RRset(name, dns.TypeANY)) == 0 && !zone.NameExists(name) {
			answer.Rcode = dns.RcodeNameError
		}
		answer.Ns = zone.RRset(zone.Origin, dns.TypeSOA)
	}
	if incoming.request.IsEdns0() != nil {
		answer.SetEdns0(maxUDPPayloadBytes, false)
	}
	answer.Truncate(incoming.maxAnswerBytes())
	return answer
}

// resolve returns the records of a name and type, preceded by the CNAMEs that lead to them, and the last name of this
// chain (RFC 1034, 4.3.2).
func resolve(zone *dnszone.Zone, name string, rrtype uint16) (rrs []dns.RR, last string) {
	for range maxAliases {
		rrs = append(rrs, zone.RRset(name, rrtype)...)
		alias := zone.RRset(name, dns.TypeCNAME)
		if len(alias) == 0 || rrtype == dns.TypeCNAME || rrtype == dns.TypeANY {
			break
		}
		rrs = append(rrs, alias...)
		name = alias[0].(*dns.CNAME).Target
	}
	return rrs, name
}

// maxAnswerBytes returns the size limit of an answer: the maximum size of a message over TCP, the payload size that
// the client advertises with EDNS (RFC 6891) within the server's limits, or the default for UDP.
func (m *incomingMessage) maxAnswerBytes() int {
	if m.isTCP() {
		return dns.MaxMsgSize
	}
	if opt := m.request.IsEdns0(); opt != nil {
		return min(max(int(opt.UDPSize()), defaultUDPPayloadBytes), maxUDPPayloadBytes)
	}
	return defaultUDPPayloadBytes
}
