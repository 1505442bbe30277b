package dnsserver

import (
	"errors"
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

// errClosing reports that a notification was given up because the server closes.
var errClosing = errors.New("the server is closing")

// startNotifying starts a goroutine for each secondary, and notifies all of them. The server owns the
// goroutines. Close ends them, each within notifyTimeout, but does not wait for them. The caller holds the
// lock.
func (s *Server) startNotifying() {
	for _, secondary := range s.options.Secondaries {
		serialChanged := make(chan struct{}, 1)
		s.serialChanged = append(s.serialChanged, serialChanged)
		go s.notifyChanges(secondary, serialChanged)
	}
	s.signalSecondaries()
}

// signalSecondaries triggers a notification of all secondaries that the serial has changed. The caller holds
// the lock.
func (s *Server) signalSecondaries() {
	for _, serialChanged := range s.serialChanged {
		select {
		case serialChanged <- struct{}{}:
		default: // a notification is already due
		}
	}
}

// notifyChanges notifies one secondary (RFC 1996) of each change until the server closes. Changes that arrive
// during a notification are notified together.
func (s *Server) notifyChanges(secondary string, serialChanged <-chan struct{}) {
	for {
		select {
		case <-s.closing:
			return
		case <-serialChanged:
		}
		err := s.notify(secondary)
		if errors.Is(err, errClosing) {
			return
		}
		if err != nil {
			log := logging.For(component).WithField("secondary", secondary)
			log.WithError(err).Warn("secondary not notified")
		}
	}
}

// notify notifies one secondary of the serial in force. It gives up after notifyAttempts, with the last
// error, or when the server closes, with errClosing.
func (s *Server) notify(secondary string) error {
	client := dns.Client{Timeout: notifyTimeout}
	var lastErr error
	for range notifyAttempts {
		message := new(dns.Msg).SetNotify(s.options.Settings.Origin)
		message.Answer = s.publishedZone.Load().RRset(s.options.Settings.Origin, dns.TypeSOA)
		_, _, err := client.Exchange(message, secondary)
		if err == nil {
			return nil
		}
		if !s.pause(notifyRetryInterval) {
			return errClosing
		}
		lastErr = err
	}
	return lastErr
}
