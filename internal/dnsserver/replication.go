package dnsserver

import (
	"errors"
	"time"

	"fawnplank/internal/dnszone"
	"fawnplank/internal/logging"
)

const (
	// replicateTimeout bounds the attempts of one update. The updater waits for some seconds, and no other
	// update is processed in the meantime.
	replicateTimeout = 3 * time.Second
	// replicateRetryInterval gives this replica time to apply the change that was faster.
	replicateRetryInterval = 5 * time.Millisecond
)

// StoreChanged adopts what the store holds. It must be called when a key of the zone has changed in the
// store.
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

// catchUp adopts what this replica has. The caller holds the lock.
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
		return nil // up to date, or ahead because this server's own change is on the way to the replica
	}
	stored, err := replicated.load(s.options.Settings)
	if err != nil || stored == nil {
		return err
	}
	s.install(stored, asDifference)
	return nil
}

// replicate applies an update at every replica or at none. The update is evaluated on the zone in force, and
// again if a concurrent update was committed first. The caller holds the lock.
func (s *Server) replicate(evaluate func() (*dnszone.Step, error)) (*dnszone.Step, error) {
	for deadline := time.Now().Add(replicateTimeout); ; time.Sleep(replicateRetryInterval) {
		step, err := evaluate()
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
