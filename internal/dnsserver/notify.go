package dnsserver

import (
	"errors"
	"time"

	"github.com/miekg/dns"

	"fawnplank/internal/logging"
)

const (
	// notifyAttempts is the maximum number of NOTIFY messages that a secondary is sent before it acknowledges one.
	notifyAttempts = 3
	// notifyTimeout bounds the wait for an acknowledgment.
	notifyTimeout = 2 * time.Second
	// notifyRetryInterval is the delay between two attempts.
	notifyRetryInterval = time.Second
)

// errClosing reports that a notification was abandoned because the server is closing.
var errClosing = errors.New("the server is closing")

// startNotifying starts a goroutine for each secondary, and notifies all secondaries. The server owns the goroutines.
// After Close each of them ends within notifyTimeout, but Close does not wait for them. The caller holds the lock.
func (s *Server) startNotifying() {
	for _, secondary := range s.options.Secondaries {
		serialChanged := make(chan struct{}, 1)
		s.serialChanged = append(s.serialChanged, serialChanged)
		go s.notifyChanges(secondary, serialChanged)
	}
	s.signalSecondaries()
}

// signalSecondaries signals the goroutine of each secondary that the serial has changed. The caller holds the lock.
func (s *Server) signalSecondaries() {
	for _, serialChanged := range s.serialChanged {
		select {
		case serialChanged <- struct{}{}:
		default: // a notification is already pending
		}
	}
}

// notifyChanges notifies one secondary (RFC 1996) of each change until the server closes. Changes that occur during a
// notification are combined into the next one.
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

// notify notifies one secondary of the current serial. It returns the last error after notifyAttempts failed attempts,
// or errClosing if the server closes.
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
