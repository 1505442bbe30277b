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
	if err := s.catchUp(); err != nil && !errors.Is(err, errReplicaBehind) {
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
		transition, err := s.options.ReplicatedZone.applyNextChange(s.zone)
		if err != nil || transition == nil {
			return err
		}
		s.replayGuard.RecordOutcome(transition.Change.Signature, dnszone.Outcome{}, transition.Change.AcceptedNanos)
		s.applyTransition(transition)
	}
}

// replicateUpdate applies an update at every replica or at none. The update is evaluated on the zone in force, and
// again if a concurrent update was committed first, until replicateTimeout. It then returns errReplicaBehind. The
// caller holds the lock.
func (s *Server) replicateUpdate(evaluate func() (*dnszone.Transition, error)) (*dnszone.Transition, error) {
	deadline := time.Now().Add(replicateTimeout)
	for {
		transition, err := evaluate()
		if err != nil || transition.Change == nil {
			return transition, err
		}
		err = s.options.ReplicatedZone.append(transition.Change)
		if !errors.Is(err, errReplicaBehind) || time.Now().After(deadline) {
			return transition, err
		}
		if err := s.catchUp(); err != nil && !errors.Is(err, errReplicaBehind) {
			return nil, err
		}
		time.Sleep(replicateRetryInterval)
	}
}
