package dnsserver

import (
	"errors"
	"fmt"
	"time"

	"github.com/miekg/dns"

	"fawnplank/internal/dnszone"
)

// handleUpdate handles a signed update. The update is evaluated, stored durably, published, and then answered.
// Updates are handled one at a time.
func (s *Server) handleUpdate(incoming *incomingMessage) {
	signature := dnszone.Signature{
		KeyName:           dns.CanonicalName(incoming.tsig.Hdr.Name),
		TimeSignedSeconds: int64(incoming.tsig.TimeSigned),
		MAC:               incoming.tsig.MAC,
	}
	sender := incoming.writer.RemoteAddr().String()
	s.mu.Lock()
	defer s.mu.Unlock()
	nowNanos := time.Now().UnixNano()
	verdict, outcome := s.replayGuard.Check(signature, sender, nowNanos)
	switch verdict {
	case dnszone.VerdictReplay:
		s.refuseSignature(incoming, dns.ErrTime)
		return
	case dnszone.VerdictRateLimited:
		s.counters.rateLimited.Add(1)
		err := fmt.Errorf("more than %g updates a second", s.options.MaxUpdatesPerSecond)
		s.logRefusal(incoming, err, "update rate limited")
		incoming.replyRcode(dns.RcodeRefused)
		return
	case dnszone.VerdictAccept:
		outcome = dnszone.Outcome{Sender: sender, Rcode: s.applyUpdate(incoming, signature, nowNanos)}
		if outcome.Rcode != dns.RcodeServerFailure { // the sender may retransmit the message after a server failure
			s.replayGuard.RecordOutcome(signature, outcome, nowNanos)
		}
	case dnszone.VerdictRetransmission: // the recorded outcome is sent again
	}
	incoming.replyRcode(outcome.Rcode)
}

// applyUpdate applies an update and returns the RCODE of its answer. The caller holds the lock.
func (s *Server) applyUpdate(incoming *incomingMessage, signature dnszone.Signature, nowNanos int64) int {
	if incoming.request.Truncated {
		return dns.RcodeFormatError
	}
	if !s.storage().acceptsUpdates() {
		return dns.RcodeRefused
	}
	transition, err := s.commitUpdate(func() (*dnszone.Transition, error) {
		return s.zone.Update(incoming.request, nowNanos, signature)
	})
	if updateErr, ok := errors.AsType[*dnszone.UpdateError](err); ok {
		s.counters.updatesRefused.Add(1)
		s.logRefusal(incoming, err, "update refused")
		return updateErr.Rcode
	}
	if err != nil { // in the replicated store the update may still be committed, at all replicas
		s.counters.updatesNotStored.Add(1)
		incoming.logger().WithError(err).Error("update not stored")
		return dns.RcodeServerFailure
	}
	if transition.Change == nil {
		return dns.RcodeSuccess
	}
	s.counters.updatesApplied.Add(1)
	s.applyTransition(transition)
	incoming.logger().
		WithField("serial", transition.Zone.Serial()).
		WithField("updated", len(transition.Updated)).
		WithField("removed", len(transition.Removed)).
		Info("update applied")
	return dns.RcodeSuccess
}
