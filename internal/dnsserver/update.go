package dnsserver

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/miekg/dns"

	"fawnplank/internal/dnszone"
	"fawnplank/internal/logging"
)

// update handles a signed update. The update is evaluated, stored durably and published, and only then answered.
func (s *Server) update(x *exchange) {
	signature := dnszone.Signature{
		KeyName:       dns.CanonicalName(x.tsig.Hdr.Name),
		SignedSeconds: int64(x.tsig.TimeSigned),
		MAC:           x.tsig.MAC,
	}
	sender := x.writer.RemoteAddr().String()
	s.mu.Lock()
	defer s.mu.Unlock()
	nowNanos := time.Now().UnixNano()
	verdict, outcome := s.guard.Check(signature, sender, nowNanos)
	switch verdict {
	case dnszone.VerdictReplay:
		s.refuseSignature(x, dns.ErrTime)
		return
	case dnszone.VerdictRateLimited:
		s.counters.rateLimited.Add(1)
		err := fmt.Errorf("more than %g updates a second", s.options.MaxUpdatesPerSecond)
		s.logRefusal(x, err, "update rate limited")
		x.replyCode(dns.RcodeRefused)
		return
	case dnszone.VerdictAccept:
		outcome = dnszone.Outcome{Sender: sender, Rcode: s.apply(x, signature, nowNanos)}
		if outcome.Rcode != dns.RcodeServerFailure { // after a server failure the same message may be sent again
			s.guard.Record(signature, outcome, nowNanos)
		}
	case dnszone.VerdictRepeat: // the sender gets the outcome that was recorded
	}
	x.replyCode(outcome.Rcode)
}

// apply applies an update and returns the RCODE of its answer. The caller holds the lock.
func (s *Server) apply(x *exchange, signature dnszone.Signature, nowNanos int64) int {
	if x.request.Truncated {
		return dns.RcodeFormatError
	}
	if s.journal == nil && s.options.Replicated == nil {
		return dns.RcodeRefused
	}
	step, err := s.store(func() (*dnszone.Step, error) {
		return s.zone.Update(x.request, nowNanos, signature)
	})
	if refused, ok := errors.AsType[*dnszone.UpdateError](err); ok {
		s.counters.updatesRefused.Add(1)
		s.logRefusal(x, err, "update refused")
		return refused.Rcode
	}
	if err != nil { // with the replicated store it may still be committed, at all replicas
		s.counters.updatesLost.Add(1)
		x.logger().WithError(err).Error("update not stored")
		return dns.RcodeServerFailure
	}
	if step.Change == nil {
		return dns.RcodeSuccess
	}
	s.counters.updatesDone.Add(1)
	s.advance(step)
	x.logger().
		WithField("serial", step.Zone.Serial()).
		WithField("come", len(step.Updated)).
		WithField("gone", len(step.Removed)).
		Info("update applied")
	return dns.RcodeSuccess
}

// store evaluates an update on the zone in force and makes its change durable. The caller holds the lock.
func (s *Server) store(evaluate func() (*dnszone.Step, error)) (*dnszone.Step, error) {
	if s.options.Replicated != nil {
		return s.replicate(evaluate)
	}
	step, err := evaluate()
	if err == nil && step.Change != nil {
		err = s.journal.append(step.Change)
	}
	return step, err
}

// advance puts in force the zone that results from one stored change. The caller holds the lock.
func (s *Server) advance(step *dnszone.Step) {
	s.zone = step.Zone
	s.changes = append(s.changes, step.Change)
	s.published.Store(s.zone)
	s.publish(step.Updated, step.Removed)
	if len(step.Removed) > 0 && s.zone.BackendCount() == 0 {
		// Requests are rejected until an update or a zone file adds a backend.
		logging.For(component).Error("last backend removed")
	}
	if err := s.compact(); err != nil {
		logging.For(component).WithError(err).Error("changes not compacted")
	}
	if len(s.changes) >= maxTransferChanges {
		s.changes = slices.Clone(s.changes[maxTransferChanges/2:])
	}
	s.signalSecondaries()
}

// compact stores the zone as one snapshot if enough changes follow the last one. The caller holds the lock.
func (s *Server) compact() error {
	switch {
	case s.journal != nil && s.journal.changes >= maxJournalChanges:
		return s.journal.rewrite(s.zone, s.fileSum)
	case s.options.Replicated != nil && s.options.Replicated.isFull():
		err := s.options.Replicated.replace(s.zone, s.zone, s.fileSum)
		if errors.Is(err, errBehind) {
			return nil // another replica was faster, or the next change finds it full again
		}
		return err
	}
	return nil
}

// SendUpdate signs an update, sends it over TCP, and returns an error unless the update was applied.
func SendUpdate(message *dns.Msg, address string, key Key, timeout time.Duration) error {
	message.SetTsig(key.Name, key.Algorithm, dnszone.FudgeSeconds, time.Now().Unix())
	client := dns.Client{Net: "tcp", Timeout: timeout, TsigProvider: newKeyring([]Key{key})}
	answer, _, err := client.Exchange(message, address)
	if answer == nil || answer.Rcode == dns.RcodeSuccess {
		return err
	}
	// An error from the library only says that it could not verify a refusal.
	err = errors.New(dns.RcodeToString[answer.Rcode])
	if tsig := answer.IsTsig(); tsig != nil && tsig.Error != 0 {
		err = fmt.Errorf("%w (%s)", err, dns.RcodeToString[int(tsig.Error)])
	}
	return err
}
