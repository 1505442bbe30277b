package dnsserver

import (
	"errors"

	"fawnplank/internal/dnszone"
	"fawnplank/internal/logging"
)

// commit evaluates an update on the zone in force and makes its change durable. The caller holds the lock.
func (s *Server) commit(evaluate func() (*dnszone.Transition, error)) (*dnszone.Transition, error) {
	if s.storage() == storageReplicated {
		return s.replicate(evaluate)
	}
	step, err := evaluate()
	if err == nil && step.Change != nil {
		err = s.journal.append(step.Change)
	}
	return step, err
}

// advance puts in force the zone that results from one stored change. The caller holds the lock.
func (s *Server) advance(step *dnszone.Transition) {
	s.zone = step.Zone
	s.changes = appendChange(s.changes, step.Change)
	s.published.Store(s.zone)
	s.publish(step.Updated, step.Removed)
	if len(step.Removed) > 0 && s.zone.BackendCount() == 0 {
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
		if s.journal.changes >= maxJournalChanges {
			return s.journal.rewrite(s.zone, s.fileSum)
		}
	case storageNone, storageLockedJournal: // nothing is stored here
	}
	return nil
}

// compactReplicated compacts the changes in the store. The caller holds the lock.
func (s *Server) compactReplicated() error {
	if !s.options.ReplicatedZone.isFull() {
		return nil
	}
	err := s.options.ReplicatedZone.replace(s.zone, s.zone, s.fileSum)
	if errors.Is(err, errBehind) {
		return nil // another replica compacted them, or the next change does
	}
	return err
}
