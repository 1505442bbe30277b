package dnsserver

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/cespare/xxhash/v2"

	"fawnplank/internal/dnszone"
	"fawnplank/internal/logging"
)

// maxZoneFileBytes bounds the size of a zone file. It allows some hundred thousand backends.
const maxZoneFileBytes = 32 << 20

// errStoreUnavailable reports that the store does not accept anything yet.
var errStoreUnavailable = errors.New("the store has not accepted the zone")

// storedZone is the content of a journal or of the store.
type storedZone struct {
	zone      *dnszone.Zone
	fileSum   string // of the text of the zone file that was adopted last
	changes   []*dnszone.Change
	size      int64 // total of a journal's whole lines, in bytes
	tornBytes int64 // length of a journal's last line, if that line is not whole
}

// load determines the zone in force and publishes it. The caller holds the lock.
//
// Of the zone file and the updates, the one with the higher serial wins. A file whose serial is newer than
// the one in force replaces the zone and voids the updates before it. Any other file changes nothing.
func (s *Server) load(nowNanos int64) error {
	file, fileSum, fileErr := s.readZoneFile()
	stored, err := s.readStored()
	if err != nil {
		return err
	}
	if stored == nil { // the first start
		if fileErr != nil {
			return fileErr
		}
		return s.initialize(file, fileSum)
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
	s.adopt(file, fileSum, nowNanos)
	return nil
}

// readStored reads the content of the store or the journal. It returns nil if there is none. The caller holds
// the lock.
func (s *Server) readStored() (*storedZone, error) {
	if s.options.Replicated != nil {
		return s.options.Replicated.load(s.options.Settings)
	}
	if s.options.JournalFile == "" {
		return nil, nil
	}
	stored, err := readJournal(s.options.JournalFile, s.options.Settings)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	if stored != nil && stored.tornBytes > 0 && s.journal != nil {
		// The update in this line was never answered as done.
		logging.For(component).WithField("bytes", stored.tornBytes).Warn("torn journal line cut off")
	}
	return stored, nil
}

// initialize stores and installs the first zone. The caller holds the lock.
func (s *Server) initialize(file *dnszone.Zone, fileSum string) error {
	switch {
	case s.options.Replicated != nil:
		err := s.options.Replicated.initialize(file, fileSum)
		if errors.Is(err, errBehind) {
			return err
		}
		if err != nil {
			return fmt.Errorf("%w: %w", errStoreUnavailable, err)
		}
	case s.journal != nil:
		if err := s.journal.rewrite(file, fileSum); err != nil {
			return err
		}
	}
	s.install(&storedZone{zone: file, fileSum: fileSum}, asFullList)
	return nil
}

// publication is the form in which install publishes the list of a zone.
type publication int

const (
	asDifference publication = iota // from the list in force, or as the full list if none is in force
	asFullList
)

// install puts a zone in force and publishes its list. The caller holds the lock.
func (s *Server) install(stored *storedZone, form publication) {
	old := s.zone
	s.zone = stored.zone
	s.fileSum = stored.fileSum
	s.changes = stored.changes
	s.published.Store(s.zone)
	for _, change := range stored.changes {
		s.guard.Record(change.Signature, dnszone.Outcome{}, change.AtNanos)
	}
	if form == asFullList || old == nil {
		s.publishAll()
	} else {
		updated, removed := dnszone.Diff(old, s.zone)
		s.publish(updated, removed)
	}
	s.signalSecondaries()
}

func (s *Server) publish(updated []dnszone.Backend, removed []string) {
	if len(updated)+len(removed) > 0 {
		s.options.Publish(ListUpdate{Updated: updated, Removed: removed})
	}
}

func (s *Server) publishAll() { s.options.Publish(ListUpdate{Updated: s.zone.Backends(), Full: true}) }

// PublishAll publishes the full list again.
func (s *Server) PublishAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.zone != nil {
		s.publishAll()
	}
}

// Reload reads the zone file again. If the file is faulty, the fault is logged and the last good list stays.
func (s *Server) Reload() {
	file, fileSum, err := s.readZoneFile()
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		logZoneFileRejected(err)
		return
	}
	if s.zone == nil { // the store has no leader yet; awaitStore reads the file again
		return
	}
	s.adopt(file, fileSum, time.Now().UnixNano())
}

func logZoneFileRejected(err error) {
	logging.For(component).WithError(err).Error("zone file rejected, last good list stays")
}

// adopt replaces the zone in force with a newly read file, if the file's serial is newer. The caller holds
// the lock.
func (s *Server) adopt(file *dnszone.Zone, fileSum string, nowNanos int64) {
	if fileSum == s.fileSum {
		return
	}
	log := logging.For(component).
		WithField("file", s.options.ZoneFile).
		WithField("serial", file.Serial()).
		WithField("in_force", s.zone.Serial())
	if !dnszone.SerialNewer(file.Serial(), s.zone.Serial()) {
		log.Error("changed zone file ignored, its serial is not newer than that in force")
		return
	}
	next := file.Replacing(s.zone, nowNanos)
	var err error
	switch {
	case s.options.Replicated != nil:
		err = s.options.Replicated.replace(s.zone, next, fileSum)
	case s.journal != nil:
		err = s.journal.rewrite(next, fileSum)
	case s.options.JournalFile != "":
		err = errJournalLocked
	}
	if err != nil {
		log.WithError(err).Error("zone file rejected, last good list stays")
		return
	}
	log.WithField("updates_over", len(s.changes)).Info("zone file adopted")
	s.install(&storedZone{zone: next, fileSum: fileSum}, asDifference)
}

func (s *Server) readZoneFile() (*dnszone.Zone, string, error) {
	zone, text, err := ReadZoneFile(s.options.ZoneFile, s.options.Settings)
	return zone, fmt.Sprintf("%016x", xxhash.Sum64(text)), err
}

// ReadZoneFile reads a zone file and also returns its text. Errors name file and line.
func ReadZoneFile(path string, settings dnszone.Settings) (*dnszone.Zone, []byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, nil, err
	}
	if info.Size() > maxZoneFileBytes {
		return nil, nil, fmt.Errorf("%s: larger than %d bytes", path, maxZoneFileBytes)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, err
	}
	zone, err := dnszone.Parse(path, text, settings)
	return zone, text, err
}

// ReadInForce reads the zone in force from the store, the journal or the zone file, and names the source. A
// server may be running at the same time.
func ReadInForce(options Options) (zone *dnszone.Zone, source string, err error) {
	settings, err := options.Settings.Canonical()
	if err != nil {
		return nil, "", err
	}
	var stored *storedZone
	switch {
	case options.Replicated != nil:
		source = "the store"
		stored, err = options.Replicated.load(settings)
	case options.JournalFile != "":
		source = options.JournalFile
		stored, err = readJournal(options.JournalFile, settings)
		if errors.Is(err, os.ErrNotExist) {
			err = nil
		}
	}
	if err != nil {
		return nil, source, err
	}
	if stored != nil {
		return stored.zone, source, nil
	}
	zone, _, err = ReadZoneFile(options.ZoneFile, settings)
	return zone, options.ZoneFile, err
}
