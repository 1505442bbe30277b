package dnsserver

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"strconv"

	"golang.org/x/sys/unix"

	"fawnplank/internal/dnszone"
	"fawnplank/internal/durable"
)

const (
	// storedFormat is the version of the stored format. Any other version is rejected.
	storedFormat = 1
	// maxJournalChanges is how many changes a journal holds before it is compacted into one snapshot. A start
	// reads that many in some tens of milliseconds.
	maxJournalChanges = 4096
	// journalMode is the file mode of the journal and its lock file.
	journalMode = 0o600
	// checksumDigits is the length of a line's checksum in hexadecimal digits. A space follows the checksum.
	checksumDigits = 8
)

// zoneRecord is the stored form of a zone with its settings. It is the first line of a journal, and the
// snapshot in the store.
type zoneRecord struct {
	Format   int              `json:"format"`
	Origin   string           `json:"origin"`
	Service  string           `json:"service"`
	FileSum  string           `json:"file_sum"` // of the text of the zone file that was adopted last
	Snapshot dnszone.Snapshot `json:"snapshot"`
}

func newZoneRecord(zone *dnszone.Zone, fileSum string) zoneRecord {
	return zoneRecord{
		Format:   storedFormat,
		Origin:   zone.Origin,
		Service:  zone.Service,
		FileSum:  fileSum,
		Snapshot: zone.Snapshot(),
	}
}

func (r *zoneRecord) settings() dnszone.Settings {
	return dnszone.Settings{Origin: r.Origin, Service: r.Service}
}

// journal preserves the zone in force across a restart. It holds one line with a snapshot, and one line for
// each later change. A line consists of the CRC-32C of its JSON, a space, and the JSON. An update is answered
// once its line is synced, so a torn last line belongs to an update that was never answered as done.
//
// The server's lock guards the journal within the process; the lock file guards it between processes.
type journal struct {
	path     string
	file     *os.File
	lockFile *os.File
	size     int64
	changes  int   // lines after the first
	failed   error // why nothing more may be written; nil if writing is allowed
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func encodeLine(value any) ([]byte, error) {
	text, err := json.Marshal(value)
	if err != nil {
		return nil, err
	}
	return fmt.Appendf(nil, "%08x %s\n", crc32.Checksum(text, castagnoli), text), nil
}

// decodeLine returns a line's JSON, and reports whether its checksum matches.
func decodeLine(line []byte) ([]byte, bool) {
	if len(line) < checksumDigits+2 || line[checksumDigits] != ' ' {
		return nil, false
	}
	sum, err := strconv.ParseUint(string(line[:checksumDigits]), 16, 32)
	text := line[checksumDigits+1:]
	return text, err == nil && crc32.Checksum(text, castagnoli) == uint32(sum)
}

// readJournal reads a journal, which another process may be writing. If the journal is missing, the error is
// os.ErrNotExist. Damage anywhere except in the last line is an error that names file and line, because
// continuing without the damaged part would bring removed backends back.
func readJournal(path string, settings dnszone.Settings) (*storedZone, error) {
	text, err := readAll(path)
	if err != nil {
		return nil, err
	}
	stored := &storedZone{}
	for number := 1; len(text) > 0; number++ {
		line, rest, isWhole := bytes.Cut(text, []byte{'\n'})
		body, isValid := decodeLine(line)
		isIntact := isWhole && isValid
		if !isIntact && number > 1 && len(rest) == 0 {
			stored.tornBytes = int64(len(text))
			break
		}
		if !isIntact {
			err = errors.New("the checksum does not fit")
		} else if number == 1 {
			err = stored.decodeSnapshot(body, settings)
		} else {
			err = stored.decodeChange(body)
		}
		if err != nil {
			const advice = "where it cannot be had from a copy, move it away: the zone file then holds alone"
			return nil, fmt.Errorf("%s:%d: %w; %s", path, number, err, advice)
		}
		stored.size += int64(len(line)) + 1
		text = rest
	}
	if stored.zone == nil {
		return nil, fmt.Errorf("%s:1: is empty", path)
	}
	return stored, nil
}

func readAll(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // the file was only read
	return io.ReadAll(file)
}

// decodeSnapshot decodes a journal's first line.
func (z *storedZone) decodeSnapshot(body []byte, settings dnszone.Settings) error {
	var record zoneRecord
	if err := json.Unmarshal(body, &record); err != nil {
		return err
	}
	if record.Format != storedFormat {
		return fmt.Errorf("is of format %d, not %d", record.Format, storedFormat)
	}
	if got := record.settings(); got != settings {
		return fmt.Errorf("is of zone %s and service %s, not %s and %s",
			got.Origin, got.Service, settings.Origin, settings.Service)
	}
	zone, err := dnszone.Restore(record.Snapshot, settings)
	if err != nil {
		return err
	}
	z.zone = zone
	z.fileSum = record.FileSum
	return nil
}

// decodeChange decodes a later line and applies its change.
func (z *storedZone) decodeChange(body []byte) error {
	change := &dnszone.Change{}
	if err := json.Unmarshal(body, change); err != nil {
		return err
	}
	step, err := z.zone.Apply(change)
	if err != nil {
		return err
	}
	z.zone = step.Zone
	z.changes = append(z.changes, change)
	return nil
}

// errJournalLocked reports that another process has the journal.
var errJournalLocked = errors.New("another process has the journal")

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

// resume prepares the journal for writing after the lines that were read. It cuts off a torn line.
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

// rewrite replaces the journal with one that holds only a snapshot. On an error the old journal stays.
func (j *journal) rewrite(zone *dnszone.Zone, fileSum string) error {
	text, err := encodeLine(newZoneRecord(zone, fileSum))
	if err != nil {
		return err
	}
	if err := replaceFile(j.path, text); err != nil {
		return err
	}
	file, err := os.OpenFile(j.path, os.O_RDWR, journalMode)
	if err != nil {
		j.failed = err // the open file is no longer the one at the path
		return err
	}
	if j.file != nil {
		_ = j.file.Close() // replaced, and its content is no longer read
	}
	j.file = file
	j.size = int64(len(text))
	j.changes = 0
	j.failed = nil
	return nil
}

// replaceFile replaces the journal durably. It ignores a folder that cannot be opened to sync it.
func replaceFile(path string, content []byte) error {
	err := durable.WriteFile(path, content, journalMode)
	if _, ok := errors.AsType[*durable.FolderOpenError](err); ok {
		return nil
	}
	return err
}

// append writes a change and returns once the change is durable. After an error the journal is unchanged, or
// accepts nothing more until it is rewritten.
func (j *journal) append(change *dnszone.Change) error {
	if j.failed != nil {
		return j.failed
	}
	text, err := encodeLine(change)
	if err != nil {
		return err
	}
	if err := j.writeLine(text); err != nil {
		if truncateErr := j.file.Truncate(j.size); truncateErr != nil {
			j.failed = fmt.Errorf("%s: %w", j.path, truncateErr)
		}
		return err
	}
	j.size += int64(len(text))
	j.changes++
	return nil
}

// writeLine writes a line after the others and syncs it.
func (j *journal) writeLine(line []byte) error {
	if _, err := j.file.WriteAt(line, j.size); err != nil {
		return err
	}
	if err := j.file.Sync(); err != nil {
		j.failed = fmt.Errorf("%s: %w", j.path, err) // after a failed sync nobody knows what is durable
		return err
	}
	return nil
}

// close releases the journal. It may be called on a nil journal.
func (j *journal) close() {
	if j == nil {
		return
	}
	if j.file != nil {
		_ = j.file.Close() // every line was synced when it was written
	}
	_ = j.lockFile.Close() // releases the lock
}
