package dnszone

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/miekg/dns"
)

// overlay is a zone with changes laid over it, until they are known to be in order.
type overlay struct {
	z, next  *Zone
	touched  map[string]bool // names and targets whose entries are to be made anew
	names    map[string]bool // of entries made anew, or gone
	del, add map[string]bool // records, net
}

func (z *Zone) overlay() *overlay {
	return &overlay{z: z, next: z.copy(), touched: map[string]bool{}, names: map[string]bool{}, del: map[string]bool{}, add: map[string]bool{}}
}

func (o *overlay) get(name string, t uint16) []dns.RR { return o.next.RRset(name, t) }

func (o *overlay) touch(rr dns.RR) {
	if srv, ok := rr.(*dns.SRV); ok {
		o.touched[srv.Target] = true
	} else {
		o.touched[rr.Header().Name] = true
	}
}

func (o *overlay) put(rr dns.RR) {
	o.touch(rr)
	o.next.records.Set(place(rr), rr)
	if text := rr.String(); o.del[text] {
		delete(o.del, text)
	} else {
		o.add[text] = true
	}
}

func (o *overlay) drop(rr dns.RR) {
	o.touch(rr)
	o.next.records.Delete(place(rr))
	if text := rr.String(); o.add[text] {
		delete(o.add, text)
	} else {
		o.del[text] = true
	}
}

// find gives the record that is the same but for its TTL.
func (o *overlay) find(rr dns.RR) dns.RR {
	x, _ := o.next.records.Get(place(rr))
	return x
}

func (o *overlay) named(name string) bool { return len(o.get(name, dns.TypeANY)) > 0 }

// UpdateError is why an update is not done, with the RCODE that says so.
type UpdateError struct {
	Rcode int
	Reason   string
}

func (r *UpdateError) Error() string { return dns.RcodeToString[r.Rcode] + ": " + r.Reason }

func refuse(rcode int, form string, args ...any) error {
	return &UpdateError{rcode, fmt.Sprintf(form, args...)}
}

// meta are types that no record has.
func meta(t uint16) bool {
	return t == dns.TypeAXFR || t == dns.TypeIXFR || t == dns.TypeMAILA || t == dns.TypeMAILB || t == dns.TypeTSIG ||
		t == dns.TypeOPT || t == dns.TypeNone
}

// Step is a zone that came of another one, and what differs for the list.
type Step struct {
	Zone   *Zone
	Change *Change   // nil: the update changed nothing
	Updated   []Backend // new, or changed
	Removed   []string
}

// Update does an update message as it came off the wire (RFC 2136, 3.1 to 3.4), whose signature is the caller's
// concern: it gives the step to a new zone, or an error, a *Refusal. The serial goes up by one where the update does
// not set it.
func (z *Zone) Update(m *dns.Msg, at int64, by Signature) (*Step, error) {
	if len(m.Question) != 1 || m.Question[0].Qtype != dns.TypeSOA || m.Question[0].Qclass != dns.ClassINET {
		return nil, refuse(dns.RcodeFormatError, "the zone section is not one SOA of class IN")
	}
	if !strings.EqualFold(dns.CanonicalName(m.Question[0].Name), z.Origin) {
		return nil, refuse(dns.RcodeNotAuth, "the zone is %s, not %.100q", z.Origin, m.Question[0].Name)
	}
	o := z.overlay()
	if err := o.prerequisites(m.Answer); err != nil {
		return nil, err
	}
	for _, rr := range m.Ns {
		if err := o.scan(rr); err != nil {
			return nil, err
		}
	}
	for _, rr := range m.Ns {
		if err := o.edit(rr); err != nil {
			return nil, err
		}
	}
	if len(o.add) == 0 && len(o.del) == 0 {
		return &Step{Zone: z}, nil
	}
	old := o.get(z.Origin, dns.TypeSOA)[0].(*dns.SOA)
	if old.Serial == z.Serial() {
		o.drop(old)
		now := dns.Copy(old).(*dns.SOA)
		now.Serial = after(old.Serial)
		o.put(now)
	}
	step, err := o.finish(at, by)
	if err != nil {
		return nil, refuse(dns.RcodeRefused, "%v", err)
	}
	return step, nil
}

// Apply does a change that was done before, or at another replica. It gives an error, and no zone, where the change
// does not follow from this one.
func (z *Zone) Apply(c *Change) (*Step, error) {
	if c.FromSerial != z.Serial() || !SerialNewer(c.ToSerial, c.FromSerial) {
		return nil, fmt.Errorf("change from serial %d to %d does not follow %d", c.FromSerial, c.ToSerial, z.Serial())
	}
	o := z.overlay()
	for _, text := range c.Deleted {
		rr, err := record(text)
		if err != nil {
			return nil, fmt.Errorf("change to serial %d: %.80q: %w", c.ToSerial, text, err)
		}
		there := o.find(rr)
		if there == nil {
			return nil, fmt.Errorf("change to serial %d: %.80q is not there", c.ToSerial, text)
		}
		o.drop(there)
	}
	for _, text := range c.Added {
		rr, err := record(text)
		if err == nil {
			err = z.allowed(rr)
		}
		if err != nil {
			return nil, fmt.Errorf("change to serial %d: %.80q: %w", c.ToSerial, text, err)
		}
		o.put(rr)
	}
	step, err := o.finish(c.AtNanos, c.Signature)
	if err == nil && step.Zone.Serial() != c.ToSerial {
		err = fmt.Errorf("change to serial %d gives %d", c.ToSerial, step.Zone.Serial())
	}
	return step, err
}

// finish makes a step of the overlay, if what it says of the backends is in order.
func (o *overlay) finish(at int64, by Signature) (*Step, error) {
	soa := o.next.soa()
	if soa == nil {
		return nil, errors.New("not one SOA record")
	}
	if o.next.records.Len() > mostRecords {
		return nil, fmt.Errorf("more than %d records", mostRecords)
	}
	if err := o.list(func(string, dns.RR) Provenance { return Provenance{StartNanos: at, Key: by.KeyName, Serial: soa.Serial} }); err != nil {
		return nil, err
	}
	s := &Step{Zone: o.next, Change: &Change{FromSerial: o.z.Serial(), ToSerial: soa.Serial, AtNanos: at, Signature: by,
		Deleted: slices.Sorted(maps.Keys(o.del)), Added: slices.Sorted(maps.Keys(o.add))}}
	if o.z.first != o.next.first {
		s.Updated, s.Removed = Diff(o.z, o.next)
		return s, nil
	}
	for _, name := range slices.Sorted(maps.Keys(o.names)) {
		s.Updated, s.Removed = differs(o.z, o.next, name, s.Updated, s.Removed)
	}
	return s, nil
}

// prerequisites are RFC 2136, 3.2.
func (o *overlay) prerequisites(rrs []dns.RR) error {
	type set struct {
		name string
		kind uint16
	}
	wanted := map[set][]dns.RR{}
	for _, rr := range rrs {
		h := rr.Header()
		name := dns.CanonicalName(h.Name)
		if h.Ttl != 0 {
			return refuse(dns.RcodeFormatError, "prerequisite of %.100q with a TTL", name)
		}
		if !dns.IsSubDomain(o.z.Origin, name) {
			return refuse(dns.RcodeNotZone, "prerequisite of %.100q, outside the zone", name)
		}
		there := len(o.get(name, h.Rrtype)) > 0
		switch {
		case h.Class != dns.ClassINET && h.Rdlength != 0:
			return refuse(dns.RcodeFormatError, "prerequisite of %.100q with data it cannot have", name)
		case h.Class == dns.ClassANY && h.Rrtype == dns.TypeANY && !o.named(name):
			return refuse(dns.RcodeNameError, "%s is not in use", name)
		case h.Class == dns.ClassNONE && h.Rrtype == dns.TypeANY && o.named(name):
			return refuse(dns.RcodeYXDomain, "%s is in use", name)
		case h.Class != dns.ClassINET && h.Rrtype == dns.TypeANY:
		case h.Class == dns.ClassANY && !there:
			return refuse(dns.RcodeNXRrset, "%s has no %s", name, dns.Type(h.Rrtype))
		case h.Class == dns.ClassNONE && there:
			return refuse(dns.RcodeYXRrset, "%s has %s", name, dns.Type(h.Rrtype))
		case h.Class == dns.ClassINET && h.Rrtype != dns.TypeANY && !meta(h.Rrtype):
			c := canonical(dns.Copy(rr))
			k := set{name, h.Rrtype}
			if !slices.ContainsFunc(wanted[k], func(x dns.RR) bool { return dns.IsDuplicate(x, c) }) {
				wanted[k] = append(wanted[k], c)
			}
		case h.Class != dns.ClassANY && h.Class != dns.ClassNONE:
			return refuse(dns.RcodeFormatError, "prerequisite of %.100q of class %s and type %s", name, dns.Class(h.Class), dns.Type(h.Rrtype))
		}
	}
	for k, rrs := range wanted {
		if len(o.get(k.name, k.kind)) != len(rrs) || slices.ContainsFunc(rrs, func(rr dns.RR) bool { return o.find(rr) == nil }) {
			return refuse(dns.RcodeNXRrset, "%s does not have just these %s", k.name, dns.Type(k.kind))
		}
	}
	return nil
}

// scan is RFC 2136, 3.4.1.3: what is no update at all, and beyond it what has no place in this zone.
func (o *overlay) scan(rr dns.RR) error {
	h := rr.Header()
	name := dns.CanonicalName(h.Name)
	if !dns.IsSubDomain(o.z.Origin, name) {
		return refuse(dns.RcodeNotZone, "%.100q lies outside the zone", name)
	}
	switch h.Class {
	case dns.ClassINET:
		if h.Rrtype == dns.TypeANY || meta(h.Rrtype) || h.Rdlength == 0 {
			return refuse(dns.RcodeFormatError, "%.100q: type %s cannot be added", name, dns.Type(h.Rrtype))
		}
		if !slices.Contains(types, h.Rrtype) {
			return refuse(dns.RcodeRefused, "%.100q: records of type %s have no place here", name, dns.Type(h.Rrtype))
		}
	case dns.ClassANY:
		if h.Ttl != 0 || h.Rdlength != 0 || meta(h.Rrtype) {
			return refuse(dns.RcodeFormatError, "%.100q: a deletion with a TTL, data, or type %s", name, dns.Type(h.Rrtype))
		}
	case dns.ClassNONE:
		if h.Ttl != 0 || h.Rrtype == dns.TypeANY || meta(h.Rrtype) {
			return refuse(dns.RcodeFormatError, "%.100q: a deletion with a TTL or of type %s", name, dns.Type(h.Rrtype))
		}
	default:
		return refuse(dns.RcodeFormatError, "%.100q is of class %s", name, dns.Class(h.Class))
	}
	return nil
}

// edit is RFC 2136, 3.4.2: one record of the update section.
func (o *overlay) edit(rr dns.RR) error {
	rr = canonical(dns.Copy(rr))
	h := rr.Header()
	apex := h.Name == o.z.Origin
	switch h.Class {
	case dns.ClassANY:
		for _, t := range types {
			if h.Rrtype != dns.TypeANY && h.Rrtype != t || apex && (t == dns.TypeSOA || t == dns.TypeNS) {
				continue
			}
			for _, x := range o.get(h.Name, t) {
				o.drop(x)
			}
		}
		return nil
	case dns.ClassNONE:
		h.Class = dns.ClassINET
		x := o.find(rr)
		if x == nil || h.Rrtype == dns.TypeSOA || apex && h.Rrtype == dns.TypeNS && len(o.get(h.Name, dns.TypeNS)) == 1 {
			return nil
		}
		o.drop(x)
		return nil
	}
	if err := o.z.allowed(rr); err != nil {
		return refuse(dns.RcodeRefused, "%v", err)
	}
	if h.Rrtype == dns.TypeSOA { // 3.4.2.2: one that is not newer is passed over
		old := o.get(h.Name, dns.TypeSOA)[0]
		if SerialNewer(rr.(*dns.SOA).Serial, old.(*dns.SOA).Serial) {
			o.drop(old)
			o.put(rr)
		}
		return nil
	}
	// An alias stands alone at its name, and nothing comes beside one: passed over, as the RFC has it.
	alias := len(o.get(h.Name, dns.TypeCNAME)) > 0
	if h.Rrtype == dns.TypeCNAME {
		if !alias && o.named(h.Name) {
			return nil
		}
		for _, x := range o.get(h.Name, dns.TypeCNAME) {
			o.drop(x)
		}
	} else if alias {
		return nil
	}
	if x := o.find(rr); x != nil {
		if x.Header().Ttl == h.Ttl {
			return nil
		}
		o.drop(x)
	}
	o.put(rr)
	return nil
}
