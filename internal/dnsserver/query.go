package dnsserver

import (
	"github.com/miekg/dns"

	"fawnplank/internal/dnszone"
)

const (
	// defaultUDPPayloadBytes is the size limit of a UDP answer if the client states none (RFC 1035, 4.2.1).
	defaultUDPPayloadBytes = 512
	// maxUDPPayloadBytes is the size that the server offers. An answer of this size passes any link without
	// fragmentation.
	maxUDPPayloadBytes = 1232
	// maxAliases is how many CNAMEs an answer follows. It also ends a loop of CNAMEs.
	maxAliases = 8
)

// answerQuery answers a question about the zone authoritatively. It refuses other questions, because the server
// does no recursion.
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

// resolve returns the records of a name and type, preceded by the CNAMEs that lead to them, and the last name
// (RFC 1034, 4.3.2).
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

// maxAnswerBytes returns the size limit of an answer: that of a TCP message, what the client offers with EDNS
// (RFC 6891), or 512 bytes.
func (m *incomingMessage) maxAnswerBytes() int {
	if m.isTCP() {
		return dns.MaxMsgSize
	}
	if opt := m.request.IsEdns0(); opt != nil {
		return min(max(int(opt.UDPSize()), defaultUDPPayloadBytes), maxUDPPayloadBytes)
	}
	return defaultUDPPayloadBytes
}
