// Package zone is what a DNS zone says of the backends, as a pure module: a master file (RFC 1035) or records go in, a
// list of backends comes out, and dynamic updates (RFC 2136) make a new zone of an old one, whole or not at all. It
// reads no clock, no file and no socket, and what it gives depends on its arguments alone: the same changes give the
// same zone on every replica. docs/dns.md is the operators' page.
package dnszone

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"github.com/miekg/dns"
	"github.com/tidwall/btree"
)

// Settings say which zone it is, and where the backends stand in it. Names are fully qualified.
type Settings struct {
	Origin  string // of the zone
	Service string // the name that holds the SRV records
}

// Canonical brings names to one form, and says what is wrong with them.
func (s Settings) Canonical() (Settings, error) {
	for _, n := range []string{s.Origin, s.Service} {
		if _, ok := dns.IsDomainName(n); !ok || n == "" || n == "." {
			return s, fmt.Errorf("%q is no name of a zone", n)
		}
	}
	s.Origin, s.Service = dns.CanonicalName(s.Origin), dns.CanonicalName(s.Service)
	if !dns.IsSubDomain(s.Origin, s.Service) {
		return s, fmt.Errorf("service %s does not lie in the zone %s", s.Service, s.Origin)
	}
	return s, nil
}

// Provenance tells where a backend in the list came from.
type Provenance struct {
	StartNanos int64  `json:"started,omitempty"` // unix ns; 0: long ago. Until a start is stated, that it was listed
	File    string `json:"file,omitempty"`
	Line    int    `json:"line,omitempty"`
	Key     string `json:"key,omitempty"` // that signed the update
	Serial  uint32 `json:"serial"`        // of the zone that first had it
}

// Backend is an entry of the list.
type Backend struct {
	Name      string // target:port, in lower case, without the last dot
	Addresses []netip.AddrPort
	Zone      string
	Group     uint16
	Draining  bool
	Weight      float64 // 1: an ordinary one
	Priority  uint16
	StatedStartNanos    int64 // its start, where the zone states one, unix ns; 0: not
	Provenance      Provenance
}

// StartNanos is when it started, unix ns; 0: long ago.
func (b Backend) StartNanos() int64 { return cmp.Or(b.StatedStartNanos, b.Provenance.StartNanos) }

func (b Backend) equal(o Backend) bool {
	return b.Name == o.Name && b.Zone == o.Zone && b.Group == o.Group && b.Draining == o.Draining && b.Weight == o.Weight &&
		b.StartNanos() == o.StartNanos() && slices.Equal(b.Addresses, o.Addresses)
}

// Change is what an update did, to be kept and done again elsewhere: records gone and come, in master form.
type Change struct {
	FromSerial uint32   `json:"from"` // serial before
	ToSerial   uint32   `json:"to"`   // and after
	Deleted  []string `json:"del,omitempty"`
	Added  []string `json:"add,omitempty"`
	AtNanos   int64    `json:"at"` // unix ns, of the door that took it
	Signature   Signature       `json:"by"`
}

// Signature is the signature of an update: with it a replay is known again.
type Signature struct {
	KeyName    string `json:"key"`
	SignedSeconds int64  `json:"signed"` // unix seconds
	MAC    string `json:"mac"`
}

// types are the records that a zone here may hold; what else stands in a file is a fault of it.
var types = []uint16{dns.TypeSOA, dns.TypeNS, dns.TypeSRV, dns.TypeA, dns.TypeAAAA, dns.TypeTXT, dns.TypeCNAME}

// Zone is a zone. It is not changed: an update makes a new one, which shares with it all that stayed the same. So an
// update costs what it touches, not what the zone holds.
type Zone struct {
	Settings
	records btree.Map[string, dns.RR]  // by place
	entries btree.Map[string, Backend] // of all SRV records, by name, also those that wait behind others
	at      btree.Map[string, string]  // name of the entry at an address
	aliased map[string]bool            // targets whose addresses stand behind aliases
	counts  map[uint16]count           // of entries, by priority
	first   uint16                     // the priority that is served
	lines   map[dns.RR]int             // of a file just read
	file    string
}

type count struct{ serving, all int }

// place is where a record stands: name, type and data, those of SRV with the target first. Of records that differ
// in their TTL alone there is one.
func place(rr dns.RR) string {
	h := rr.Header()
	data := strings.TrimPrefix(rr.String(), h.String())
	if srv, ok := rr.(*dns.SRV); ok {
		data = fmt.Sprintf("%s\x00%05d\x00%05d %05d", srv.Target, srv.Port, srv.Priority, srv.Weight)
	}
	return prefix(h.Name, h.Rrtype) + data
}

func prefix(name string, t uint16) string { return name + "\x00" + dns.Type(t).String() + "\x00" }

// canonical brings the names in a record to one form.
func canonical(rr dns.RR) dns.RR {
	rr.Header().Name = dns.CanonicalName(rr.Header().Name)
	switch x := rr.(type) {
	case *dns.SRV:
		x.Target = dns.CanonicalName(x.Target)
	case *dns.CNAME:
		x.Target = dns.CanonicalName(x.Target)
	case *dns.NS:
		x.Ns = dns.CanonicalName(x.Ns)
	}
	return rr
}

// host is what stands at an SRV record's target.
type host struct {
	addresses []netip.Addr
	zone      string
	group     uint16
	draining  bool
	size      float64 // 0: not stated
	started   int64   // 0: not stated
}

// mostRecords bounds a zone: three records for each of a hundred thousand backends.
const mostRecords = 300_000

// counter counts the lines that the parser, which reads bytes singly, has taken.
type counter struct {
	*bytes.Reader
	line int
}

func (c *counter) ReadByte() (byte, error) {
	b, err := c.Reader.ReadByte()
	if err == nil && b == '\n' {
		c.line++
	}
	return b, err
}

// Parse reads a master file. name stands for it in errors, which have the form "name:line: what". Its backends have
// been there for long, unless their records say otherwise.
func Parse(name string, text []byte, s Settings) (*Zone, error) {
	s, err := s.Canonical()
	if err != nil {
		return nil, err
	}
	if n := len(text); n > 0 && text[n-1] != '\n' {
		text = append(slices.Clone(text), '\n')
	}
	z := &Zone{Settings: s, lines: map[dns.RR]int{}, file: name}
	in := &counter{Reader: bytes.NewReader(text)}
	p := dns.NewZoneParser(in, s.Origin, name)
	p.SetDefaultTTL(60)
	for rr, ok := p.Next(); ok; rr, ok = p.Next() {
		canonical(rr)
		z.lines[rr] = in.line
		if err := z.allowed(rr); err != nil {
			return nil, z.fault(rr, err)
		}
		_, twice := z.records.Set(place(rr), rr)
		if twice || rr.Header().Rrtype == dns.TypeSOA && len(z.RRset(s.Origin, dns.TypeSOA)) > 1 {
			return nil, z.fault(rr, fmt.Errorf("%s %s stands twice", rr.Header().Name, dns.Type(rr.Header().Rrtype)))
		}
		if z.records.Len() > mostRecords {
			return nil, z.fault(rr, fmt.Errorf("more than %d records", mostRecords))
		}
	}
	if err := p.Err(); err != nil {
		// The library says "NAME: dns: WHAT at line: LINE:COLUMN".
		what, at, _ := strings.Cut(strings.TrimPrefix(strings.TrimPrefix(err.Error(), name+": "), "dns: "), " at line: ")
		line, _, _ := strings.Cut(at, ":")
		return nil, fmt.Errorf("%s:%s: %s", name, cmp.Or(line, strconv.Itoa(in.line)), what)
	}
	if z.soa() == nil {
		return nil, fmt.Errorf("%s:1: no SOA record of %s", name, s.Origin)
	}
	if len(z.RRset(s.Service, dns.TypeSRV)) == 0 {
		return nil, fmt.Errorf("%s:%d: %s has no SRV record: a service without any backend is taken for a mistake", name, z.lines[z.soa()], s.Service)
	}
	return z.listed(func(_ string, rr dns.RR) Provenance { return Provenance{File: name, Line: z.lines[rr], Serial: z.Serial()} })
}

// listed is the zone with its list, made anew of all its records.
func (z *Zone) listed(newborn func(name string, rr dns.RR) Provenance) (*Zone, error) {
	o := z.overlay()
	for _, rr := range z.RRset(z.Service, dns.TypeSRV) {
		o.touched[rr.(*dns.SRV).Target] = true
	}
	if err := o.list(newborn); err != nil {
		return nil, err
	}
	return o.next, nil
}

// allowed says what is wrong with a record by itself.
func (z *Zone) allowed(rr dns.RR) error {
	h := rr.Header()
	switch {
	case h.Class != dns.ClassINET:
		return fmt.Errorf("%s is of class %s", h.Name, dns.Class(h.Class))
	case !dns.IsSubDomain(z.Origin, h.Name):
		return fmt.Errorf("%s does not lie in the zone %s", h.Name, z.Origin)
	case !slices.Contains(types, h.Rrtype):
		return fmt.Errorf("%s: records of type %s have no place here", h.Name, dns.Type(h.Rrtype))
	case h.Rrtype == dns.TypeSOA && h.Name != z.Origin:
		return fmt.Errorf("SOA record at %s, which is not the zone's name", h.Name)
	case h.Rrtype == dns.TypeSRV && h.Name != z.Service:
		return fmt.Errorf("SRV record at %s; the service is %s", h.Name, z.Service)
	}
	return nil
}

// fault names file and line of a record, as far as they are known.
func (z *Zone) fault(rr dns.RR, err error) error {
	if line := z.lines[rr]; line > 0 {
		return fmt.Errorf("%s:%d: %w", z.file, line, err)
	}
	return err
}

func (z *Zone) soa() *dns.SOA {
	if x := z.RRset(z.Origin, dns.TypeSOA); len(x) == 1 {
		return x[0].(*dns.SOA)
	}
	return nil
}

// Serial is the zone's.
func (z *Zone) Serial() uint32 { return z.soa().Serial }

// SerialNewer says whether serial a comes after b (RFC 1982, 3.2). Of two that are half the circle apart neither does.
func SerialNewer(a, b uint32) bool { return a != b && a-b < 1<<31 }

// after is the serial that follows. 0 is left out: secondaries take it for a zone not loaded yet.
func after(s uint32) uint32 { return max(s+1, 1) }

// Backends is the list, in order of names.
func (z *Zone) Backends() (list []Backend) {
	z.entries.Scan(func(_ string, b Backend) bool {
		if z.serves(b) {
			list = append(list, b)
		}
		return true
	})
	return list
}

// BackendCount is how many backends the list has; Backends takes a time that grows with them.
func (z *Zone) BackendCount() int { return z.counts[z.first].all }

// serves says whether an entry is in the list. The records of the lowest priority that has one which is not draining
// are (RFC 2782); those behind them wait until none is left.
func (z *Zone) serves(b Backend) bool { return b.Priority == z.first }

// RRset gives the records of a name and type; with the type ANY all of the name's. They are not to be changed.
func (z *Zone) RRset(name string, t uint16) (rrs []dns.RR) {
	from := prefix(dns.CanonicalName(name), t)
	if t == dns.TypeANY {
		from = dns.CanonicalName(name) + "\x00"
	}
	z.records.Ascend(from, func(at string, rr dns.RR) bool {
		if !strings.HasPrefix(at, from) {
			return false
		}
		rrs = append(rrs, rr)
		return true
	})
	return rrs
}

// Records are all records, the SOA first.
func (z *Zone) Records() []dns.RR {
	all := []dns.RR{z.soa()}
	z.records.Scan(func(_ string, rr dns.RR) bool {
		if rr.Header().Rrtype != dns.TypeSOA {
			all = append(all, rr)
		}
		return true
	})
	return all
}

// Snapshot is a zone in a form to be kept.
type Snapshot struct {
	Records []string        `json:"records"`
	Provenance    map[string]Provenance `json:"born"`
}

// Snapshot gives it.
func (z *Zone) Snapshot() (s Snapshot) {
	for _, rr := range z.Records() {
		s.Records = append(s.Records, rr.String())
	}
	s.Provenance = map[string]Provenance{}
	z.entries.Scan(func(name string, b Backend) bool {
		s.Provenance[name] = b.Provenance
		return true
	})
	return s
}

// Restore makes a zone of a snapshot, which is checked as a file is. An empty service is no fault here: updates may
// have withdrawn the last backend.
func Restore(snap Snapshot, s Settings) (*Zone, error) {
	s, err := s.Canonical()
	if err != nil {
		return nil, err
	}
	z := &Zone{Settings: s}
	for _, text := range snap.Records {
		rr, err := record(text)
		if err == nil {
			err = z.allowed(rr)
		}
		if err != nil {
			return nil, fmt.Errorf("record %.80q: %w", text, err)
		}
		z.records.Set(place(rr), rr)
	}
	if z.soa() == nil {
		return nil, fmt.Errorf("not one SOA record of %s", s.Origin)
	}
	return z.listed(func(name string, _ dns.RR) Provenance { return snap.Provenance[name] })
}

func record(text string) (dns.RR, error) {
	rr, err := dns.NewRR(text)
	if err != nil {
		return nil, err
	}
	if rr == nil {
		return nil, errors.New("no record")
	}
	return canonical(rr), nil
}

// Replacing is a zone of a file just read that takes the place of the one in force. Its backends that were in force
// already go on as they are; the others are new, and cold, since then.
func (z *Zone) Replacing(old *Zone, at int64) *Zone {
	next := z.copy()
	z.entries.Scan(func(name string, b Backend) bool {
		b.Provenance.StartNanos = at
		if was, ok := old.entries.Get(name); ok {
			b.Provenance.StartNanos = was.Provenance.StartNanos
		}
		next.entries.Set(name, b)
		return true
	})
	return next
}

// copy costs little, whatever the zone holds.
func (z *Zone) copy() *Zone {
	return &Zone{Settings: z.Settings, records: *z.records.Copy(), entries: *z.entries.Copy(), at: *z.at.Copy(),
		aliased: maps.Clone(z.aliased), counts: maps.Clone(z.counts), first: z.first}
}

// Diff is what has changed between two lists: new and changed entries, and the names of those gone.
func Diff(old, now *Zone) (come []Backend, gone []string) {
	now.entries.Scan(func(name string, b Backend) bool {
		come, gone = differs(old, now, name, come, gone)
		return true
	})
	old.entries.Scan(func(name string, _ Backend) bool {
		if _, ok := now.entries.Get(name); !ok {
			come, gone = differs(old, now, name, come, gone)
		}
		return true
	})
	return come, gone
}

func differs(old, now *Zone, name string, come []Backend, gone []string) ([]Backend, []string) {
	was, ok := old.entries.Get(name)
	ok = ok && old.serves(was)
	is, there := now.entries.Get(name)
	there = there && now.serves(is)
	if there && !(ok && was.equal(is)) {
		come = append(come, is)
	} else if ok && !there {
		gone = append(gone, name)
	}
	return come, gone
}

// most aliases are followed from a target to its addresses; a loop is longer than any.
const mostAliases = 8

// mark begins the texts that speak of a backend; others at its name are left alone.
const mark = "fawnplank"

// host reads what stands at a target. Attributes stand at the target's own name, addresses may stand behind aliases.
func (o *overlay) host(target string) (*host, error) {
	h, at := &host{}, target
	for n := 0; ; n++ {
		alias := o.next.RRset(at, dns.TypeCNAME)
		if len(alias) == 0 {
			break
		}
		if n == mostAliases {
			return nil, o.z.fault(alias[0], fmt.Errorf("the names behind %s make a loop, or more than %d steps", target, mostAliases))
		}
		at = dns.CanonicalName(alias[0].(*dns.CNAME).Target)
	}
	for _, rr := range o.next.RRset(at, dns.TypeAAAA) {
		if a, ok := netip.AddrFromSlice(rr.(*dns.AAAA).AAAA); ok {
			h.addresses = append(h.addresses, a.Unmap())
		}
	}
	for _, rr := range o.next.RRset(at, dns.TypeA) {
		if a, ok := netip.AddrFromSlice(rr.(*dns.A).A.To4()); ok {
			h.addresses = append(h.addresses, a)
		}
	}
	for _, a := range h.addresses {
		if a.IsUnspecified() || a.IsMulticast() {
			return nil, fmt.Errorf("%s has the address %s, which no backend can have", at, a)
		}
	}
	if len(h.addresses) == 0 {
		return nil, fmt.Errorf("%s has no address in the zone (looked for at %s)", target, at)
	}
	slices.SortFunc(h.addresses, netip.Addr.Compare) // the same at every door
	found := false
	for _, rr := range o.next.RRset(target, dns.TypeTXT) {
		words := rr.(*dns.TXT).Txt
		if len(words) == 0 || words[0] != mark {
			continue
		}
		if found {
			return nil, o.z.fault(rr, fmt.Errorf("%s has two texts that begin with %s", target, mark))
		}
		found = true
		if err := h.read(words[1:]); err != nil {
			return nil, o.z.fault(rr, fmt.Errorf("%s: %w", target, err))
		}
	}
	if at != target { // what lies behind aliases is looked at after every update
		if o.next.aliased == nil {
			o.next.aliased = map[string]bool{}
		}
		o.next.aliased[target] = true
	}
	return h, nil
}

// read reads attributes: zone=NAME, group=0..65535, status=up|draining, size=0.01..100, since=UNIX-MILLISECONDS.
func (h *host) read(words []string) error {
	seen := map[string]bool{}
	for _, w := range words {
		key, value, ok := strings.Cut(w, "=")
		if !ok || seen[key] {
			return fmt.Errorf("%.40q is not of the form key=value, or stands twice", w)
		}
		seen[key] = true
		var err error
		switch key {
		case "zone":
			if h.zone = value; len(value) > 63 {
				err = errors.New("longer than 63 bytes")
			}
		case "group":
			var n uint64
			n, err = strconv.ParseUint(value, 10, 16)
			h.group = uint16(n)
		case "status":
			if h.draining = value == "draining"; !h.draining && value != "up" {
				err = errors.New("neither up nor draining")
			}
		case "size":
			if h.size, err = strconv.ParseFloat(value, 64); err == nil && !(h.size >= 0.01 && h.size <= 100) {
				err = errors.New("not from 0.01 to 100")
			}
		case "since":
			var ms int64
			if ms, err = strconv.ParseInt(value, 10, 64); err == nil && (ms < 0 || ms > 1<<42) {
				err = errors.New("no time in milliseconds since 1970")
			}
			h.started = ms * 1e6
		default:
			err = errors.New("unknown; zone, group, status, size and since are known")
		}
		if err != nil {
			return fmt.Errorf("%.40q: %w", w, err)
		}
	}
	return nil
}

// list makes the entries of the targets touched anew. newborn says where one that the zone has not had comes from.
func (o *overlay) list(newborn func(name string, rr dns.RR) Provenance) error {
	next := o.next
	maps.Copy(o.touched, next.aliased)
	targets := slices.Sorted(maps.Keys(o.touched))
	for _, target := range targets {
		delete(next.aliased, target)
		from := strings.TrimSuffix(target, ".") + ":"
		next.entries.Ascend(from, func(name string, _ Backend) bool {
			if strings.HasPrefix(name, from) {
				o.names[name] = true
				return true
			}
			return false
		})
	}
	for name := range o.names {
		b, _ := next.entries.Delete(name)
		for _, a := range b.Addresses {
			next.at.Delete(a.String())
		}
		next.tally(b, -1)
	}
	for _, target := range targets {
		if err := o.enter(target, newborn); err != nil {
			return err
		}
	}
	next.elect()
	return nil
}

// tally counts an entry come or gone.
func (z *Zone) tally(b Backend, by int) {
	if z.counts == nil {
		z.counts = map[uint16]count{}
	}
	c := z.counts[b.Priority]
	if c.all += by; !b.Draining {
		c.serving += by
	}
	if z.counts[b.Priority] = c; c.all == 0 {
		delete(z.counts, b.Priority)
	}
}

// elect finds the priority that is served: the lowest with an entry that does not drain, or the lowest if all drain.
func (z *Zone) elect() {
	found, serving := false, false
	for p, c := range z.counts {
		if !found || c.serving > 0 && !serving || (c.serving > 0) == serving && p < z.first {
			z.first, found, serving = p, true, serving || c.serving > 0
		}
	}
}

// enter enters the SRV records of one target.
func (o *overlay) enter(target string, newborn func(name string, rr dns.RR) Provenance) error {
	z, next := o.z, o.next
	var rrs []dns.RR
	from := prefix(z.Service, dns.TypeSRV) + target + "\x00"
	next.records.Ascend(from, func(at string, rr dns.RR) bool {
		if !strings.HasPrefix(at, from) {
			return false
		}
		rrs = append(rrs, rr)
		return true
	})
	if len(rrs) == 0 {
		return nil
	}
	if target == "." {
		return z.fault(rrs[0], errors.New("an SRV record with the target \".\": withdraw the records in its place"))
	}
	if !dns.IsSubDomain(z.Origin, target) {
		return z.fault(rrs[0], fmt.Errorf("target %s does not lie in the zone; names outside are not looked up", target))
	}
	h, err := o.host(target)
	if err != nil {
		if len(z.lines) > 0 && !strings.HasPrefix(err.Error(), z.file+":") {
			err = z.fault(rrs[0], err)
		}
		return err
	}
	for _, rr := range rrs {
		srv := rr.(*dns.SRV)
		if srv.Port == 0 {
			return z.fault(rr, fmt.Errorf("target %s with port 0", target))
		}
		name := strings.TrimSuffix(target, ".") + ":" + strconv.Itoa(int(srv.Port))
		if _, twice := next.entries.Get(name); twice {
			return z.fault(rr, fmt.Errorf("%s stands twice", name))
		}
		b := Backend{Name: name, Zone: h.zone, Group: h.group, Draining: h.draining, Weight: h.size, Priority: srv.Priority, StatedStartNanos: h.started}
		if b.Weight == 0 { // a weight of 100 is an ordinary backend's, and 0, by RFC 2782, is none stated
			b.Weight = float64(cmp.Or(srv.Weight, 100)) / 100
		}
		for _, a := range h.addresses {
			ap := netip.AddrPortFrom(a, srv.Port)
			if other, twice := next.at.Set(ap.String(), name); twice {
				return z.fault(rr, fmt.Errorf("%s and %s both have the address %s", other, name, ap))
			}
			b.Addresses = append(b.Addresses, ap)
		}
		if was, ok := z.entries.Get(name); ok {
			b.Provenance = was.Provenance
		} else {
			b.Provenance = newborn(name, rr)
		}
		o.names[name] = true
		next.entries.Set(name, b)
		next.tally(b, 1)
	}
	return nil
}

// HasDescendants says whether anything stands below a name: it exists then, without records of its own.
func (z *Zone) HasDescendants(name string) bool {
	found := false
	z.records.Scan(func(at string, _ dns.RR) bool {
		owner, _, _ := strings.Cut(at, "\x00")
		found = dns.IsSubDomain(name, owner)
		return !found
	})
	return found
}
