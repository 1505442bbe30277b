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
	// replicateRetryInterval gives this replica time to apply the change that was committed first.
	replicateRetryInterval = 5 * time.Millisecond
)

// HandleStoreChange adopts the zone in the store. It must be called when a key with KeyPrefix has changed there.
// It may wait for an update in progress.
func (s *Server) HandleStoreChange() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.zone == nil { // awaitStore tries again
		return
	}
	if err := s.catchUp(); err != nil && !errors.Is(err, errBehind) {
		logging.For(component).WithError(err).Error("zone in store not readable")
	}
}

// catchUp adopts the zone as this replica has it. The caller holds the lock.
func (s *Server) catchUp() error {
	if err := s.applyStoredChanges(); err != nil {
		return err
	}
	head, index, err := s.options.ReplicatedZone.readHead()
	if err != nil || index == 0 {
		return err
	}
	if !dnszone.SerialNewer(head.Serial, s.zone.Serial()) {
		return nil // up to date, or ahead because this server's own change has not reached the replica
	}
	// The changes that lead to the head were compacted, or a zone file replaced the zone.
	stored, err := s.options.ReplicatedZone.load(s.options.Settings)
	if err != nil || stored == nil {
		return err
	}
	s.install(stored, asDifference)
	return nil
}

// applyStoredChanges applies the changes in the store that follow the zone in force. The caller holds the lock.
func (s *Server) applyStoredChanges() error {
	for {
		step, err := s.options.ReplicatedZone.applyNext(s.zone)
		if err != nil || step == nil {
			return err
		}
		s.guard.RecordOutcome(step.Change.Signature, dnszone.Outcome{}, step.Change.AcceptedNanos)
		s.advance(step)
	}
}

// replicate applies an update at every replica or at none. The update is evaluated on the zone in force, and
// again if a concurrent update was committed first, until replicateTimeout. It then returns errBehind. The
// caller holds the lock.
func (s *Server) replicate(evaluate func() (*dnszone.Transition, error)) (*dnszone.Transition, error) {
	deadline := time.Now().Add(replicateTimeout)
	for {
		step, err := evaluate()
		if err != nil || step.Change == nil {
			return step, err
		}
		err = s.options.ReplicatedZone.append(step.Change)
		if !errors.Is(err, errBehind) || time.Now().After(deadline) {
			return step, err
		}
		if err := s.catchUp(); err != nil && !errors.Is(err, errBehind) {
			return nil, err
		}
		time.Sleep(replicateRetryInterval)
	}
}
