package dnsserver

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"fawnplank/internal/dnszone"
	"fawnplank/internal/logging"
	"fawnplank/internal/store/kv"
)

// Replica is the part of a replica of the store that the zone is kept by.
type Replica interface {
	// ReadLocal is a key as this replica has it.
	ReadLocal(key string) (kv.Entry, bool)
	// Edit lands edits together or not at all; kv.Conflict where a key is not as asked.
	Edit(edits []kv.Edit) error
}

// Shared keeps the zone in the replicated store, in place of a journal: a head, the snapshot that it names in pieces,
// and a change a key, by the serial before it. Each write asks for the head as it was seen: an update that another
// one was quicker than is judged anew, and lands everywhere or nowhere.
type Shared struct{ Replica }

// Keys of the store.
const (
	Keys      = "dns/" // all of the zone's begin so
	headKey   = Keys + "head"
	baseKey   = Keys + "base/"
	changeKey = Keys + "change/"
)

type head struct {
	Serial  uint32 `json:"serial"`  // in force
	Base    uint32 `json:"base"`    // serial of the snapshot
	Pieces  int    `json:"pieces"`  // of it
	Changes int    `json:"changes"` // since
	Sum     string `json:"file_sum"`
}

const (
	// piece is what of a snapshot goes into one value, JSON within JSON: half of what the store takes.
	piece = kv.MaxValue / 2
	// mostShared is how many changes stand in the store beside a snapshot: their deletion must fit one command.
	mostShared = 500
)

// errBehind says that this replica, or this server, has yet to hear of a change that landed.
var errBehind = errors.New("a change landed that is not heard of here yet")

func (s *Shared) head() (h head, index kv.Index, err error) {
	e, ok := s.ReadLocal(headKey)
	if !ok {
		return h, 0, nil
	}
	return h, e.Index, json.Unmarshal(e.Value, &h)
}

func at(serial uint32, n int) string { return fmt.Sprintf("%s%08x/%d", baseKey, serial, n) }

func changeAt(serial uint32) string { return fmt.Sprintf("%s%08x", changeKey, serial) }

// Load reads what this replica has; nil where that is nothing.
func (s *Shared) Load(set dnszone.Settings) (*state, error) {
	h, index, err := s.head()
	if err != nil || index == 0 {
		return nil, err
	}
	var text strings.Builder
	for n := range h.Pieces {
		e, ok := s.ReadLocal(at(h.Base, n))
		if !ok {
			return nil, fmt.Errorf("store: %s is missing: %w", at(h.Base, n), errBehind)
		}
		var part string
		if err := json.Unmarshal(e.Value, &part); err != nil {
			return nil, fmt.Errorf("store: %s: %w", at(h.Base, n), err)
		}
		text.WriteString(part)
	}
	var b base
	if err := json.Unmarshal([]byte(text.String()), &b); err != nil {
		return nil, fmt.Errorf("store: the zone: %w", err)
	}
	if got := (dnszone.Settings{Origin: b.Origin, Service: b.Service}); b.Format != journalFormat || got != set {
		return nil, fmt.Errorf("store: the zone is %s with service %s in format %d", got.Origin, got.Service, b.Format)
	}
	x := &state{sum: b.FileSum}
	if x.zone, err = dnszone.Restore(b.Snapshot, set); err != nil {
		return nil, fmt.Errorf("store: the zone: %w", err)
	}
	for x.zone.Serial() != h.Serial {
		step, c, err := s.next(x.zone)
		if err == nil && step == nil {
			err = errBehind
		}
		if err != nil {
			return nil, err
		}
		x.zone, x.changes = step.Zone, append(x.changes, c)
	}
	return x, nil
}

// next does the change that follows a zone, where there is one.
func (s *Shared) next(z *dnszone.Zone) (*dnszone.Step, *dnszone.Change, error) {
	e, ok := s.ReadLocal(changeAt(z.Serial()))
	if !ok {
		return nil, nil, nil
	}
	c := &dnszone.Change{}
	if err := json.Unmarshal(e.Value, c); err != nil {
		return nil, nil, fmt.Errorf("store: %s: %w", changeAt(z.Serial()), err)
	}
	step, err := z.Again(c)
	if err != nil {
		return nil, nil, fmt.Errorf("store: %w", err)
	}
	return step, c, nil
}

// Begin writes a zone where there is none yet.
func (s *Shared) Begin(z *dnszone.Zone, sum string) error { return s.base(z, sum, head{}, 0) }

// Adopt writes a zone whole in the place of one.
func (s *Shared) Adopt(old, z *dnszone.Zone, sum string) error {
	h, index, err := s.head()
	if err == nil && h.Serial != old.Serial() {
		err = errBehind
	}
	if err != nil {
		return err
	}
	return s.base(z, sum, h, index)
}

func (s *Shared) base(z *dnszone.Zone, sum string, old head, index kv.Index) error {
	text, err := json.Marshal(base{journalFormat, z.Origin, z.Service, sum, z.Snapshot()})
	if err != nil {
		return err
	}
	now := head{Serial: z.Serial(), Base: z.Serial(), Sum: sum}
	var edits []kv.Edit
	for n := range old.Pieces { // those of the same serial are written over below
		edits = append(edits, kv.Edit{Key: at(old.Base, n)})
	}
	for serial, n := old.Base, 0; n < old.Changes; n++ {
		e, ok := s.ReadLocal(changeAt(serial))
		var c dnszone.Change
		if !ok || json.Unmarshal(e.Value, &c) != nil {
			return errBehind
		}
		edits = append(edits, kv.Edit{Key: changeAt(serial)})
		serial = c.To
	}
	for ; len(text) > 0; now.Pieces++ {
		n := min(len(text), piece)
		for n < len(text) && text[n]&0xC0 == 0x80 { // not within a character
			n--
		}
		part, err := json.Marshal(string(text[:n]))
		if err != nil {
			return err
		}
		text = text[n:]
		if now.Base == old.Base && now.Pieces < old.Pieces {
			edits[now.Pieces].Value = part
		} else {
			edits = append(edits, kv.Edit{Key: at(now.Base, now.Pieces), Value: part})
		}
	}
	return s.write(now, index, edits)
}

// write lands edits with a new head, if the head is still of the index given.
func (s *Shared) write(h head, index kv.Index, edits []kv.Edit) error {
	value, err := json.Marshal(h)
	if err != nil {
		return err
	}
	err = s.Edit(append(edits, kv.Edit{Key: headKey, Value: value, Check: true, If: index}))
	var conflict kv.ConflictError
	if errors.As(err, &conflict) {
		return errBehind
	}
	return err
}

// Add lands a change that follows the head.
func (s *Shared) Add(c *dnszone.Change) error {
	h, index, err := s.head()
	if err == nil && h.Serial != c.From {
		err = errBehind
	}
	if err != nil {
		return err
	}
	value, err := json.Marshal(c)
	if err != nil {
		return err
	}
	h.Serial, h.Changes = c.To, h.Changes+1
	return s.write(h, index, []kv.Edit{{Key: changeAt(c.From), Value: value}})
}

// Full says that the changes are to be written together.
func (s *Shared) Full() bool {
	h, _, err := s.head()
	return err == nil && h.Changes >= mostShared
}

// Changed is to be called when a key of the zone's has changed in the store: it goes on to what the store has.
func (s *Server) Changed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.zone == nil { // it has not begun: begin tries again
		return
	}
	if err := s.catchUp(); err != nil && !errors.Is(err, errBehind) {
		logging.For("dns").WithError(err).Error("the store's zone cannot be followed; the last good list stands")
	}
}

// catchUp goes on to what this replica has. The lock is held.
func (s *Server) catchUp() error {
	shared := s.o.Shared
	for {
		step, _, err := shared.next(s.zone)
		if err != nil {
			return err
		}
		if step == nil {
			break
		}
		s.guard.Note(step.Change.By, dnszone.Done{}, step.Change.At)
		s.step(step)
	}
	h, index, err := shared.head()
	if err != nil || index == 0 || h.Serial == s.zone.Serial() || !dnszone.Newer(h.Serial, s.zone.Serial()) {
		return err // also where this server is ahead: its own change is on the way to this replica
	}
	now, err := shared.Load(s.o.Settings)
	if err == nil && now != nil {
		s.install(now, false)
	}
	return err
}

// share lands an update in all replicas or in none: judged on the zone in force, and again where another one was
// quicker. The lock is held.
func (s *Server) share(judge func() (*dnszone.Step, error)) (*dnszone.Step, error) {
	for end := time.Now().Add(shareWithin); ; time.Sleep(5 * time.Millisecond) {
		step, err := judge()
		if err != nil || step.Change == nil {
			return step, err
		}
		if err = s.o.Shared.Add(step.Change); !errors.Is(err, errBehind) || time.Now().After(end) {
			return step, err
		}
		if err := s.catchUp(); err != nil && !errors.Is(err, errBehind) {
			return nil, err
		}
	}
}

// shareWithin bounds the tries: an updater's own patience is some seconds, and meanwhile no other update is looked at.
const shareWithin = 3 * time.Second

// begin waits until the store has a leader, which a first start needs.
func (s *Server) begin() {
	for last := ""; ; {
		s.mu.Lock()
		err := s.load(time.Now().UnixNano())
		s.mu.Unlock()
		if err == nil {
			if err = s.listen(); err == nil {
				return
			}
		}
		if err.Error() != last {
			last = err.Error()
			logging.For("dns").WithError(err).Warn("no list yet; tried again")
		}
		select {
		case <-s.stop:
			return
		case <-time.After(takeOver):
		}
	}
}
