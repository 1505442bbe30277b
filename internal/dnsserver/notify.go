package dnsserver

import (
	"time"

	"github.com/miekg/dns"

	"fawnplank/internal/logging"
)

const (
	// notifyAttempts is how often a secondary is notified of one change that it does not acknowledge.
	notifyAttempts = 3
	// notifyTimeout is how long an acknowledgment is waited for.
	notifyTimeout = 2 * time.Second
	// notifyRetryInterval is between two attempts.
	notifyRetryInterval = time.Second
)

// signalSecondaries has all secondaries notified that the serial has changed. The lock is held.
func (s *Server) signalSecondaries() {
	for _, moved := range s.serialMoved {
		select {
		case moved <- struct{}{}:
		default: // a notification is due already
		}
	}
}

// notify notifies one secondary (RFC 1996) until the server closes. Changes that come during an exchange are
// notified as one.
func (s *Server) notify(secondary string, moved <-chan struct{}) {
	client := dns.Client{Timeout: notifyTimeout}
	for {
		select {
		case <-s.stop:
			return
		case <-moved:
		}
		var err error
		for range notifyAttempts {
			message := new(dns.Msg).SetNotify(s.options.Settings.Origin)
			message.Answer = s.published.Load().RRset(s.options.Settings.Origin, dns.TypeSOA)
			if _, _, err = client.Exchange(message, secondary); err == nil {
				break
			}
			select {
			case <-s.stop:
				return
			case <-time.After(notifyRetryInterval):
			}
		}
		if err != nil {
			log := logging.For(component).WithField("secondary", secondary)
			log.WithError(err).Warn("secondary not notified")
		}
	}
}
