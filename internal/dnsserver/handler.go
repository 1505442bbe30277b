package dnsserver

import (
	"errors"
	"fmt"
	"runtime/debug"
	"time"

	"github.com/miekg/dns"
	"github.com/sirupsen/logrus"

	"fawnplank/internal/dnszone"
	"fawnplank/internal/logging"
)

// Layout of the flag bits in a message header (RFC 1035, 4.1.1).
const (
	responseBit = 1 << 15
	opcodeShift = 11
	opcodeMask  = 0xF
)

// badTimeDataBytes is the length of the server's clock, 48 bits, which the answer to a signature outside the
// time limits contains (RFC 8945, 5.2.3).
const badTimeDataBytes = 6

// exchange holds one message and the means to answer it.
type exchange struct {
	writer  dns.ResponseWriter
	request *dns.Msg
	tsig    *dns.TSIG // nil if the message is not signed
}

// acceptHeader decides from the header of each message whether the rest is parsed.
func (s *Server) acceptHeader(header dns.Header) dns.MsgAcceptAction {
	opcode := int(header.Bits>>opcodeShift) & opcodeMask
	switch {
	case header.Bits&responseBit != 0 || !s.messages.allow():
		return dns.MsgIgnore
	case opcode != dns.OpcodeQuery && opcode != dns.OpcodeUpdate:
		return dns.MsgRejectNotImplemented
	case header.Qdcount != 1:
		return dns.MsgReject
	}
	return dns.MsgAccept
}

// ServeDNS implements dns.Handler. It answers one message.
func (s *Server) ServeDNS(writer dns.ResponseWriter, request *dns.Msg) {
	defer func() {
		if reason := recover(); reason != nil {
			logging.Panicked(component, reason, debug.Stack())
		}
	}()
	select {
	case s.inFlight <- struct{}{}:
		defer func() { <-s.inFlight }()
	default: // the message is dropped; the client will ask again
		s.counters.rateLimited.Add(1)
		return
	}
	x := &exchange{writer: writer, request: request}
	if len(request.Question) != 1 { // until here, only the header has said that there is one
		x.replyCode(dns.RcodeFormatError)
		return
	}
	x.tsig = request.IsTsig()
	if x.tsig != nil && writer.TsigStatus() != nil {
		s.refuseSignature(x, writer.TsigStatus())
		return
	}
	s.route(x)
}

// route dispatches a message by its opcode and question type.
func (s *Server) route(x *exchange) {
	question := x.request.Question[0]
	switch {
	case x.request.Opcode == dns.OpcodeUpdate && x.tsig == nil:
		s.counters.signaturesRefused.Add(1)
		s.logRefusal(x, dns.ErrNoSig, "unsigned update refused")
		x.replyCode(dns.RcodeRefused)
	case x.request.Opcode == dns.OpcodeUpdate:
		s.update(x)
	case question.Qtype == dns.TypeAXFR || question.Qtype == dns.TypeIXFR:
		s.transfer(x)
	default:
		x.reply(s.query(x))
	}
}

// logger returns a log entry that names the sender.
func (x *exchange) logger() *logrus.Entry {
	entry := logging.For(component).WithField("from", x.writer.RemoteAddr().String())
	if x.tsig != nil {
		entry = entry.WithField("key", x.tsig.Hdr.Name)
	}
	return entry
}

// logRefusal logs a refusal, unless another one was logged in the same second.
func (s *Server) logRefusal(x *exchange, err error, phrase string) {
	skipped, ok := s.refusals.allow(time.Now().Unix())
	if !ok {
		return
	}
	entry := x.logger().WithError(err)
	if skipped > 0 {
		entry = entry.WithField("skipped", skipped)
	}
	entry.Warn(phrase)
}

// reply sends an answer, which is signed if the request was.
func (x *exchange) reply(answer *dns.Msg) {
	if x.tsig != nil {
		answer.SetTsig(x.tsig.Hdr.Name, x.tsig.Algorithm, dnszone.FudgeSeconds, time.Now().Unix())
	}
	x.write(answer)
}

// replyCode sends an answer that consists only of an RCODE.
func (x *exchange) replyCode(rcode int) { x.reply(new(dns.Msg).SetRcode(x.request, rcode)) }

func (x *exchange) write(answer *dns.Msg) {
	if err := x.writer.WriteMsg(answer); err != nil {
		logging.For(component).WithError(err).Debug("answer not sent")
	}
}

// refuseSignature answers a message whose signature is not valid (RFC 8945, 5.2). The answer is NOTAUTH, with
// the error of the TSIG.
func (s *Server) refuseSignature(x *exchange, err error) {
	s.counters.signaturesRefused.Add(1)
	s.logRefusal(x, err, "invalid signature refused")
	answer := new(dns.Msg).SetRcode(x.request, dns.RcodeNotAuth)
	answer.SetTsig(x.tsig.Hdr.Name, x.tsig.Algorithm, dnszone.FudgeSeconds, int64(x.tsig.TimeSigned))
	tsig := answer.IsTsig()
	switch {
	case errors.Is(err, dns.ErrTime):
		tsig.Error = dns.RcodeBadTime
		tsig.OtherLen = badTimeDataBytes
		tsig.OtherData = fmt.Sprintf("%012x", time.Now().Unix())
	case errors.Is(err, dns.ErrSig):
		tsig.Error = dns.RcodeBadSig
	default:
		tsig.Error = dns.RcodeBadKey
	}
	x.write(answer)
}
