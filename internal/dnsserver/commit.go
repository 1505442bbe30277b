package dnsserver

import (
	"errors"

	"fawnplank/internal/dnszone"
	"fawnplank/internal/logging"
)

// commitUpdate evaluates an update on the zone in force and makes its change durable. The caller holds the lock.
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

// applyTransition puts in force the zone that results from one stored change. The caller holds the lock.
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

// compact stores the zone as one snapshot if enough changes follow the last one. The caller holds the lock.
func (s *Server) compact() error {
	switch s.storage() {
	case storageReplicated:
		return s.compactReplicated()
	case storageJournal:
		if s.journal.changeCount >= maxJournalChanges {
			return s.journal.rewrite(s.zone, s.fileSum)
		}
	case storageNone, storageLockedJournal: // nothing is stored here
	}
	return nil
}

// compactReplicated compacts the changes in the store. The caller holds the lock.
func (s *Server) compactReplicated() error {
	if !s.options.ReplicatedZone.needsCompaction() {
		return nil
	}
	err := s.options.ReplicatedZone.replace(s.zone, s.zone, s.fileSum)
	if errors.Is(err, errReplicaBehind) {
		return nil // another replica compacted them, or the next change does
	}
	return err
}
