package dnsserver

import (
	"runtime/debug"

	"github.com/miekg/dns"

	"fawnplank/internal/logging"
)

// Layout of the flag bits in a message header (RFC 1035, 4.1.1).
const (
	responseBit = 1 << 15
	opcodeShift = 11
	opcodeMask  = 0xF
)

// acceptHeader implements dns.MsgAcceptFunc. It decides from the header of a message whether the rest is parsed.
// Responses, and messages that exceed the rate limit, are dropped without an answer.
func (s *Server) acceptHeader(header dns.Header) dns.MsgAcceptAction {
	opcode := int(header.Bits>>opcodeShift) & opcodeMask
	switch {
	case header.Bits&responseBit != 0 || !s.messageRateLimiter.allow():
		return dns.MsgIgnore
	case opcode != dns.OpcodeQuery && opcode != dns.OpcodeUpdate:
		return dns.MsgRejectNotImplemented
	case header.Qdcount != 1:
		return dns.MsgReject
	}
	return dns.MsgAccept
}

// ServeDNS implements dns.Handler.
func (s *Server) ServeDNS(writer dns.ResponseWriter, request *dns.Msg) {
	defer func() {
		if reason := recover(); reason != nil {
			logging.LogPanic(component, reason, debug.Stack())
		}
	}()
	select {
	case s.inFlight <- struct{}{}:
		defer func() { <-s.inFlight }()
	default: // the message is dropped; its sender retries
		s.counters.rateLimited.Add(1)
		return
	}
	incoming := &incomingMessage{writer: writer, request: request}
	if len(request.Question) != 1 { // acceptHeader checked only the count in the header
		incoming.replyRcode(dns.RcodeFormatError)
		return
	}
	incoming.tsig = request.IsTsig()
	if incoming.tsig != nil && writer.TsigStatus() != nil {
		s.refuseSignature(incoming, writer.TsigStatus())
		return
	}
	s.route(incoming)
}

// route dispatches a message by its opcode and question type.
func (s *Server) route(incoming *incomingMessage) {
	question := incoming.request.Question[0]
	switch {
	case incoming.request.Opcode == dns.OpcodeUpdate && incoming.tsig == nil:
		s.counters.signaturesRefused.Add(1)
		s.logRefusal(incoming, dns.ErrNoSig, "unsigned update refused")
		incoming.replyRcode(dns.RcodeRefused)
	case incoming.request.Opcode == dns.OpcodeUpdate:
		s.handleUpdate(incoming)
	case question.Qtype == dns.TypeAXFR || question.Qtype == dns.TypeIXFR:
		s.handleTransfer(incoming)
	default:
		incoming.reply(s.answerQuery(incoming))
	}
}
