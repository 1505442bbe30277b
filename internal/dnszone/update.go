package dnszone

import (
	"fmt"
	"slices"
	"strings"

	"github.com/miekg/dns"
)

// UpdateError is the reason for refusing an update, with the RCODE of the answer.
type UpdateError struct {
	Rcode  int
	Reason string
}

func (e *UpdateError) Error() string { return dns.RcodeToString[e.Rcode] + ": " + e.Reason }

func refuse(rcode int, format string, args ...any) error {
	return &UpdateError{Rcode: rcode, Reason: fmt.Sprintf(format, args...)}
}

// Update applies an update message as received from the wire (RFC 2136, 3.1 to 3.4). The caller must have
// checked its signature. Update returns the step to a new zone, or an *UpdateError. If the update does not
// set the serial, the serial increases by one.
func (z *Zone) Update(message *dns.Msg, atNanos int64, signature Signature) (*Step, error) {
	if err := z.checkZoneSection(message.Question); err != nil {
		return nil, err
	}
	d := z.newDraft()
	if err := d.checkPrerequisites(message.Answer); err != nil {
		return nil, err
	}
	for _, rr := range message.Ns {
		if err := d.prescan(rr); err != nil {
			return nil, err
		}
	}
	for _, rr := range message.Ns {
		if err := d.applyUpdateRecord(rr); err != nil {
			return nil, err
		}
	}
	if len(d.added) == 0 && len(d.deleted) == 0 {
		return &Step{Zone: z}, nil
	}
	d.raiseSerial()
	step, err := d.finish(atNanos, signature)
	if err != nil {
		return nil, refuse(dns.RcodeRefused, "%v", err)
	}
	return step, nil
}

// checkZoneSection implements RFC 2136, 3.1.
func (z *Zone) checkZoneSection(section []dns.Question) error {
	if len(section) != 1 || section[0].Qtype != dns.TypeSOA || section[0].Qclass != dns.ClassINET {
		return refuse(dns.RcodeFormatError, "the zone section is not one SOA of class IN")
	}
	if !strings.EqualFold(dns.CanonicalName(section[0].Name), z.Origin) {
		return refuse(dns.RcodeNotAuth, "the zone is %s, not %.100q", z.Origin, section[0].Name)
	}
	return nil
}

// raiseSerial increases the serial by one if the update did not set it.
func (d *draft) raiseSerial() {
	old := d.rrset(d.base.Origin, dns.TypeSOA)[0].(*dns.SOA)
	if old.Serial != d.base.Serial() {
		return
	}
	d.remove(old)
	raised := dns.Copy(old).(*dns.SOA)
	raised.Serial = nextSerial(old.Serial)
	d.add(raised)
}

// isMetaType reports whether a type is one that no record in a zone has.
func isMetaType(rrtype uint16) bool {
	switch rrtype {
	case dns.TypeAXFR, dns.TypeIXFR, dns.TypeMAILA, dns.TypeMAILB, dns.TypeTSIG, dns.TypeOPT, dns.TypeNone:
		return true
	}
	return false
}

// prescan implements RFC 2136, 3.4.1.3. It refuses malformed update records and, in addition to the RFC,
// records that do not belong in this zone.
func (d *draft) prescan(rr dns.RR) error {
	header := rr.Header()
	name := dns.CanonicalName(header.Name)
	rrtype := dns.Type(header.Rrtype)
	isMeta := isMetaType(header.Rrtype)
	if !dns.IsSubDomain(d.base.Origin, name) {
		return refuse(dns.RcodeNotZone, "%.100q lies outside the zone", name)
	}
	switch header.Class {
	case dns.ClassINET:
		if header.Rrtype == dns.TypeANY || isMeta || header.Rdlength == 0 {
			return refuse(dns.RcodeFormatError, "%.100q: type %s cannot be added", name, rrtype)
		}
		if !slices.Contains(supportedTypes, header.Rrtype) {
			return refuse(dns.RcodeRefused, "%.100q: records of type %s have no place here", name, rrtype)
		}
	case dns.ClassANY:
		if header.Ttl != 0 || header.Rdlength != 0 || isMeta {
			return refuse(dns.RcodeFormatError,
				"%.100q: a deletion with a TTL, data, or type %s", name, rrtype)
		}
	case dns.ClassNONE:
		if header.Ttl != 0 || header.Rrtype == dns.TypeANY || isMeta {
			return refuse(dns.RcodeFormatError, "%.100q: a deletion with a TTL or of type %s", name, rrtype)
		}
	default:
		return refuse(dns.RcodeFormatError, "%.100q is of class %s", name, dns.Class(header.Class))
	}
	return nil
}

// applyUpdateRecord implements RFC 2136, 3.4.2, for one record of the update section.
func (d *draft) applyUpdateRecord(rr dns.RR) error {
	rr = canonicalize(dns.Copy(rr))
	switch rr.Header().Class {
	case dns.ClassANY:
		d.deleteRRsets(rr.Header())
		return nil
	case dns.ClassNONE:
		d.deleteRecord(rr)
		return nil
	}
	if err := d.base.checkRecord(rr); err != nil {
		return refuse(dns.RcodeRefused, "%v", err)
	}
	if soa, ok := rr.(*dns.SOA); ok {
		d.replaceSOA(soa)
		return nil
	}
	d.addRecord(rr)
	return nil
}

// deleteRRsets deletes an RRset or, with type ANY, all RRsets of a name. The apex keeps its SOA and NS
// records.
func (d *draft) deleteRRsets(header *dns.RR_Header) {
	isApex := header.Name == d.base.Origin
	for _, rrtype := range supportedTypes {
		if header.Rrtype != dns.TypeANY && header.Rrtype != rrtype {
			continue
		}
		if isApex && (rrtype == dns.TypeSOA || rrtype == dns.TypeNS) {
			continue
		}
		for _, rr := range d.rrset(header.Name, rrtype) {
			d.remove(rr)
		}
	}
}

// deleteRecord deletes one record from an RRset. It does not delete an SOA, or the last NS record of the
// apex.
func (d *draft) deleteRecord(rr dns.RR) {
	header := rr.Header()
	header.Class = dns.ClassINET
	existing := d.find(rr)
	if existing == nil || header.Rrtype == dns.TypeSOA {
		return
	}
	isApexNS := header.Name == d.base.Origin && header.Rrtype == dns.TypeNS
	if isApexNS && len(d.rrset(header.Name, dns.TypeNS)) == 1 {
		return
	}
	d.remove(existing)
}

// replaceSOA replaces the current SOA with a newer one. An SOA that is not newer is ignored (3.4.2.2).
func (d *draft) replaceSOA(soa *dns.SOA) {
	old := d.rrset(soa.Hdr.Name, dns.TypeSOA)[0].(*dns.SOA)
	if SerialNewer(soa.Serial, old.Serial) {
		d.remove(old)
		d.add(soa)
	}
}

// addRecord adds a record, or replaces the record that differs only in its TTL. An alias must be the only
// record at its name, so a record that would break this rule is ignored (3.4.2.2).
func (d *draft) addRecord(rr dns.RR) {
	header := rr.Header()
	aliases := d.rrset(header.Name, dns.TypeCNAME)
	switch {
	case header.Rrtype != dns.TypeCNAME && len(aliases) > 0:
		return
	case header.Rrtype == dns.TypeCNAME && len(aliases) == 0 && d.nameInUse(header.Name):
		return
	case header.Rrtype == dns.TypeCNAME:
		for _, alias := range aliases {
			d.remove(alias)
		}
	}
	if existing := d.find(rr); existing != nil {
		if existing.Header().Ttl == header.Ttl {
			return
		}
		d.remove(existing)
	}
	d.add(rr)
}
