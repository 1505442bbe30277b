package dnsserver

import (
	"errors"
	"time"

	"fawnplank/internal/dnszone"
	"fawnplank/internal/logging"
)

const (
	// replicateTimeout bounds the attempts of one update: an updater waits for some seconds, and meanwhile no
	// other update is looked at.
	replicateTimeout = 3 * time.Second
	// replicateRetryInterval lets this replica apply the change that was quicker.
	replicateRetryInterval = 5 * time.Millisecond
)

// StoreChanged is to be called when a key of the zone has changed in the store: it goes on to what the store
// has.
func (s *Server) StoreChanged() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.zone == nil { // awaitStore tries again
		return
	}
	if err := s.catchUp(); err != nil && !errors.Is(err, errBehind) {
		logging.For(component).WithError(err).Error("zone in the store not readable, last good list stays")
	}
}

// catchUp goes on to what this replica has. The lock is held.
func (s *Server) catchUp() error {
	replicated := s.options.Replicated
	for {
		step, _, err := replicated.applyNext(s.zone)
		if err != nil {
			return err
		}
		if step == nil {
			break
		}
		s.guard.Record(step.Change.Signature, dnszone.Outcome{}, step.Change.AtNanos)
		s.advance(step)
	}
	head, index, err := replicated.readHead()
	if err != nil || index == 0 {
		return err
	}
	if !dnszone.SerialNewer(head.Serial, s.zone.Serial()) {
		return nil // up to date, or ahead: this server's own change is on the way to the replica
	}
	stored, err := replicated.load(s.options.Settings)
	if err != nil || stored == nil {
		return err
	}
	s.install(stored, false)
	return nil
}

// replicate lands an update at every replica or at none: judged on the zone in force, and again where a
// concurrent one was quicker. The lock is held.
func (s *Server) replicate(judge func() (*dnszone.Step, error)) (*dnszone.Step, error) {
	for deadline := time.Now().Add(replicateTimeout); ; time.Sleep(replicateRetryInterval) {
		step, err := judge()
		if err != nil || step.Change == nil {
			return step, err
		}
		err = s.options.Replicated.append(step.Change)
		if !errors.Is(err, errBehind) || time.Now().After(deadline) {
			return step, err
		}
		if err := s.catchUp(); err != nil && !errors.Is(err, errBehind) {
			return nil, err
		}
	}
}
