package dnsserver

import (
	"errors"
	"time"

	"fawnplank/internal/dnszone"
	"fawnplank/internal/logging"
)

const (
	// replicateTimeout bounds the time to replicate one update. Updaters wait only a few seconds for an answer, and
	// no other update is processed in the meantime.
	replicateTimeout = 3 * time.Second
	// replicateRetryInterval is the delay after a conflict in which this replica can apply the change that was
	// committed first.
	replicateRetryInterval = 5 * time.Millisecond
)

// HandleStoreChange brings the current zone up to date with the store, and compacts the stored changes if they are
// many: right after an update this replica does not have it yet. It must be called after a key with KeyPrefix has
// changed in the store, and may block until an update in progress is done.
func (s *Server) HandleStoreChange() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.zone == nil { // awaitStore loads the zone
		return
	}
	if err := s.catchUp(); err != nil && !errors.Is(err, errReplicaBehind) {
		logging.For(component).WithError(err).Error("zone in store not readable")
		return
	}
	if err := s.compactReplicated(); err != nil {
		logging.For(component).WithError(err).Error("changes not compacted")
	}
}

// catchUp brings the current zone up to date with this replica's local state. The caller holds the lock.
func (s *Server) catchUp() error {
	if err := s.applyStoredChanges(); err != nil {
		return err
	}
	head, index, err := s.options.ReplicatedStore.readHead()
	if err != nil || index == 0 {
		return err
	}
	if !dnszone.SerialNewer(head.Serial, s.zone.Serial()) {
		return nil // up to date, or ahead because this replica has not applied this server's own change yet
	}
	// The changes that lead to the head were compacted, or a zone file replaced the zone.
	stored, err := s.options.ReplicatedStore.load(s.options.Settings)
	if err != nil || stored == nil {
		return err
	}
	s.install(stored, asDifference)
	return nil
}

// applyStoredChanges applies the stored changes that follow the current zone. The caller holds the lock.
func (s *Server) applyStoredChanges() error {
	for {
		transition, err := s.options.ReplicatedStore.applyNextChange(s.zone)
		if err != nil || transition == nil {
			return err
		}
		s.replayGuard.RecordOutcome(transition.Change.Signature, dnszone.Outcome{}, transition.Change.AcceptedNanos)
		s.applyTransition(transition)
	}
}

// replicateUpdate commits an update to the store, so that every replica applies it or none does. The update is
// evaluated on the current zone, and again each time a concurrent update was committed first. After
// replicateTimeout, replicateUpdate returns errReplicaBehind. The caller holds the lock.
func (s *Server) replicateUpdate(evaluate func() (*dnszone.Transition, error)) (*dnszone.Transition, error) {
	deadline := time.Now().Add(replicateTimeout)
	for {
		transition, err := evaluate()
		if err != nil || transition.Change == nil {
			return transition, err
		}
		err = s.options.ReplicatedStore.append(transition.Change)
		if !errors.Is(err, errReplicaBehind) || time.Now().After(deadline) {
			return transition, err
		}
		if err := s.catchUp(); err != nil && !errors.Is(err, errReplicaBehind) {
			return nil, err
		}
		time.Sleep(replicateRetryInterval)
	}
}
