package dnsserver

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/miekg/dns"

	"fawnplank/internal/dnszone"
	"fawnplank/internal/store/kv"
)

var set = dnszone.Settings{Origin: "calc.example.", Service: "_calc._tcp.calc.example."}

const top = `$ORIGIN calc.example.
$TTL 30
@ IN SOA ns admin %d 3600 600 86400 30
@ IN NS ns
ns IN A 127.0.0.1
`

const service = "_calc._tcp.calc.example. 30 IN SRV 0 100 7000 "

// text is a zone file with backends n1 to n.
func text(serial uint32, n int) string {
	s := fmt.Sprintf(top, serial)
	for i := 1; i <= n; i++ {
		s += fmt.Sprintf("_calc._tcp SRV 0 100 7000 n%d\nn%d A 127.0.%d.%d\n", i, i, 1+i/250, i%250)
	}
	return s
}

// ear keeps the list as it was told.
type ear struct {
	mu   sync.Mutex
	list map[string]dnszone.Backend
	last time.Time
}

func (e *ear) tell(u ListUpdate) {
	come, gone, whole := u.Updated, u.Removed, u.Full
	e.mu.Lock()
	defer e.mu.Unlock()
	if whole {
		e.list = map[string]dnszone.Backend{}
	}
	for _, b := range come {
		e.list[b.Name] = b
	}
	for _, n := range gone {
		delete(e.list, n)
	}
	e.last = time.Now()
}

func (e *ear) has(name string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, ok := e.list[name+".calc.example:7000"]
	return ok
}

func (e *ear) size() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.list)
}

var key = Key{"deploy.", dns.HmacSHA256, []byte("0123456789abcdef0123456789abcdef")}

// rig is a server on a folder.
type rig struct {
	*Server
	ear *ear
	o   Options
}

func start(t testing.TB, o Options) (*rig, error) {
	t.Helper()
	r := &rig{ear: &ear{}, o: o}
	o.Settings, o.ListenAddress, o.Publish = set, "127.0.0.1:0", r.ear.tell
	if o.Keys == nil {
		o.Keys = []Key{key, {"other.", dns.HmacSHA512, []byte("fedcba9876543210")}}
	}
	if o.MaxUpdatesPerSecond == 0 {
		o.MaxUpdatesPerSecond = 10000
	}
	var err error
	if r.Server, err = Start(o); err != nil {
		return nil, err
	}
	r.guard = dnszone.NewReplayGuard(o.MaxUpdatesPerSecond, time.Now().Add(-time.Minute).UnixNano()) // tests sign in the second of the start
	t.Cleanup(r.Close)
	return r, nil
}

func folder(t testing.TB, file string) Options {
	t.Helper()
	dir := t.TempDir()
	o := Options{ZoneFile: filepath.Join(dir, "calc.zone"), JournalFile: filepath.Join(dir, "calc.journal")}
	write(t, o.ZoneFile, file)
	return o
}

func write(t testing.TB, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

func must(t testing.TB, o Options) *rig {
	t.Helper()
	r, err := start(t, o)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func rr(t testing.TB, text string) []dns.RR {
	t.Helper()
	x, err := dns.NewRR(text)
	if err != nil {
		t.Fatal(err)
	}
	return []dns.RR{x}
}

// change is an update: records to add, and with a minus before them to take away.
func change(t testing.TB, texts ...string) *dns.Msg {
	m := new(dns.Msg).SetUpdate(set.Origin)
	for _, x := range texts {
		if y, ok := strings.CutPrefix(x, "-"); ok {
			m.Remove(rr(t, y))
		} else {
			m.Insert(rr(t, x))
		}
	}
	return m
}

// ask sends a message and gives the answer's RCODE, and the TSIG's own.
func (r *rig) ask(t testing.TB, net string, m *dns.Msg, k Key) (rcode, tsig int) {
	t.Helper()
	c := dns.Client{Net: net, Timeout: 3 * time.Second, TsigProvider: keyring{k.Name: k}}
	a, _, err := c.Exchange(m, r.Address())
	if a == nil {
		t.Fatal(err)
	}
	if s := a.IsTsig(); s != nil {
		tsig = int(s.Error)
		if tsig == 0 && err != nil && a.Rcode != dns.RcodeNotAuth { // at which the library does not look further
			t.Fatalf("the answer's signature: %v, %s", err, a)
		}
	}
	return a.Rcode, tsig
}

func signed(m *dns.Msg, k Key) *dns.Msg {
	return m.SetTsig(k.Name, k.Algorithm, FudgeSeconds, time.Now().Unix())
}

// Each message that is not to be followed is refused by its RCODE, and the list stands.
func TestRefusedMessages(t *testing.T) {
	r := must(t, folder(t, text(7, 2)))
	withdraw := func() *dns.Msg { return change(t, "-"+service+"n1.calc.example.") }
	stranger := Key{"stranger.", dns.HmacSHA256, key.Secret}
	wrong := Key{key.Name, key.Algorithm, []byte("another secret of the same name")}
	weak := Key{key.Name, dns.HmacSHA512, key.Secret}
	for name, x := range map[string]struct {
		m           *dns.Msg
		k           Key
		rcode, tsig int
	}{
		"not signed":        {withdraw(), key, dns.RcodeRefused, 0},
		"unknown key":       {signed(withdraw(), stranger), stranger, dns.RcodeNotAuth, dns.RcodeBadKey},
		"wrong secret":      {signed(withdraw(), wrong), wrong, dns.RcodeNotAuth, dns.RcodeBadSig},
		"another algorithm": {signed(withdraw(), weak), weak, dns.RcodeNotAuth, dns.RcodeBadKey},
		"long ago":          {withdraw().SetTsig(key.Name, key.Algorithm, FudgeSeconds, time.Now().Unix()-1000), key, dns.RcodeNotAuth, dns.RcodeBadTime},
		"long ago, said to be fresh": {withdraw().SetTsig(key.Name, key.Algorithm, 60000, time.Now().Unix()-1000), key, dns.RcodeNotAuth,
			dns.RcodeBadTime},
		"from the future":              {withdraw().SetTsig(key.Name, key.Algorithm, 60000, time.Now().Unix()+1000), key, dns.RcodeNotAuth, dns.RcodeBadTime},
		"half valid":                   {signed(change(t, "-"+service+"n1.calc.example.", service+"n9.calc.example."), key), key, dns.RcodeRefused, 0},
		"truncated":                    {func() *dns.Msg { m := withdraw(); m.Truncated = true; return signed(m, key) }(), key, dns.RcodeFormatError, 0},
		"another zone":                 {signed(new(dns.Msg).SetUpdate("other.example."), key), key, dns.RcodeNotAuth, 0},
		"transfer without a signature": {new(dns.Msg).SetAxfr(set.Origin), key, dns.RcodeRefused, 0},
		"notify":                       {new(dns.Msg).SetNotify(set.Origin), key, dns.RcodeNotImplemented, 0},
		"question of another zone":     {new(dns.Msg).SetQuestion("example.com.", dns.TypeA), key, dns.RcodeRefused, 0},
	} {
		for _, net := range []string{"udp", "tcp"} {
			m := x.m.Copy() // and not a replay
			if m.Id = dns.Id(); m.IsTsig() != nil {
				m.IsTsig().OrigId = m.Id
			}
			if rcode, tsig := r.ask(t, net, m, x.k); rcode != x.rcode || tsig != x.tsig {
				t.Errorf("%s by %s: %s and %s, not %s and %s", name, net, dns.RcodeToString[rcode], dns.RcodeToString[tsig],
					dns.RcodeToString[x.rcode], dns.RcodeToString[x.tsig])
			}
		}
	}
	if r.ear.size() != 2 || r.Serial() != 7 {
		t.Errorf("%v, serial %d", r.ear.list, r.Serial())
	}
	if rcode, _ := r.ask(t, "udp", signed(withdraw(), key), key); rcode != 0 || r.ear.has("n1") || r.Serial() != 8 {
		t.Errorf("%d: after all that an update in order is not done", rcode)
	}
}

// What is cut off or noise on the wire gets FORMERR or nothing, and the server goes on.
func TestNoiseOnTheWire(t *testing.T) {
	r := must(t, folder(t, text(7, 2)))
	whole, err := change(t, "-"+service+"n1.calc.example.").Pack()
	if err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("udp", r.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	buf := make([]byte, 4096)
	for n := 12; n < len(whole); n += 3 {
		c.Write(whole[:n])
		c.SetReadDeadline(time.Now().Add(3 * time.Second))
		k, err := c.Read(buf)
		var a dns.Msg
		// Cut off between two records it may be taken for a shorter one: without its signature, which is last.
		if err != nil || a.Unpack(buf[:k]) != nil || a.Rcode != dns.RcodeFormatError && a.Rcode != dns.RcodeRefused {
			t.Fatalf("cut off at %d: %v, %s", n, err, &a)
		}
	}
	c.Write([]byte{1, 2, 3})
	tcp, err := net.Dial("tcp", r.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer tcp.Close()
	tcp.Write(binary.BigEndian.AppendUint16(nil, 500)) // and no more
	if r.ear.size() != 2 {
		t.Error(r.ear.list)
	}
	if rcode, _ := r.ask(t, "tcp", signed(change(t, "-"+service+"n1.calc.example."), key), key); rcode != 0 || r.ear.size() != 1 {
		t.Error("it does not go on")
	}
}

// An update that comes again is done once: the sender who had no answer gets the one it would have had, anybody else
// is refused. One of an earlier life is refused too.
func TestReplays(t *testing.T) {
	o := folder(t, text(7, 2))
	r := must(t, o)
	k := keyring{key.Name: key}
	wire, _, err := dns.TsigGenerateWithProvider(signed(change(t, "-"+service+"n1.calc.example."), key), k, "", false)
	if err != nil {
		t.Fatal(err)
	}
	dial := func() net.Conn {
		c, err := net.Dial("udp", r.Address())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	send := func(c net.Conn) int {
		c.Write(wire)
		c.SetReadDeadline(time.Now().Add(3 * time.Second))
		buf, a := make([]byte, 4096), new(dns.Msg)
		n, err := c.Read(buf)
		if err != nil || a.Unpack(buf[:n]) != nil {
			t.Fatal(err)
		}
		return a.Rcode
	}
	mine := dial()
	if send(mine) != 0 || r.ear.has("n1") {
		t.Fatal("not done")
	}
	if rcode, _ := r.ask(t, "tcp", signed(change(t, service+"n1.calc.example."), key), key); rcode != 0 || !r.ear.has("n1") {
		t.Fatal("not brought back")
	}
	if send(mine) != 0 || !r.ear.has("n1") {
		t.Error("the sender's own repeat was done twice, or refused")
	}
	if send(dial()) != dns.RcodeNotAuth || !r.ear.has("n1") {
		t.Error("a replay was not refused")
	}
	r.Close()
	r = must(t, o)
	r.guard = dnszone.NewReplayGuard(100, time.Now().UnixNano()) // as at a start
	if send(dial()) != dns.RcodeNotAuth || !r.ear.has("n1") {
		t.Error("a replay was not refused after a restart")
	}
}

// The rule between file and updates: the higher serial holds, also over a restart, and round the circle of serials.
func TestTheHigherSerialHolds(t *testing.T) {
	o := folder(t, text(4294967290, 3))
	r := must(t, o)
	do := func(texts ...string) {
		t.Helper()
		if rcode, _ := r.ask(t, "udp", signed(change(t, texts...), key), key); rcode != 0 {
			t.Fatal(dns.RcodeToString[rcode])
		}
	}
	is := func(what string, serial uint32, size int) {
		t.Helper()
		if r.Serial() != serial || r.ear.size() != size {
			t.Fatalf("%s: serial %d with %d backends, not %d with %d", what, r.Serial(), r.ear.size(), serial, size)
		}
	}
	do("-" + service + "n1.calc.example.")
	do("-" + service + "n2.calc.example.")
	is("two updates", 4294967292, 1)
	write(t, o.ZoneFile, text(4294967291, 3))
	r.Reload()
	is("a file that contradicts, with a lower serial", 4294967292, 1)
	write(t, o.ZoneFile, text(4294967295, 3)+"x MX 1 ns\n")
	r.Reload()
	is("a faulty file", 4294967292, 1)
	r.Close()
	r = must(t, o)
	is("a restart with a faulty file", 4294967292, 1)
	for i := range 4 {
		do(fmt.Sprintf("x%d.calc.example. A 127.9.9.%d", i, i+1))
	}
	is("the serial's wrap, which leaves 0 out", 1, 1)
	write(t, o.ZoneFile, text(4294967295, 3))
	r.Reload()
	is("a file from before the wrap", 1, 1)
	write(t, o.ZoneFile, text(2, 3))
	r.Reload()
	is("a newer file", 2, 3)
	if b := r.ear.list["n1.calc.example:7000"]; b.StartNanos() == 0 || r.ear.list["n3.calc.example:7000"].StartNanos() != 0 {
		t.Errorf("one that returned with the file is not new, or one that stayed is: %+v", r.ear.list)
	}
	r.Close()
	r = must(t, o)
	is("a restart", 2, 3)
	do("-"+service+"n1.calc.example.", "-"+service+"n2.calc.example.", "-"+service+"n3.calc.example.")
	is("the last is withdrawn", 3, 0)
	r.Close()
	r = must(t, o)
	is("a restart without any", 3, 0)
}

// However the journal's writing is broken off, a start finds the zone before the update or after it, never another
// one; and damage that a broken write cannot explain is refused by name.
func TestJournalBrokenOff(t *testing.T) {
	o := folder(t, text(7, 3))
	r := must(t, o)
	var sizes []int64
	for n := 1; n <= 3; n++ {
		info, _ := os.Stat(o.JournalFile)
		sizes = append(sizes, info.Size())
		if rcode, _ := r.ask(t, "udp", signed(change(t, fmt.Sprintf("-%sn%d.calc.example.", service, n)), key), key); rcode != 0 {
			t.Fatal(rcode)
		}
	}
	r.Close()
	whole, err := os.ReadFile(o.JournalFile)
	if err != nil {
		t.Fatal(err)
	}
	for n := sizes[0]; n <= int64(len(whole)); n++ {
		done := 0
		for _, s := range append(sizes[1:], int64(len(whole))) {
			if n >= s {
				done++
			}
		}
		for _, tail := range []string{"", "\x00\x00\x00", "0000"} { // what a file system may leave behind a broken write
			if done == 3 && tail == "0000" {
				continue
			}
			write(t, o.JournalFile, string(whole[:n])+tail)
			s, err := readJournal(o.JournalFile, set)
			if err != nil || s.zone.Serial() != 7+uint32(done) || len(s.zone.Backends()) != 3-done {
				t.Fatalf("cut at %d of %d: %v, %+v", n, len(whole), err, s)
			}
		}
	}
	write(t, o.JournalFile, string(whole[:sizes[2]+20])) // a torn line is cut off, and the next one stands whole behind
	r = must(t, o)
	if rcode, _ := r.ask(t, "udp", signed(change(t, "-"+service+"n3.calc.example."), key), key); rcode != 0 {
		t.Fatal(rcode)
	}
	r.Close()
	if s, err := readJournal(o.JournalFile, set); err != nil || s.tornBytes != 0 || len(s.changes) != 3 {
		t.Fatal(err, s)
	}
	for at, want := range map[int64]string{20: ".journal:1: the checksum", sizes[0] + 30: ".journal:2: the checksum", sizes[1] + 9: ".journal:3: "} {
		bad := []byte(string(whole))
		bad[at] ^= 4
		write(t, o.JournalFile, string(bad))
		if _, err := start(t, o); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("damage at %d: %v", at, err)
		}
	}
	write(t, o.JournalFile, "")
	if _, err := start(t, o); err == nil {
		t.Error("an empty journal was taken for none")
	}
}

// A journal that cannot be written: the update is refused with SERVFAIL and is not done, and the next one that can be
// kept is.
func TestUpdatesThatCannotBeKept(t *testing.T) {
	o := folder(t, text(7, 3))
	r := must(t, o)
	good := r.journal.file
	r.mu.Lock()
	r.journal.file, _ = os.Open(o.JournalFile) // not for writing
	r.mu.Unlock()
	m := signed(change(t, "-"+service+"n1.calc.example."), key)
	if rcode, _ := r.ask(t, "udp", m.Copy(), key); rcode != dns.RcodeServerFailure || !r.ear.has("n1") || r.Serial() != 7 {
		t.Errorf("%d, serial %d", rcode, r.Serial())
	}
	r.mu.Lock()
	r.journal.file, r.journal.failed = good, nil
	r.mu.Unlock()
	if rcode, _ := r.ask(t, "udp", m, key); rcode != 0 || r.ear.has("n1") {
		t.Error(rcode)
	}
}

// Floods: no more updates are done than are allowed, unsigned ones cost none of those, and memory is bounded.
func TestFloods(t *testing.T) {
	o := folder(t, text(7, 3))
	o.MaxUpdatesPerSecond = 5
	r := must(t, o)
	done, refused := 0, 0
	began := time.Now()
	for n := range 40 {
		switch rcode, _ := r.ask(t, "tcp", signed(change(t, fmt.Sprintf("x%d.calc.example. A 127.0.9.1", n)), key), key); rcode {
		case 0:
			done++
		case dns.RcodeRefused:
			refused++
		}
	}
	if most := 5 + int(5*time.Since(began).Seconds()) + 1; done > most || done < 5 || done+refused != 40 {
		t.Errorf("%d done, %d refused; %d allowed", done, refused, most)
	}
	var q logLimiter
	lines, skipped := 0, uint64(0)
	for n := range int64(1000) { // a hundred a second
		if more, ok := q.allow(1 + n/100); ok {
			lines++
			skipped += more
		}
	}
	if lines != 10 || skipped != 9*99 {
		t.Errorf("%d log lines on a flood, which tell of %d more", lines, skipped)
	}
	g := dnszone.NewReplayGuard(10, 0)
	now := int64(1e12)
	for n := range 50000 { // at one a tenth of a second: more than an hour
		now += 1e8
		by := dnszone.Signature{MAC: fmt.Sprint(n), SignedSeconds: now / 1e9}
		if v, _ := g.Check(by, "x", now); v != dnszone.VerdictAccept {
			t.Fatal(n, v)
		}
		g.Record(by, dnszone.Outcome{Sender: "x"}, now)
	}
	if n := g.Len(); n > 10*dnszone.FudgeSeconds+11 {
		t.Errorf("%d remembered", n)
	}
}

// A second process with the same journal goes by it, and takes it over once the first lets go: an upgrade.
func TestTakeOver(t *testing.T) {
	o := folder(t, text(7, 3))
	old := must(t, o)
	now := must(t, o)
	if now.Address() != "" || now.ear.size() != 3 {
		t.Fatal("it listens beside the other, or has no list")
	}
	old.ask(t, "udp", signed(change(t, "-"+service+"n1.calc.example."), key), key)
	wait(t, "the other's update", func() bool { return !now.ear.has("n1") })
	old.Close()
	wait(t, "the journal", func() bool { return now.Address() != "" })
	if rcode, _ := now.ask(t, "udp", signed(change(t, "-"+service+"n2.calc.example."), key), key); rcode != 0 || now.ear.size() != 1 {
		t.Error(rcode, now.ear.list)
	}
}

func wait(t testing.TB, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !is(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not within ten seconds: " + what)
		}
	}
}

// Queries are answered with authority, and a secondary that is told of a change gets it, whole or as changes alone.
func TestQueriesAndSecondaries(t *testing.T) {
	told := make(chan uint32, 10)
	secondary, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ns := &dns.Server{PacketConn: secondary, Handler: dns.HandlerFunc(func(w dns.ResponseWriter, m *dns.Msg) {
		if m.Opcode == dns.OpcodeNotify && len(m.Answer) == 1 {
			told <- m.Answer[0].(*dns.SOA).Serial
		}
		w.WriteMsg(new(dns.Msg).SetReply(m))
	})}
	go ns.ActivateAndServe()
	defer ns.Shutdown()
	o := folder(t, text(7, 400)+"alias CNAME n1\n")
	o.Secondaries = []string{secondary.LocalAddr().String()}
	r := must(t, o)
	for _, x := range []struct {
		name    string
		kind    uint16
		rcode   int
		answers int
	}{
		{"calc.example.", dns.TypeSOA, 0, 1}, {"n1.calc.example.", dns.TypeA, 0, 1}, {"N1.Calc.Example.", dns.TypeA, 0, 1}, {"n1.calc.example.", dns.TypeAAAA, 0, 0},
		{"alias.calc.example.", dns.TypeA, 0, 2}, {"nobody.calc.example.", dns.TypeA, dns.RcodeNameError, 0}, {"_tcp.calc.example.", dns.TypeA, 0, 0},
	} {
		a, _, err := new(dns.Client).Exchange(new(dns.Msg).SetQuestion(x.name, x.kind), r.Address())
		if err != nil || a.Rcode != x.rcode || len(a.Answer) != x.answers || !a.Authoritative || x.answers == 0 && len(a.Ns) != 1 {
			t.Errorf("%s %s: %v, %s", x.name, dns.Type(x.kind), err, a)
		}
	}
	q := new(dns.Msg).SetQuestion(set.Service, dns.TypeSRV)
	if a, _, err := new(dns.Client).Exchange(q, r.Address()); err != nil || !a.Truncated {
		t.Error("an answer that does not fit a packet does not say so")
	}
	if a, _, err := (&dns.Client{Net: "tcp"}).Exchange(q, r.Address()); err != nil || len(a.Answer) != 400 {
		t.Error("by TCP it is not whole")
	}
	count := func(m *dns.Msg) (n int) {
		tr := &dns.Transfer{TsigProvider: keyring{key.Name: key}}
		all, err := tr.In(signed(m, key), r.Address())
		if err != nil {
			t.Fatal(err)
		}
		for e := range all {
			if e.Error != nil {
				t.Fatal(e.Error)
			}
			n += len(e.RR)
		}
		return n
	}
	if n := count(new(dns.Msg).SetAxfr(set.Origin)); n != 400*2+3+2 {
		t.Errorf("%d records in a transfer", n)
	}
	for n := 1; n <= 2; n++ {
		r.ask(t, "udp", signed(change(t, fmt.Sprintf("-%sn%d.calc.example.", service, n)), key), key)
	}
	if n := count(new(dns.Msg).SetIxfr(set.Origin, 7, "ns.", "admin.")); n != 2+2*3 {
		t.Errorf("%d records for two changes", n)
	}
	if n := count(new(dns.Msg).SetIxfr(set.Origin, 9, "ns.", "admin.")); n != 1 {
		t.Errorf("%d records for none", n)
	}
	if n := count(new(dns.Msg).SetIxfr(set.Origin, 3, "ns.", "admin.")); n != 398+400+3+2 {
		t.Errorf("%d records where the changes are not known", n)
	}
	for last := uint32(0); last != 9; {
		select {
		case last = <-told:
		case <-time.After(5 * time.Second):
			t.Fatal("the secondary was not told of the last change")
		}
	}
}

// replicas are a store as its replicas see it: one log of commands, which each hears late.
type replicas struct {
	mu  sync.Mutex
	log [][]byte
	all []*replica
	cut bool // no leader
}

type replica struct {
	of   *replicas
	mu   sync.Mutex
	kv   *kv.State
	seen int
	news func()
}

func (r *replica) ReadLocal(key string) (kv.Entry, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.kv.Get(key)
}

func (r *replica) Edit(edits []kv.Edit) error {
	c, err := kv.Encode(edits)
	if err != nil {
		return err
	}
	r.of.mu.Lock()
	defer r.of.mu.Unlock()
	if r.of.cut {
		return errors.New("no leader")
	}
	leader := kv.New()
	for n, x := range append(r.of.log, c) {
		_, err = leader.Apply(kv.Index(n+1), x)
	}
	r.of.log = append(r.of.log, c)
	return err
}

func (r *replica) hear() {
	r.of.mu.Lock()
	log := r.of.log
	r.of.mu.Unlock()
	r.mu.Lock()
	news := r.seen < len(log)
	for ; r.seen < len(log); r.seen++ {
		r.kv.Apply(kv.Index(r.seen+1), log[r.seen])
	}
	tell := r.news // read here: the test sets it once the replica's server has started
	r.mu.Unlock()
	if news && tell != nil {
		tell()
	}
}

// With the store, updates at all replicas at once land in all of them, each once, in one order; without a leader an
// update lands nowhere and is not answered as done.
func TestSharedUpdates(t *testing.T) {
	of := &replicas{}
	stop := make(chan struct{})
	defer close(stop)
	var rigs []*rig
	for range 3 {
		x := &replica{of: of, kv: kv.New()}
		of.all = append(of.all, x)
		go func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(2 * time.Millisecond):
					x.hear()
				}
			}
		}()
		o := folder(t, text(7, 2))
		o.Replicated = &ReplicatedZone{x}
		r := must(t, o)
		x.mu.Lock()
		x.news = func() { go r.StoreChanged() } // it waits for updates that wait for this replica
		x.mu.Unlock()
		rigs = append(rigs, r)
	}
	if none := must(t, func() Options {
		o := folder(t, text(7, 2))
		o.Replicated = &ReplicatedZone{&replica{of: &replicas{cut: true}, kv: kv.New()}}
		return o
	}()); none.Serial() != 0 || none.ear.size() != 0 { // its figures are asked for before there is a leader
		t.Error("a list without the store: ", none.ear.list)
	}
	for _, r := range rigs {
		wait(t, "the first list", func() bool { return r.Address() != "" && r.ear.size() == 2 })
	}
	var all sync.WaitGroup
	for n, r := range rigs {
		all.Go(func() {
			for i := range 15 {
				name := fmt.Sprintf("m%d-%d.calc.example.", n, i)
				m := signed(change(t, service+name, fmt.Sprintf("%s A 127.1.%d.%d", name, n, i+1)), key)
				if rcode, _ := r.ask(t, "tcp", m, key); rcode != 0 {
					t.Errorf("%s: %s", name, dns.RcodeToString[rcode])
				}
			}
		})
	}
	all.Wait()
	same := func(serial uint32, size int) func() bool {
		return func() bool {
			for _, r := range rigs {
				if r.Serial() != serial || r.ear.size() != size {
					return false
				}
			}
			return true
		}
	}
	wait(t, "45 updates at all three", same(52, 47))
	of.mu.Lock()
	of.cut = true
	of.mu.Unlock()
	if rcode, _ := rigs[0].ask(t, "tcp", signed(change(t, "-"+service+"n1.calc.example."), key), key); rcode != dns.RcodeServerFailure {
		t.Error("answered as done without a leader: ", rcode)
	}
	of.mu.Lock()
	of.cut = false
	of.mu.Unlock()
	if !same(52, 47)() {
		t.Error("done without a leader")
	}
	write(t, rigs[1].o.ZoneFile, text(90, 4)) // a newer file at one replica is every replica's
	rigs[1].Reload()
	wait(t, "the file at all three", same(90, 4))
	for n := range maxStoredChanges + 20 { // the changes are written together on the way
		if rcode, _ := rigs[n%3].ask(t, "tcp", signed(change(t, fmt.Sprintf("x%d.calc.example. A 127.7.7.7", n)), key), key); rcode != 0 {
			t.Fatal(n, dns.RcodeToString[rcode])
		}
	}
	wait(t, "many changes at all three", same(90+maxStoredChanges+20, 4))
	h, _, _ := rigs[0].o.Replicated.readHead()
	if h.Changes > maxStoredChanges || h.Base == 90 {
		t.Errorf("%+v: the changes were never written together", h)
	}
	if s, err := rigs[2].o.Replicated.load(set); err != nil || s.zone.Serial() != 90+maxStoredChanges+20 {
		t.Error(err)
	}
}

// Messages of any form, whatever their signature, end in an answer or in nothing.
func FuzzMessages(f *testing.F) {
	r := must(f, folder(f, text(7, 2)))
	for _, m := range []*dns.Msg{signed(change(f, "-"+service+"n1.calc.example."), key), new(dns.Msg).SetQuestion(set.Service, dns.TypeSRV), new(dns.Msg).SetAxfr(set.Origin)} {
		text, _ := m.Pack()
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		m := new(dns.Msg)
		if m.Unpack(text) != nil || len(m.Question) != 1 { // what the library lets through
			return
		}
		w := &nobody{status: dns.ErrSig}
		if m.IsTsig() == nil {
			w.status = nil
		}
		r.ServeDNS(w, m)
		if r.ear.size() != 2 || w.panicked() {
			t.Fatal("an update that nobody signed was done, or a panic")
		}
	})
}

// nobody is somebody who asks, and whose signature is as it is.
type nobody struct {
	dns.ResponseWriter
	status error
	said   *dns.Msg
}

func (n *nobody) RemoteAddr() net.Addr { return &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)} }
func (n *nobody) TsigStatus() error    { return n.status }
func (n *nobody) TsigTimersOnly(bool)  {}
func (n *nobody) Close() error         { return nil }
func (n *nobody) panicked() bool       { return n.said == nil }
func (n *nobody) WriteMsg(m *dns.Msg) error {
	n.said = m
	_, err := m.Pack()
	return err
}

func BenchmarkUpdatesBySocket(b *testing.B) {
	r := must(b, folder(b, text(7, 1000)))
	r.guard = dnszone.NewReplayGuard(1e9, 0)
	r.messages.ratePerSecond = 1e9
	n := 0
	for b.Loop() {
		n++
		m := change(b, service+"n1.calc.example.")
		if n%2 == 1 {
			m = change(b, "-"+service+"n1.calc.example.")
		}
		m.Insert(rr(b, fmt.Sprintf("t.calc.example. TXT %d", n)))
		m.Remove(rr(b, fmt.Sprintf("t.calc.example. TXT %d", n-1)))
		if rcode, _ := r.ask(b, "udp", signed(m, key), key); rcode != 0 {
			b.Fatal(rcode)
		}
	}
}
