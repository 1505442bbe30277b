package dnsserver

import (
	"errors"

	"fawnplank/internal/dnszone"
	"fawnplank/internal/logging"
)

// commitUpdate evaluates an update on the current zone and stores its change durably. The caller holds the lock.
func (s *Server) commitUpdate(evaluate func() (*dnszone.Transition, error)) (*dnszone.Transition, error) {
	if s.storage() == storageReplicated {
		return s.replicateUpdate(evaluate)
	}
	transition, err := evaluate()
	if err == nil && transition.Change != nil {
		err = s.journal.append(transition.Change)
	}
	return transition, err
}

// applyTransition makes the zone that results from a stored change the current zone, and publishes the difference.
// The caller holds the lock.
func (s *Server) applyTransition(transition *dnszone.Transition) {
	s.zone = transition.Zone
	s.changes = appendChange(s.changes, transition.Change)
	s.publishedZone.Store(s.zone)
	s.publish(transition.Updated, transition.Removed)
	if len(transition.Removed) > 0 && s.zone.BackendCount() == 0 {
		// Requests are rejected until an update or a zone file adds a backend.
		logging.For(component).Error("last backend removed")
	}
	if err := s.compact(); err != nil {
		logging.For(component).WithError(err).Error("changes not compacted")
	}
	s.signalSecondaries()
}

// compact stores the zone as one snapshot if enough changes follow the last snapshot. The caller holds the lock.
func (s *Server) compact() error {
	switch s.storage() {
	case storageReplicated:
		return s.compactReplicated()
	case storageJournal:
		if s.journal.changes >= maxJournalChanges {
			return s.journal.rewrite(s.zone, s.fileSum)
		}
	case storageNone, storageLockedJournal: // this process stores nothing
	}
	return nil
}

// compactReplicated compacts the changes in the store. The caller holds the lock.
func (s *Server) compactReplicated() error {
	if !s.options.ReplicatedStore.needsCompaction() {
		return nil
	}
	err := s.options.ReplicatedStore.replace(s.zone, s.zone, s.fileSum)
	if errors.Is(err, errReplicaBehind) {
		return nil // another replica has compacted the changes, or HandleStoreChange does once this one has them all
	}
	return err
}
