package dnszone

import (
	"slices"

	"github.com/miekg/dns"
)

// prescan implements RFC 2136, 3.4.1. It checks all update records before the first one is applied.
func (d *draft) prescan(section []dns.RR) error {
	for _, rr := range section {
		if err := d.prescanRecord(rr); err != nil {
			return err
		}
	}
	return nil
}

// prescanRecord refuses a malformed update record. The class states what the record does (RFC 2136, 2.5).
func (d *draft) prescanRecord(rr dns.RR) error {
	header := rr.Header()
	name := dns.CanonicalName(header.Name)
	if !dns.IsSubDomain(d.base.Origin, name) {
		return refuse(dns.RcodeNotZone, "%.100q lies outside the zone", name)
	}
	switch header.Class {
	case dns.ClassINET:
		return prescanAddition(name, header)
	case dns.ClassANY:
		return prescanRRsetDeletion(name, header)
	case dns.ClassNONE:
		return prescanRecordDeletion(name, header)
	default:
		return refuse(dns.RcodeFormatError, "%.100q is of class %s", name, dns.Class(header.Class))
	}
}

// prescanAddition checks the addition of a record (RFC 2136, 2.5.1). In addition to the RFC, it refuses types
// that the zone does not support.
func prescanAddition(name string, header *dns.RR_Header) error {
	rrtype := header.Rrtype
	if rrtype == dns.TypeANY || isMetaType(rrtype) || header.Rdlength == 0 {
		return refuse(dns.RcodeFormatError, "%.100q: type %s cannot be added", name, dns.Type(rrtype))
	}
	if !slices.Contains(supportedTypes, rrtype) {
		return refuse(dns.RcodeRefused, "%.100q: records of type %s are not supported", name, dns.Type(rrtype))
	}
	return nil
}

// prescanRRsetDeletion checks the deletion of an RRset or of all RRsets of a name (RFC 2136, 2.5.2 and 2.5.3).
func prescanRRsetDeletion(name string, header *dns.RR_Header) error {
	if header.Ttl != 0 || header.Rdlength != 0 || isMetaType(header.Rrtype) {
		return refuse(dns.RcodeFormatError,
			"%.100q: a deletion with a TTL, data, or type %s", name, dns.Type(header.Rrtype))
	}
	return nil
}

// prescanRecordDeletion checks the deletion of one record (RFC 2136, 2.5.4).
func prescanRecordDeletion(name string, header *dns.RR_Header) error {
	if header.Ttl != 0 || header.Rrtype == dns.TypeANY || isMetaType(header.Rrtype) {
		return refuse(dns.RcodeFormatError,
			"%.100q: a deletion with a TTL or of type %s", name, dns.Type(header.Rrtype))
	}
	return nil
}

// isMetaType reports whether a type is one that no record in a zone has. ANY is not among them, because update
// sections and prerequisites may have it.
func isMetaType(rrtype uint16) bool {
	switch rrtype {
	case dns.TypeAXFR, dns.TypeIXFR, dns.TypeMAILA, dns.TypeMAILB, dns.TypeTSIG, dns.TypeOPT, dns.TypeNone:
		return true
	}
	return false
}
