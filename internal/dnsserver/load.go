package dnsserver

import (
	"errors"
	"fmt"

	"fawnplank/internal/logging"
)

// errStoreUnavailable reports that the store does not accept writes yet.
var errStoreUnavailable = errors.New("the store has not accepted the zone")

// load determines the current zone and publishes it. The caller holds the lock.
//
// The zone file replaces the stored zone, and supersedes the updates to it, if the file's serial is newer. Otherwise
// the stored zone remains current.
func (s *Server) load(nowNanos int64) error {
	file, fileErr := s.options.readZoneFile()
	stored, err := s.readStoredZone()
	if err != nil {
		return err
	}
	if stored == nil { // this is the first start, or the zone is not stored
		if fileErr != nil {
			return fileErr
		}
		return s.installInitialZone(file)
	}
	if s.journal != nil {
		if err := s.journal.resume(stored); err != nil {
			return err
		}
	}
	s.install(stored, asDifference)
	if fileErr != nil {
		logZoneFileRejected(fileErr)
		return nil
	}
	s.adoptZoneFile(file, nowNanos)
	return nil
}

// readStoredZone reads the zone in the store or the journal. It returns nil if no zone is stored. The caller holds the
// lock.
func (s *Server) readStoredZone() (*storedZone, error) {
	stored, err := s.options.readStoredZone()
	if err != nil {
		return nil, err
	}
	if stored != nil && stored.tornBytes > 0 && s.storage() == storageJournal {
		// The update in this line was never answered with NOERROR.
		logging.For(component).WithField("bytes", stored.tornBytes).Warn("torn journal line truncated")
	}
	return stored, nil
}

// installInitialZone stores a zone file as the first zone and installs it. The caller holds the lock.
func (s *Server) installInitialZone(file zoneFile) error {
	if err := s.storeInitialZone(file); err != nil {
		return err
	}
	s.install(&storedZone{zone: file.zone, fileSum: file.checksum}, asFullList)
	return nil
}

// storeInitialZone stores the first zone. The caller holds the lock.
func (s *Server) storeInitialZone(file zoneFile) error {
	switch s.storage() {
	case storageReplicated:
		err := s.options.ReplicatedStore.initialize(file.zone, file.checksum)
		if err != nil && !errors.Is(err, errReplicaBehind) {
			return fmt.Errorf("%w: %w", errStoreUnavailable, err)
		}
		return err
	case storageJournal:
		return s.journal.rewrite(file.zone, file.checksum)
	case storageNone, storageLockedJournal: // this process stores nothing
	}
	return nil
}
