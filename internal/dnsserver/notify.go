package dnsserver

import (
	"time"

	"github.com/miekg/dns"

	"fawnplank/internal/logging"
)

const (
	// notifyAttempts is how many times a secondary is notified of a change that it does not acknowledge.
	notifyAttempts = 3
	// notifyTimeout is how long to wait for an acknowledgment.
	notifyTimeout = 2 * time.Second
	// notifyRetryInterval is the time between two attempts.
	notifyRetryInterval = time.Second
)

// signalSecondaries triggers a notification of all secondaries that the serial has changed. The caller holds
// the lock.
func (s *Server) signalSecondaries() {
	for _, moved := range s.serialMoved {
		select {
		case moved <- struct{}{}:
		default: // a notification is already due
		}
	}
}

// notify notifies one secondary (RFC 1996) until the server closes. Changes that arrive during an exchange
// are notified together.
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
