package dnsserver

import (
	"errors"
	"fmt"
	"time"

	"github.com/miekg/dns"

	"fawnplank/internal/dnszone"
)

// badTimeDataBytes is the length of the TSIG's Other Data in an answer with BADTIME: the server's clock as a 48-bit
// number (RFC 8945, 5.2.3).
const badTimeDataBytes = 6

// logRefusal logs a refusal unless another refusal was logged in the same second.
func (s *Server) logRefusal(incoming *incomingMessage, err error, message string) {
	skipped, ok := s.refusalLogLimiter.allow(time.Now().Unix())
	if !ok {
		return
	}
	entry := incoming.logger().WithError(err)
	if skipped > 0 {
		entry = entry.WithField("skipped", skipped)
	}
	entry.Warn(message)
}

// refuseSignature answers a message whose signature is invalid (RFC 8945, 5.2). The answer has the RCODE NOTAUTH, and
// a TSIG with the error.
func (s *Server) refuseSignature(incoming *incomingMessage, err error) {
	s.counters.signaturesRefused.Add(1)
	s.logRefusal(incoming, err, "invalid signature refused")
	answer := new(dns.Msg).SetRcode(incoming.request, dns.RcodeNotAuth)
	answer.SetTsig(incoming.tsig.Hdr.Name, incoming.tsig.Algorithm, dnszone.FudgeSeconds, int64(incoming.tsig.TimeSigned))
	setTSIGError(answer.IsTsig(), err)
	incoming.writeMessage(answer)
}

// setTSIGError sets the error field of an answer's TSIG and, for BADTIME, its Other Data.
func setTSIGError(tsig *dns.TSIG, err error) {
	switch {
	case errors.Is(err, dns.ErrTime):
		tsig.Error = dns.RcodeBadTime
		tsig.OtherLen = badTimeDataBytes
		tsig.OtherData = fmt.Sprintf("%0*x", 2*badTimeDataBytes, time.Now().Unix())
	case errors.Is(err, dns.ErrSig):
		tsig.Error = dns.RcodeBadSig
	default:
		tsig.Error = dns.RcodeBadKey
	}
}
