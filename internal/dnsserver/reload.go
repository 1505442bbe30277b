package dnsserver

import (
	"time"

	"fawnplank/internal/dnszone"
	"fawnplank/internal/logging"
)

// Reload reads the zone file again, and adopts it if its serial is newer than the current serial. If the file is
// invalid, the error is logged and the current zone remains.
func (s *Server) Reload() {
	file, err := s.options.readZoneFile()
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		logZoneFileRejected(err)
		return
	}
	if s.zone == nil { // awaitStore will read the file again
		return
	}
	s.adoptZoneFile(file, time.Now().UnixNano())
}

func logZoneFileRejected(err error) {
	logging.For(component).WithError(err).Error("zone file rejected")
}

// adoptZoneFile replaces the current zone with a newly read file if the file's serial is newer. If the store does not
// accept the file, the attempts are repeated in the background. The caller holds the lock.
func (s *Server) adoptZoneFile(file zoneFile, nowNanos int64) {
	s.pendingFile = nil // the latest file counts
	if err := s.attemptAdoption(file, nowNanos); err != nil && s.storage() == storageReplicated {
		s.retryAdoption(file)
	}
}

// attemptAdoption makes one attempt to replace the current zone with a file whose serial is newer. It returns an error
// only if the file could not be stored. The caller holds the lock.
func (s *Server) attemptAdoption(file zoneFile, nowNanos int64) error {
	if file.checksum == s.fileSum { // the file has not changed since it was adopted
		return nil
	}
	log := logging.For(component).
		WithField("file", s.options.ZoneFile).
		WithField("serial", file.zone.Serial()).
		WithField("in_force", s.zone.Serial())
	if !dnszone.SerialNewer(file.zone.Serial(), s.zone.Serial()) {
		log.Error("zone file ignored: serial not newer")
		return nil
	}
	newZone := file.zone.WithStartTimesOf(s.zone, nowNanos)
	if err := s.storeReplacement(newZone, file.checksum); err != nil {
		if s.pendingFile == nil { // only the first of several attempts
			log.WithError(err).Error("zone file not stored")
		}
		return err
	}
	log.WithField("updates_superseded", len(s.changes)).Info("zone file adopted")
	s.install(&storedZone{zone: newZone, fileSum: file.checksum}, asDifference)
	return nil
}

// storeReplacement stores the zone of a file that replaces the current zone. The caller holds the lock.
func (s *Server) storeReplacement(newZone *dnszone.Zone, fileSum string) error {
	switch s.storage() {
	case storageReplicated:
		return s.options.ReplicatedStore.replace(s.zone, newZone, fileSum)
	case storageJournal:
		return s.journal.rewrite(newZone, fileSum)
	case storageLockedJournal:
		return errJournalLocked
	case storageNone: // a restart reads the file again
	}
	return nil
}
