package dnsserver

import (
	"errors"
	"fmt"
	"os"

	"golang.org/x/sys/unix"

	"fawnplank/internal/dnszone"
	"fawnplank/internal/durable"
)

const (
	// maxJournalChanges is the number of changes at which a journal is compacted into one snapshot. A start reads
	// this many changes in some tens of milliseconds.
	maxJournalChanges = 4096
	// journalMode is the file mode of the journal and its lock file.
	journalMode = 0o600
)

// journal preserves the current zone across a restart. It consists of one line with a snapshot, and one line for each
// later change (journal_line.go). An update is answered with NOERROR only after its line is synced, so a torn last
// line belongs to an update that was never answered with NOERROR.
//
// The server's mutex serializes access within the process; the lock file excludes other processes.
type journal struct {
	path     string
	file     *os.File // nil until resume or rewrite
	lockFile *os.File
	size     int64 // bytes
	changes  int   // number of changes after the snapshot
	writeErr error // why the journal accepts no more changes; nil if it accepts them
}

// errJournalLocked reports that another process has locked the journal.
var errJournalLocked = errors.New("another process has locked the journal")

// lockJournal locks the journal for this process, or returns errJournalLocked.
func lockJournal(path string) (*journal, error) {
	lockFile, err := os.OpenFile(path+".lock", os.O_CREATE|os.O_RDWR, journalMode)
	if err != nil {
		return nil, err
	}
	err = unix.Flock(int(lockFile.Fd()), unix.LOCK_EX|unix.LOCK_NB)
	if err == nil {
		return &journal{path: path, lockFile: lockFile}, nil
	}
	_ = lockFile.Close() // nothing was written or locked
	if errors.Is(err, unix.EWOULDBLOCK) {
		return nil, errJournalLocked
	}
	return nil, fmt.Errorf("%s.lock: %w", path, err)
}

// resume opens the journal for writing after the lines that were read. It truncates a torn last line.
func (j *journal) resume(stored *storedZone) error {
	file, err := os.OpenFile(j.path, os.O_RDWR, journalMode)
	if err != nil {
		return err
	}
	j.file = file
	j.size = stored.size
	j.changes = len(stored.changes)
	if stored.tornBytes == 0 {
		return nil
	}
	if err := j.file.Truncate(j.size); err != nil {
		return err
	}
	return j.file.Sync()
}

// rewrite replaces the journal with one that holds only a snapshot. On an error the old journal remains.
func (j *journal) rewrite(zone *dnszone.Zone, fileSum string) error {
	text, err := encodeJournalLine(newZoneRecord(zone, fileSum))
	if err != nil {
		return err
	}
	if err := replaceJournal(j.path, text); err != nil {
		return err
	}
	file, err := os.OpenFile(j.path, os.O_RDWR, journalMode)
	if err != nil {
		j.writeErr = err // the open file is no longer the file at the path
		return err
	}
	if j.file != nil {
		_ = j.file.Close() // the old file is replaced and no longer needed
	}
	j.file = file
	j.size = int64(len(text))
	j.changes = 0
	j.writeErr = nil
	return nil
}

// replaceJournal replaces the journal durably. It tolerates a folder that cannot be opened to be synced.
func replaceJournal(path string, content []byte) error {
	err := durable.WriteFile(path, content, journalMode)
	if _, ok := errors.AsType[*durable.DirOpenError](err); ok {
		return nil
	}
	return err
}

// append writes a change and returns once the change is durable. After an error the journal is either unchanged, or
// rejects further changes until it is rewritten.
func (j *journal) append(change *dnszone.Change) error {
	if j.writeErr != nil {
		return j.writeErr
	}
	text, err := encodeJournalLine(change)
	if err != nil {
		return err
	}
	if err := j.writeLine(text); err != nil {
		if truncateErr := j.file.Truncate(j.size); truncateErr != nil {
			j.writeErr = fmt.Errorf("%s: %w", j.path, truncateErr)
		}
		return err
	}
	j.size += int64(len(text))
	j.changes++
	return nil
}

// writeLine writes a line at the end of the journal and syncs it.
func (j *journal) writeLine(line []byte) error {
	if _, err := j.file.WriteAt(line, j.size); err != nil {
		return err
	}
	if err := j.file.Sync(); err != nil {
		j.writeErr = fmt.Errorf("%s: %w", j.path, err) // after a failed sync it is unknown what is durable
		return err
	}
	return nil
}

// close closes and unlocks the journal. It may be called on a nil journal.
func (j *journal) close() {
	if j == nil {
		return
	}
	if j.file != nil {
		_ = j.file.Close() // every line was synced when it was written
	}
	_ = j.lockFile.Close() // releases the lock
}
