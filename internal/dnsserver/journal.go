package dnsserver

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"strconv"

	"github.com/google/renameio/v2"
	"golang.org/x/sys/unix"

	"fawnplank/internal/dnszone"
)

// journalFormat is of the form of the journal; another one is refused.
const journalFormat = 1

// mostChanges is how many changes stand in a journal before it is written anew as one snapshot: a start reads them
// in some tens of milliseconds, and secondaries that lag by no more get changes alone.
const mostChanges = 4096

// base is the journal's first line: a zone, and which text of the zone file it came from.
type base struct {
	Format   int              `json:"format"`
	Origin   string           `json:"origin"`
	Service  string           `json:"service"`
	FileSum  string           `json:"file_sum"`
	Snapshot dnszone.Snapshot `json:"snapshot"`
}

// journal keeps the zone in force over a restart: a line with a snapshot, and one for each change after it. A line is
// the CRC-32C of its JSON, a space, and the JSON. An update is answered once its line is synced; a last line that is
// not whole belongs to an update that nobody was told was done.
type journal struct {
	path   string
	f      *os.File
	lock   *os.File
	size   int64
	lines  int   // of changes
	broken error // why nothing more may be written
}

// state is what a journal holds.
type state struct {
	zone    *dnszone.Zone
	sum     string // of the zone file's text that was taken last
	changes []*dnszone.Change
	size    int64
	torn    int64 // bytes of a last line that is not whole
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func line(x any) ([]byte, error) {
	text, err := json.Marshal(x)
	if err != nil {
		return nil, err
	}
	return fmt.Appendf(nil, "%08x %s\n", crc32.Checksum(text, castagnoli), text), nil
}

// readJournal reads a journal, which another process may be writing. One that is not there is os.ErrNotExist.
// Damage anywhere but in the last line is an error with the file and line: to go on without what stood there would
// bring withdrawn backends back.
func readJournal(path string, set dnszone.Settings) (*state, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	text, err := io.ReadAll(f)
	if err != nil {
		return nil, err
	}
	s := &state{}
	for n := 1; len(text) > 0; n++ {
		l, rest, whole := bytes.Cut(text, []byte{'\n'})
		body, ok := unwrap(l)
		if (!whole || !ok) && n > 1 && len(rest) == 0 {
			s.torn = int64(len(text))
			break
		}
		fail := func(err error) (*state, error) {
			return nil, fmt.Errorf("%s:%d: %w; where it cannot be had from a copy, move it away: the zone file then holds alone", path, n, err)
		}
		if !whole || !ok {
			return fail(errors.New("the checksum does not fit"))
		}
		if n == 1 {
			var b base
			if err := json.Unmarshal(body, &b); err != nil {
				return fail(err)
			}
			if b.Format != journalFormat {
				return fail(fmt.Errorf("is of format %d, not %d", b.Format, journalFormat))
			}
			if got := (dnszone.Settings{Origin: b.Origin, Service: b.Service}); got != set {
				return fail(fmt.Errorf("is of zone %s and service %s, not %s and %s", got.Origin, got.Service, set.Origin, set.Service))
			}
			if s.zone, err = dnszone.Restore(b.Snapshot, set); err != nil {
				return fail(err)
			}
			s.sum = b.FileSum
		} else {
			c := &dnszone.Change{}
			if err := json.Unmarshal(body, c); err != nil {
				return fail(err)
			}
			step, err := s.zone.Apply(c)
			if err != nil {
				return fail(err)
			}
			s.zone, s.changes = step.Zone, append(s.changes, c)
		}
		s.size += int64(len(l)) + 1
		text = rest
	}
	if s.zone == nil {
		return nil, fmt.Errorf("%s:1: is empty", path)
	}
	return s, nil
}

func unwrap(l []byte) ([]byte, bool) {
	if len(l) < 10 || l[8] != ' ' {
		return nil, false
	}
	sum, err := strconv.ParseUint(string(l[:8]), 16, 32)
	return l[9:], err == nil && crc32.Checksum(l[9:], castagnoli) == uint32(sum)
}

// errBusy says that another process has the journal.
var errBusy = errors.New("another process has the journal")

// lockJournal makes the journal this process's own, or gives errBusy.
func lockJournal(path string) (*journal, error) {
	lock, err := os.OpenFile(path+".lock", os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		lock.Close()
		if errors.Is(err, unix.EWOULDBLOCK) {
			return nil, errBusy
		}
		return nil, fmt.Errorf("%s.lock: %w", path, err)
	}
	return &journal{path: path, lock: lock}, nil
}

// follow goes on behind what was read; a torn line is cut off.
func (j *journal) follow(s *state) (err error) {
	if j.f, err = os.OpenFile(j.path, os.O_RDWR, 0o600); err != nil {
		return err
	}
	j.size, j.lines = s.size, len(s.changes)
	if s.torn > 0 {
		if err = j.f.Truncate(j.size); err == nil {
			err = j.f.Sync()
		}
	}
	return err
}

// begin writes the journal anew, with a zone alone. On an error the old one stays.
func (j *journal) begin(z *dnszone.Zone, sum string) error {
	text, err := line(base{journalFormat, z.Origin, z.Service, sum, z.Snapshot()})
	if err != nil {
		return err
	}
	if err := renameio.WriteFile(j.path, text, 0o600); err != nil {
		return err
	}
	if folder, err := os.Open(filepath.Dir(j.path)); err == nil {
		err = folder.Sync()
		folder.Close()
		if err != nil {
			return err
		}
	}
	f, err := os.OpenFile(j.path, os.O_RDWR, 0o600)
	if err != nil {
		j.broken = err // what is written from here on would go to a file that is no longer there
		return err
	}
	if j.f != nil {
		j.f.Close()
	}
	j.f, j.size, j.lines, j.broken = f, int64(len(text)), 0, nil
	return nil
}

// add writes a change, and returns once it lasts. After an error the journal is as before, or takes nothing more.
func (j *journal) add(c *dnszone.Change) error {
	if j.broken != nil {
		return j.broken
	}
	text, err := line(c)
	if err != nil {
		return err
	}
	if _, err = j.f.WriteAt(text, j.size); err == nil {
		if err = j.f.Sync(); err == nil {
			j.size += int64(len(text))
			j.lines++
			return nil
		}
		// After a failed sync nobody knows what lasts: nothing more is taken until the journal is written anew.
		j.broken = fmt.Errorf("%s: %w", j.path, err)
	}
	if cut := j.f.Truncate(j.size); cut != nil {
		j.broken = fmt.Errorf("%s: %w", j.path, cut)
	}
	return err
}

func (j *journal) close() {
	if j == nil {
		return
	}
	if j.f != nil {
		j.f.Close()
	}
	j.lock.Close()
}
