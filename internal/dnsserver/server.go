// Package dnsd is the front door's own name server for the zone that its backends stand in: it reads the zone file,
// takes dynamic updates (RFC 2136, TSIG of RFC 8945), keeps what is in force in a journal, answers queries and gives
// the zone to secondaries. It owns the file, the journal and the sockets. What a message means for the zone is
// package zone's to say.
package dnsserver

import (
	"errors"
	"fmt"
	"net"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/miekg/dns"
	"github.com/sirupsen/logrus"
	"golang.org/x/net/netutil"

	"fawnplank/internal/dnszone"
	"fawnplank/internal/logging"
)

// Options are what a server is started with.
type Options struct {
	Settings dnszone.Settings
	ZoneFile     string  // the zone file
	JournalFile  string  // where what is in force is kept; empty: nowhere, and there are no updates
	ListenAddress   string  // UDP and TCP; empty: nowhere
	Keys     []Key   // that may update and transfer
	MaxUpdatesPerSecond     float64 // updates a second at most
	Secondaries   []string
	Replicated   *ReplicatedZone // where set, updates land in all replicas or in none
	// Publish is told of every change to the list, before its update is answered, one at a time: entries new and changed, and
	// the names of those gone; whole: the list is these alone.
	Publish func(come []dnszone.Backend, gone []string, whole bool)
}

const (
	// mostBytes bounds a zone file: some hundred thousand backends.
	mostBytes = 32 << 20
	// mostOpen bounds TCP connections and messages worked on at once. Updaters and secondaries are few.
	mostOpen = 64
	// mostMessages is how many messages are looked at for each update that is allowed: checking a signature costs some
	// ten microseconds, which a flood of unsigned ones must not take from the transactions.
	mostMessages = 20
	takeOver     = 200 * time.Millisecond // between two tries to take the journal over from a process that ends
)

// Server is the name server.
type Server struct {
	o       Options
	keys    keyring
	mu      sync.Mutex // of all that follows
	zone    *dnszone.Zone
	sum     string
	changes []*dnszone.Change // since the journal's snapshot, for IXFR
	journal *journal
	guard   *dnszone.ReplayGuard
	news    []chan struct{} // for each secondary: the serial has changed

	asked   atomic.Pointer[dnszone.Zone] // the zone in force, for queries: they do not wait for what an update waits for
	servers []*dns.Server
	at      string
	busy    chan struct{}
	allowed *allowance
	stop    chan struct{}
	once    sync.Once
	figures figures
	said    quiet
}

// quiet keeps a flood of messages from becoming one of log lines: one a second is written on what is refused, and it
// tells how many went unwritten before it.
type quiet struct {
	second  atomic.Int64
	skipped atomic.Uint64
}

// line says whether a line is to be written, and how many were not.
func (q *quiet) line(second int64) (skipped uint64, ok bool) {
	if q.second.Swap(second) == second {
		q.skipped.Add(1)
		return 0, false
	}
	return q.skipped.Swap(0), true
}

type figures struct{ done, refused, unsigned, flooded, failed atomic.Uint64 }

// Counts are updates done, refused for what they ask, refused for their signature, refused for their number, and lost
// to a journal or store that could not be written.
func (s *Server) Counts() [5]uint64 {
	f := &s.figures
	return [5]uint64{f.done.Load(), f.refused.Load(), f.unsigned.Load(), f.flooded.Load(), f.failed.Load()}
}

// Start reads the zone, tells the list, and listens. A zone file that is faulty is an error only where there is no
// journal to go on with.
func Start(o Options) (s *Server, err error) {
	if o.Settings, err = o.Settings.Canonical(); err != nil {
		return nil, err
	}
	s = &Server{o: o, keys: keyring{}, busy: make(chan struct{}, mostOpen), stop: make(chan struct{}),
		allowed: &allowance{rate: mostMessages * max(o.MaxUpdatesPerSecond, 1)}}
	for _, k := range o.Keys {
		s.keys[k.Name] = k
	}
	now := time.Now().UnixNano()
	s.guard = dnszone.NewReplayGuard(o.MaxUpdatesPerSecond, now)
	if o.JournalFile != "" && o.Replicated == nil {
		s.journal, err = lockJournal(o.JournalFile)
	}
	waits := errors.Is(err, errBusy)
	if err != nil && !waits {
		return nil, err
	}
	s.mu.Lock()
	err = s.load(now)
	s.mu.Unlock()
	if o.Replicated != nil && (errors.Is(err, errBehind) || errors.Is(err, errNoStore)) {
		go s.begin()
		return s, nil
	}
	if err != nil {
		s.Close()
		return nil, err
	}
	if waits {
		logging.For("dns").WithError(errBusy).Info("its list holds until that one ends")
		go s.wait()
		return s, nil
	}
	if err := s.listen(); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// wait goes by another process's journal, and takes it over when that one lets go: during an upgrade both run.
func (s *Server) wait() {
	for {
		select {
		case <-s.stop:
			return
		case <-time.After(takeOver):
		}
		j, err := lockJournal(s.o.JournalFile)
		s.mu.Lock()
		if err == nil {
			s.journal = j
		}
		if bad := s.load(time.Now().UnixNano()); bad != nil {
			logging.For("dns").WithError(bad).Error("the journal cannot be followed; the last good list stands")
		}
		s.mu.Unlock()
		if err != nil {
			continue
		}
		if err := s.listen(); err != nil {
			logging.For("dns").WithError(err).Error("cannot listen")
		}
		return
	}
}

// load finds the zone in force and tells it. The lock is held.
//
// The rule between the zone file and the updates: the higher serial holds. A file whose serial is newer than that in
// force takes its place whole, and the updates before it are over; any other file changes nothing.
func (s *Server) load(now int64) error {
	file, sum, ferr := s.readFile()
	var kept *state
	var err error
	switch {
	case s.o.Replicated != nil:
		if kept, err = s.o.Replicated.Load(s.o.Settings); err != nil {
			return err
		}
	case s.o.JournalFile != "":
		if kept, err = readJournal(s.o.JournalFile, s.o.Settings); err != nil && !errors.Is(err, os.ErrNotExist) {
			return err
		}
		if kept != nil && kept.torn > 0 && s.journal != nil {
			logging.For("dns").WithField("bytes", kept.torn).Warn("the journal's last line is not whole, and was never answered: it is cut off")
		}
	}
	if kept == nil { // the first start
		if ferr != nil {
			return ferr
		}
		if s.o.Replicated != nil {
			if err := s.o.Replicated.Begin(file, sum); err != nil && !errors.Is(err, errBehind) {
				return fmt.Errorf("%w: %w", errNoStore, err)
			} else if err != nil {
				return err
			}
		} else if s.journal != nil {
			if err := s.journal.begin(file, sum); err != nil {
				return err
			}
		}
		s.install(&state{zone: file, sum: sum}, true)
		return nil
	}
	if s.journal != nil {
		if err := s.journal.follow(kept); err != nil {
			return err
		}
	}
	s.install(kept, s.zone == nil)
	if ferr != nil {
		logging.For("dns").WithError(ferr).Error("the zone file is not taken, the last good list stands")
		return nil
	}
	s.adopt(file, sum, now)
	return nil
}

// errNoStore says that the store takes nothing yet.
var errNoStore = errors.New("the store has not taken the zone")

// install goes on to a zone, and tells of it. The lock is held.
func (s *Server) install(now *state, whole bool) {
	old := s.zone
	s.zone, s.sum, s.changes = now.zone, now.sum, now.changes
	s.asked.Store(s.zone)
	for _, c := range now.changes {
		s.guard.Record(c.Signature, dnszone.Outcome{}, c.AtNanos)
	}
	if whole || old == nil {
		s.o.Publish(s.zone.Backends(), nil, true)
	} else if come, gone := dnszone.Diff(old, s.zone); len(come)+len(gone) > 0 {
		s.o.Publish(come, gone, false)
	}
	s.announce()
}

// adopt takes a file just read in the place of the zone in force, if its serial is newer. The lock is held.
func (s *Server) adopt(file *dnszone.Zone, sum string, now int64) {
	log := logging.For("dns").WithField("file", s.o.ZoneFile).WithField("serial", file.Serial()).WithField("in_force", s.zone.Serial())
	if sum == s.sum {
		return
	}
	if !dnszone.SerialNewer(file.Serial(), s.zone.Serial()) {
		log.Error("the zone file was changed, and its serial is not newer than that in force: it is not taken")
		return
	}
	next := file.Replacing(s.zone, now)
	var err error
	if s.o.Replicated != nil {
		err = s.o.Replicated.Adopt(s.zone, next, sum)
	} else if s.journal != nil {
		err = s.journal.begin(next, sum)
	} else if s.o.JournalFile != "" {
		err = errBusy
	}
	if err != nil {
		log.WithError(err).Error("the zone file is not taken, the last good list stands")
		return
	}
	log.WithField("updates_over", len(s.changes)).Info("the zone file is taken")
	s.install(&state{zone: next, sum: sum}, false)
}

func (s *Server) readFile() (*dnszone.Zone, string, error) {
	z, text, err := ReadZoneFile(s.o.ZoneFile, s.o.Settings)
	return z, fmt.Sprintf("%016x", xxhash.Sum64(text)), err
}

// ReadZoneFile reads a zone file; errors name file and line.
func ReadZoneFile(path string, set dnszone.Settings) (*dnszone.Zone, []byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, nil, err
	}
	if info.Size() > mostBytes {
		return nil, nil, fmt.Errorf("%s: larger than %d bytes", path, mostBytes)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, err
	}
	z, err := dnszone.Parse(path, text, set)
	return z, text, err
}

// ReadInForce reads what is in force, beside a server that may run: the store's, the journal's or the file's.
func ReadInForce(o Options) (z *dnszone.Zone, source string, err error) {
	if o.Settings, err = o.Settings.Canonical(); err != nil {
		return nil, "", err
	}
	var kept *state
	if o.Replicated != nil {
		source = "the store"
		kept, err = o.Replicated.Load(o.Settings)
	} else if o.JournalFile != "" {
		source = o.JournalFile
		if kept, err = readJournal(o.JournalFile, o.Settings); errors.Is(err, os.ErrNotExist) {
			err = nil
		}
	}
	if err != nil || kept != nil {
		if kept == nil {
			return nil, source, err
		}
		return kept.zone, source, err
	}
	z, _, err = ReadZoneFile(o.ZoneFile, o.Settings)
	return z, o.ZoneFile, err
}

// SendUpdate sends one update, signed, by TCP, and gives an error unless it was done.
func SendUpdate(m *dns.Msg, at string, k Key, within time.Duration) error {
	m.SetTsig(k.Name, k.Algorithm, FudgeSeconds, time.Now().Unix())
	c := dns.Client{Net: "tcp", Timeout: within, TsigProvider: keyring{k.Name: k}}
	r, _, err := c.Exchange(m, at)
	if r != nil && r.Rcode != dns.RcodeSuccess {
		err = errors.New(dns.RcodeToString[r.Rcode])
		if t := r.IsTsig(); t != nil && t.Error != 0 {
			err = fmt.Errorf("%w (%s)", err, dns.RcodeToString[int(t.Error)])
		}
	}
	return err
}

// Reload reads the zone file again. A faulty one is told, and the last good list stands.
func (s *Server) Reload() {
	file, sum, err := s.readFile()
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		logging.For("dns").WithError(err).Error("the zone file is not taken, the last good list stands")
		return
	}
	if s.zone == nil { // the store has no leader yet, and begin reads the file again
		return
	}
	s.adopt(file, sum, time.Now().UnixNano())
}

// PublishAll tells the whole list again.
func (s *Server) PublishAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.zone == nil {
		return
	}
	s.o.Publish(s.zone.Backends(), nil, true)
}

// Serial is that in force; 0: the store has not taken the zone yet. It does not wait for an update under way.
func (s *Server) Serial() uint32 {
	if z := s.asked.Load(); z != nil {
		return z.Serial()
	}
	return 0
}

// Address is where it listens: empty while it does not.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.at
}

func (s *Server) listen() error {
	if s.o.ListenAddress == "" {
		return nil
	}
	var packets net.PacketConn
	l, err := net.Listen("tcp", s.o.ListenAddress)
	if err != nil {
		return err
	}
	if packets, err = net.ListenPacket("udp", l.Addr().String()); err != nil {
		l.Close()
		if _, port, _ := net.SplitHostPort(s.o.ListenAddress); port == "0" { // taken by somebody's socket: another one will do
			return s.listen()
		}
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range []*dns.Server{{PacketConn: packets, UDPSize: 4096}, {Listener: netutil.LimitListener(l, mostOpen)}} {
		x.Handler, x.TsigProvider, x.MsgAcceptFunc, x.MaxTCPQueries = s, s.keys, s.accept, 1024
		x.MsgInvalidFunc = func([]byte, error) {}
		s.servers = append(s.servers, x)
		go func() {
			if err := x.ActivateAndServe(); err != nil {
				select {
				case <-s.stop:
				default:
					logging.For("dns").WithError(err).Error("stopped")
				}
			}
		}()
	}
	s.at = packets.LocalAddr().String()
	logging.For("dns").WithField(logging.Address, s.at).WithField("zone", s.o.Settings.Origin).Info("listens")
	for _, at := range s.o.Secondaries {
		news := make(chan struct{}, 1)
		s.news = append(s.news, news)
		go s.notify(at, news)
	}
	s.announce()
	return nil
}

// Close stops listening and lets the journal go.
func (s *Server) Close() {
	if s == nil {
		return
	}
	s.once.Do(func() {
		close(s.stop)
		s.mu.Lock()
		servers := s.servers
		s.mu.Unlock()
		for _, x := range servers {
			if x.Shutdown() != nil { // it had not begun to serve
				if x.Listener != nil {
					x.Listener.Close()
				} else {
					x.PacketConn.Close()
				}
			}
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.journal.close()
		s.journal = nil
	})
}

// allowance is how many messages are looked at.
type allowance struct {
	mu   sync.Mutex
	rate float64
	room float64
	last time.Time
}

func (a *allowance) take() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.room, a.last = min(a.room+now.Sub(a.last).Seconds()*a.rate, a.rate), now
	if a.room < 1 {
		return false
	}
	a.room--
	return true
}

// accept sees the head of each message before the rest is looked at.
func (s *Server) accept(h dns.Header) dns.MsgAcceptAction {
	switch opcode := int(h.Bits>>11) & 0xF; {
	case h.Bits&(1<<15) != 0 || !s.allowed.take():
		return dns.MsgIgnore
	case opcode != dns.OpcodeQuery && opcode != dns.OpcodeUpdate:
		return dns.MsgRejectNotImplemented
	case h.Qdcount != 1:
		return dns.MsgReject
	}
	return dns.MsgAccept
}

// ServeDNS answers one message.
func (s *Server) ServeDNS(w dns.ResponseWriter, m *dns.Msg) {
	defer func() {
		if x := recover(); x != nil {
			logging.Panicked("dns", x, debug.Stack())
		}
	}()
	select {
	case s.busy <- struct{}{}:
		defer func() { <-s.busy }()
	default: // dropped: whoever asked asks again
		s.figures.flooded.Add(1)
		return
	}
	if len(m.Question) != 1 { // a head alone says that it has one
		answer(w, new(dns.Msg).SetRcode(m, dns.RcodeFormatError), nil)
		return
	}
	t := m.IsTsig()
	if t != nil && w.TsigStatus() != nil {
		s.unsigned(w, m, t, w.TsigStatus())
		return
	}
	switch {
	case m.Opcode == dns.OpcodeUpdate && t == nil:
		s.figures.unsigned.Add(1)
		s.refuse(w, t, dns.ErrNoSig, "an update that is not signed is refused")
		answer(w, new(dns.Msg).SetRcode(m, dns.RcodeRefused), nil)
	case m.Opcode == dns.OpcodeUpdate:
		s.update(w, m, t)
	case m.Question[0].Qtype == dns.TypeAXFR || m.Question[0].Qtype == dns.TypeIXFR:
		s.transfer(w, m, t)
	default:
		answer(w, s.query(w, m), t)
	}
}

func (s *Server) log(w dns.ResponseWriter, t *dns.TSIG) *logrus.Entry {
	entry := logging.For("dns").WithField("from", w.RemoteAddr().String())
	if t != nil {
		entry = entry.WithField("key", t.Hdr.Name)
	}
	return entry
}

// refuse logs a refusal, unless another one was in this second.
func (s *Server) refuse(w dns.ResponseWriter, t *dns.TSIG, err error, what string) {
	if skipped, ok := s.said.line(time.Now().Unix()); ok {
		entry := s.log(w, t).WithError(err)
		if skipped > 0 {
			entry = entry.WithField("skipped", skipped)
		}
		entry.Warn(what)
	}
}

// answer sends an answer, signed where the question was.
func answer(w dns.ResponseWriter, r *dns.Msg, t *dns.TSIG) {
	if t != nil {
		r.SetTsig(t.Hdr.Name, t.Algorithm, FudgeSeconds, time.Now().Unix())
	}
	if err := w.WriteMsg(r); err != nil {
		logging.For("dns").WithError(err).Debug("answer")
	}
}

// FudgeSeconds is by how many seconds the other side's clock may differ for an answer of ours.
const FudgeSeconds = dnszone.FudgeSeconds

// unsigned answers what is not signed as it should be (RFC 8945, 5.2): NOTAUTH with the error's own number.
func (s *Server) unsigned(w dns.ResponseWriter, m *dns.Msg, t *dns.TSIG, err error) {
	s.figures.unsigned.Add(1)
	s.refuse(w, t, err, "a message that is not signed as it should be is refused")
	r := new(dns.Msg).SetRcode(m, dns.RcodeNotAuth)
	r.SetTsig(t.Hdr.Name, t.Algorithm, FudgeSeconds, int64(t.TimeSigned))
	x := r.IsTsig()
	switch {
	case errors.Is(err, dns.ErrTime):
		x.Error, x.OtherLen, x.OtherData = dns.RcodeBadTime, 6, fmt.Sprintf("%012x", time.Now().Unix())
	case errors.Is(err, dns.ErrSig):
		x.Error = dns.RcodeBadSig
	default:
		x.Error = dns.RcodeBadKey
	}
	if err := w.WriteMsg(r); err != nil {
		logging.For("dns").WithError(err).Debug("answer")
	}
}

// update does an update: judged, written to last, told to the decisions, and answered then.
func (s *Server) update(w dns.ResponseWriter, m *dns.Msg, t *dns.TSIG) {
	by := dnszone.Signature{KeyName: dns.CanonicalName(t.Hdr.Name), SignedSeconds: int64(t.TimeSigned), MAC: t.MAC}
	from := w.RemoteAddr().String()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now().UnixNano()
	verdict, done := s.guard.Check(by, from, now)
	switch verdict {
	case dnszone.VerdictReplay:
		s.unsigned(w, m, t, dns.ErrTime)
		return
	case dnszone.VerdictRateLimited:
		s.figures.flooded.Add(1)
		s.refuse(w, t, fmt.Errorf("more than %g updates a second", s.o.MaxUpdatesPerSecond), "updates are refused for their number")
		answer(w, new(dns.Msg).SetRcode(m, dns.RcodeRefused), t)
		return
	case dnszone.VerdictAccept:
		done = dnszone.Outcome{Sender: from, Rcode: s.perform(w, m, t, by, now)}
		if done.Rcode != dns.RcodeServerFailure { // which may be asked again as it is
			s.guard.Record(by, done, now)
		}
	}
	answer(w, new(dns.Msg).SetRcode(m, done.Rcode), t)
}

// perform gives the RCODE. The lock is held.
func (s *Server) perform(w dns.ResponseWriter, m *dns.Msg, t *dns.TSIG, by dnszone.Signature, now int64) int {
	if m.Truncated {
		return dns.RcodeFormatError
	}
	if s.journal == nil && s.o.Replicated == nil {
		return dns.RcodeRefused
	}
	judge := func() (*dnszone.Step, error) { return s.zone.Update(m, now, by) }
	var step *dnszone.Step
	var err error
	if s.o.Replicated != nil {
		step, err = s.share(judge)
	} else if step, err = judge(); err == nil && step.Change != nil {
		err = s.journal.add(step.Change)
	}
	var refusal *dnszone.UpdateError
	if errors.As(err, &refusal) {
		s.figures.refused.Add(1)
		s.refuse(w, t, err, "update refused")
		return refusal.Rcode
	}
	if err != nil { // with the store it may land yet, at all replicas
		s.figures.failed.Add(1)
		s.log(w, t).WithError(err).Error("update not done: it cannot be kept")
		return dns.RcodeServerFailure
	}
	if step.Change == nil {
		return dns.RcodeSuccess
	}
	s.figures.done.Add(1)
	s.step(step)
	s.log(w, t).WithField("serial", step.Zone.Serial()).WithField("come", len(step.Updated)).WithField("gone", len(step.Removed)).Info("update")
	return dns.RcodeSuccess
}

// step goes one change on. The lock is held.
func (s *Server) step(step *dnszone.Step) {
	s.zone, s.changes = step.Zone, append(s.changes, step.Change)
	s.asked.Store(s.zone)
	if len(step.Updated)+len(step.Removed) > 0 {
		s.o.Publish(step.Updated, step.Removed, false)
	}
	if len(step.Removed) > 0 && s.zone.BackendCount() == 0 {
		logging.For("dns").Error("the last backend is withdrawn: transactions are dismissed until an update or a zone file brings one")
	}
	var err error
	switch {
	case s.journal != nil && s.journal.lines >= mostChanges:
		err = s.journal.begin(s.zone, s.sum)
	case s.o.Replicated != nil && s.o.Replicated.Full():
		if err = s.o.Replicated.Adopt(s.zone, s.zone, s.sum); errors.Is(err, errBehind) {
			err = nil // another replica was quicker, or the next change finds it full
		}
	}
	if err != nil {
		logging.For("dns").WithError(err).Error("the changes cannot be written together")
	}
	if len(s.changes) >= mostChanges {
		s.changes = append([]*dnszone.Change(nil), s.changes[mostChanges/2:]...) // secondaries that lag by more get all
	}
	s.announce()
}
